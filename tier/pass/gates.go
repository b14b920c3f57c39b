package pass

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const (
	// placesPerSlot is the number of requests that have room for each slot of a shard. A
	// gather holds the slot of a shard for a part of its time only, until its slowest parts
	// arrive, so with one request for each slot most slots would be idle.
	placesPerSlot = 4
	// maxListedSlots is the most slots that count of one upstream. Sums of larger numbers, which another
	// writer may have put into an entry, could overflow.
	maxListedSlots = 4096
	// baseMaxAge is how long a host's share of the places is used before it is computed
	// again from the directory and the members.
	baseMaxAge = time.Second
	// gateMaxIdle is how long a gate without requests is kept. A set of groups that a new
	// document no longer names is not asked for again.
	gateMaxIdle = time.Minute
)

// gates holds the gate of each set of groups. It is safe for concurrent use; the zero value
// is ready to use.
type gates struct {
	mu    sync.Mutex
	byKey map[uint64]*gate
}

// gate is the gate of a set of groups.
type gate struct {
	*policy.Gate
	report *gateReport
	// baseAt is when this host's share of the places was last computed.
	baseAt time.Duration
	// open is true if the gate lets all requests pass, because the room of the groups is
	// unknown. It is guarded by the lock of the gates.
	open bool
	// usedAt is when the last request came.
	usedAt time.Duration
}

// gateKey identifies a set of groups.
func gateKey(groups []string) uint64 {
	h := xxhash.New()
	for _, g := range groups {
		_, _ = h.WriteString(g)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// gateOf returns the gate of a request and creates it on first use.
func (e *engine) gateOf(q *request) *gate {
	key := gateKey(q.plan.groups)
	now := e.kernel.Now()
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	g := e.gates.byKey[key]
	if g == nil {
		g = e.newGate(q.plan.groups)
		if e.gates.byKey == nil {
			e.gates.byKey = map[uint64]*gate{}
		}
		e.gates.byKey[key] = g
	}
	g.usedAt = now
	if now-g.baseAt >= baseMaxAge {
		g.baseAt = now
		base := e.basePlaces(q.view, q.plan.groups, q.route)
		g.open = base == 0
		g.SetBase(base)
		g.RetainUpstreams(func(name string) bool {
			l, ok := q.view.Directory.Find(name)
			return ok && !l.Leaving
		})
	}
	return g
}

func (e *engine) newGate(groups []string) *gate {
	g := &gate{
		Gate:   policy.NewGate(policy.GateConfig{Base: 1, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
		baseAt: -baseMaxAge,
	}
	g.report = newGateReport(groups, func() policy.GateState { return g.State(e.kernel.Now()) })
	return g
}

// isOpen reports whether a gate lets all requests pass.
func (e *engine) isOpen(g *gate) bool {
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	return g.open
}

// dropIdleGates drops the gates that nobody has used for long.
func (e *engine) dropIdleGates() {
	now := e.kernel.Now()
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	for key, g := range e.gates.byKey {
		if s := g.State(now); now-g.usedAt < gateMaxIdle || s.InFlight > 0 || s.Waiting > 0 {
			continue
		}
		g.report.close()
		delete(e.gates.byKey, key)
	}
}

// basePlaces returns this host's share of the places at a set of groups: the room of the
// median group, divided among the hosts that execute requests. It is 0 if the upstreams
// publish no slots.
func (e *engine) basePlaces(v *kernel.View, groups []string, r *config.Route) int {
	slots := make([]int, 0, len(groups))
	for _, n := range groups {
		slots = append(slots, listedSlots(v.Directory.Group(n)))
	}
	slices.Sort(slots)
	median := slots[len(slots)/2]
	if median == 0 {
		return 0
	}
	return max(placesPerSlot*median/e.executors(v, r), 1)
}

// listedSlots returns the slots of the upstreams that are not leaving.
func listedSlots(listed []config.Listing) int {
	sum := 0
	for i := range listed {
		if !listed[i].Leaving {
			sum += usableSlots(&listed[i])
		}
	}
	return sum
}

// usableSlots returns the slots of an upstream that count.
func usableSlots(l *config.Listing) int { return min(l.Slots, maxListedSlots) }

// executors counts the hosts that execute requests of a route, including this one: the
// coordinators for gathers, all active hosts otherwise.
func (e *engine) executors(v *kernel.View, r *config.Route) int {
	count := 1
	if r.Gather == nil {
		for _, m := range v.Members {
			if m.Active() {
				count++
			}
		}
		return count
	}
	others := *e.coordinators.candidates.Load()
	strongest := e.self().Capacity
	for _, c := range others {
		strongest = max(strongest, c.Capacity)
	}
	for _, c := range others {
		if policy.IsCoordinator(c.Capacity, strongest) {
			count++
		}
	}
	return count
}
