package pass

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// queueFactor is how many requests have room at an upstream for each of its slots: one
// that runs and one that waits, so that a slot does not idle between two calls.
const queueFactor = 2

// baseMaxAge is how long the share of the room is used before it is computed again.
const baseMaxAge = time.Second

// gates holds the gate of each set of groups. It is safe for concurrent use; the zero value
// is ready to use.
type gates struct {
	mu    sync.Mutex
	byKey map[uint64]*gate
}

type gate struct {
	*policy.Gate
	baseAt time.Duration
	report *gateReport
}

func gateKey(groups []string) uint64 {
	h := xxhash.New()
	for _, g := range groups {
		_, _ = h.WriteString(g)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// gateOf returns the gate of a request.
func (e *engine) gateOf(q *request) *policy.Gate {
	key := gateKey(q.plan.groups)
	now := e.kernel.Now()
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	if e.gates.byKey == nil {
		e.gates.byKey = map[uint64]*gate{}
	}
	g := e.gates.byKey[key]
	if g == nil {
		g = &gate{Gate: policy.NewGate(policy.GateConfig{Base: 1}), baseAt: -baseMaxAge}
		g.report = newGateReport(q.plan.groups, func() policy.GateState { return g.State(e.kernel.Now()) })
		e.gates.byKey[key] = g
	}
	if now-g.baseAt >= baseMaxAge {
		g.baseAt = now
		g.SetBase(e.basePlaces(q.view, q.plan.groups, q.route))
	}
	q.gateReport = g.report
	return g.Gate
}

// basePlaces returns this host's fair share of the places at a set of groups.
func (e *engine) basePlaces(v *kernel.View, groups []string, r *config.Route) int {
	slots := make([]int, 0, len(groups))
	for _, n := range groups {
		sum := 0
		for _, l := range v.Directory.Group(n) {
			if !l.Leaving {
				sum += l.Slots
			}
		}
		slots = append(slots, sum)
	}
	slices.Sort(slots)
	return max(queueFactor*slots[len(slots)/2]/e.executors(v, r), 1)
}

// executors counts the hosts that execute requests of a route.
func (e *engine) executors(v *kernel.View, r *config.Route) int {
	strongest := e.self().Capacity
	all := 1
	for _, m := range v.Members {
		if m.Active() {
			all++
		}
	}
	if r.Gather == nil {
		return all
	}
	cands := *e.coordinators.candidates.Load()
	for _, c := range cands {
		strongest = max(strongest, c.Capacity)
	}
	n := 1
	for _, c := range cands {
		if policy.IsCoordinator(c.Capacity, strongest) {
			n++
		}
	}
	return n
}

// admit passes the request through the gate of its groups. It responds to a request that is
// refused or whose caller leaves, and returns false.
func (q *request) admit(ctx context.Context, w http.ResponseWriter) bool {
	e := q.engine
	if e.kernel.Settings.Overload != policy.OverloadShortage {
		return true
	}
	q.gate = e.gateOf(q)
	now := e.kernel.Now()
	d := policy.Demand{
		Route: q.route.Name, Rank: q.route.Priority, Caller: q.in.identity.Caller,
		ObjectiveAt: q.times.startedAt + time.Duration(q.class.Patience), DeadlineAt: q.times.deadline,
	}
	if full := q.times.startedAt + time.Duration(q.route.TimeLimit); full-q.times.deadline > 50*time.Millisecond {
		d.Spent = min(full-q.times.deadline, time.Duration(q.route.Objective))
		d.ObjectiveAt -= d.Spent
	}
	t := q.gate.Enter(now, d)
	q.ticket = t
	q.admittedAt = now
	select {
	case <-t.Decided():
	default:
		timer := time.NewTimer(t.CheckAt() - now)
		defer timer.Stop()
		select {
		case <-t.Decided():
		case <-timer.C:
			q.gate.Check(e.kernel.Now(), t)
			<-t.Decided()
		case <-ctx.Done():
			q.gate.Abandon(e.kernel.Now(), t)
			q.recordDecision(t.Outlook(), t.Refusal() != nil, now)
			q.log(outcomeCancelled, 0).Msg("request cancelled by caller")
			return false
		}
	}
	q.admittedAt = e.kernel.Now()
	q.recordDecision(t.Outlook(), t.Refusal() != nil, now)
	if r := t.Refusal(); r != nil {
		q.refuse(w, r.Reason, r.RetryAfter)
		return false
	}
	return true
}

// leaveGate frees the place of the request.
func (q *request) leaveGate(covered bool) {
	if q.gate == nil || q.ticket == nil {
		return
	}
	now := q.engine.kernel.Now()
	q.gate.Leave(now, q.ticket, policy.Completion{Took: now - q.admittedAt, Covered: covered})
}

// shortage returns the function by which the run learns of a shortage; nil without a gate.
func (q *request) shortage() func() bool {
	if q.gate == nil {
		return nil
	}
	return func() bool { return q.gate.Shortage(q.engine.kernel.Now()) }
}
