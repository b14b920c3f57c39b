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
		e.gates.byKey[key] = g
	}
	if now-g.baseAt >= baseMaxAge {
		g.baseAt = now
		g.SetBase(e.basePlaces(q.view, q.plan.groups, q.route))
	}
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

// limitsLoad reports whether requests pass a gate.
func (e *engine) limitsLoad() bool { return e.kernel.Settings.Overload == policy.OverloadShortage }

// findGate plans the request, finds its gate and returns it.
func (q *request) findGate() *policy.Gate {
	if q.gate == nil {
		q.makePlan()
		q.gate = q.engine.gateOf(q)
	}
	return q.gate
}

// demand describes the request to its gate.
func (q *request) demand() policy.Demand {
	spent := q.spentBeforeThis()
	return policy.Demand{
		Route: q.route.Name, Rank: q.route.Priority, Caller: q.in.identity.Caller,
		ObjectiveAt: q.times.startedAt + time.Duration(q.class.Patience) - spent, DeadlineAt: q.times.deadline,
		Spent: spent,
	}
}

// spentBeforeThis returns the time between the caller's first attempt and this one, as far as
// known.
func (q *request) spentBeforeThis() time.Duration {
	if q.spentBefore > 0 {
		return q.spentBefore
	}
	if full := q.times.startedAt + time.Duration(q.route.TimeLimit); full-q.times.deadline > 50*time.Millisecond {
		return min(full-q.times.deadline, time.Duration(q.route.Objective))
	}
	return 0
}

// outlook returns what the gate would decide about the request.
func (q *request) outlook() policy.Outlook {
	return q.findGate().Outlook(q.engine.kernel.Now(), q.demand())
}

// isBusy reports whether the gate would refuse a request with the given outlook, or have it wait
// for longer than the round trip to the nearest other hall.
func (e *engine) isBusy(o policy.Outlook) bool {
	switch o.Decision {
	case policy.DecisionRun:
		return false
	case policy.DecisionWait, policy.DecisionLate:
		return o.Wait > e.hosts.nearestRoundTrip(*e.coordinators.candidates.Load(), e.kernel.Settings.Hall)
	default:
		return true
	}
}

// roomReporter returns a function that reports the room at the gate of the request; nil without
// a shortage. It may be called concurrently with the request.
func (q *request) roomReporter() func() *roomReport {
	e := q.engine
	if !e.limitsLoad() {
		return func() *roomReport { return nil }
	}
	g := q.findGate()
	return func() *roomReport {
		s := g.State(e.kernel.Now())
		if !s.Limited {
			return nil
		}
		return &roomReport{InFlight: s.InFlight, Places: s.Places, Waiting: s.Waiting}
	}
}

// admit passes the request through the gate of its groups. It responds to a request that is
// refused or whose caller leaves, and returns false.
func (q *request) admit(ctx context.Context, w http.ResponseWriter) bool {
	e := q.engine
	if !e.limitsLoad() {
		return true
	}
	g := q.findGate()
	now := e.kernel.Now()
	q.ticket = g.Enter(now, q.demand())
	q.admittedAt = now
	if !q.awaitTicket(ctx, now) {
		g.Abandon(e.kernel.Now(), q.ticket)
		q.log(outcomeCancelled, 0).Msg("request cancelled by caller")
		return false
	}
	q.admittedAt = e.kernel.Now()
	if r := q.ticket.Refusal(); r != nil {
		q.refuse(w, r.Reason, r.RetryAfter)
		return false
	}
	return true
}

// awaitTicket waits until the gate has decided about the request. It returns false if the
// context ends before that.
func (q *request) awaitTicket(ctx context.Context, now time.Duration) bool {
	t := q.ticket
	select {
	case <-t.Decided():
		return true
	default:
	}
	timer := time.NewTimer(t.CheckAt() - now)
	defer timer.Stop()
	select {
	case <-t.Decided():
	case <-timer.C:
		q.gate.Check(q.engine.kernel.Now(), t)
		<-t.Decided()
	case <-ctx.Done():
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
