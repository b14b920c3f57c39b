package pass

import (
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// minUpstreamShare is the minimum number of upstreams that a hall must list for its hosts
// to be coordinators, as a fraction of those of the hall with the most. In smaller halls,
// most calls would go to another hall again.
const minUpstreamShare = 0.5

// refusalShare is the share of the objective within which a request is refused if it cannot be
// served.
const refusalShare = 0.1

// coordinators holds the hosts that may execute gathers for others. It is written on the
// control thread and read by requests.
type coordinators struct {
	// candidates are the other live hosts of halls with many upstreams. They are set before
	// requests pass the start gate; the slice is never modified.
	candidates atomic.Pointer[[]policy.Candidate]
	// halls are the halls that list many upstreams in directory; used on the control thread
	// only.
	halls     map[string]bool
	directory *config.Directory
}

// updateHalls determines which halls have many upstreams, and reports whether they have
// changed. It runs on the control thread.
func (c *coordinators) updateHalls(d *config.Directory) bool {
	if d == c.directory {
		return false
	}
	before := c.halls
	c.directory, c.halls = d, hallsWithUpstreams(d)
	return before == nil || !maps.Equal(before, c.halls)
}

// updateMembers sets the candidates from a view. It runs on the control thread.
func (c *coordinators) updateMembers(v *kernel.View) {
	all := liveHosts(v, func(hall string) bool { return c.halls[hall] })
	c.candidates.Store(&all)
}

// hallsWithUpstreams reports for each hall whether it lists many upstreams.
func hallsWithUpstreams(d *config.Directory) map[string]bool {
	listed := d.UpstreamsPerHall()
	largest := 0
	for _, n := range listed {
		largest = max(largest, n)
	}
	out := map[string]bool{}
	for h, n := range listed {
		out[h] = float64(n) >= minUpstreamShare*float64(largest)
	}
	return out
}

// triedCoordinators are the hosts that a request was sent to and that did not begin.
type triedCoordinators struct {
	hosts map[string]bool
	// declinedBy is the hall of one that declined the request for lack of room; empty if
	// none has.
	declinedBy string
}

// coordinator selects the host that is to execute the request; false means this one.
func (q *request) coordinator(tried triedCoordinators) (policy.ChosenCoordinator, bool) {
	e := q.engine
	all := *e.coordinators.candidates.Load()
	allowed := e.placement(q.view).AllowedHosts(all, q.route.Homes)
	cands := e.hosts.candidates(allowed, e.kernel.Now(), tried.hosts)
	if e.limitsLoad() {
		return q.coordinatorByRoom(cands, policy.SelfExecutes(e.self(), all), tried)
	}
	best := policy.Coordinators(e.self(), cands)
	if len(best) == 0 {
		return policy.ChosenCoordinator{}, false
	}
	return policy.ChosenCoordinator{Candidate: best[0]}, true
}

// coordinatorByRoom selects the host that is to execute the request by the room that the
// candidates have reported. A host that executes requests itself uses another one only while
// its own gate has no room.
func (q *request) coordinatorByRoom(cands []policy.Candidate, executes bool, tried triedCoordinators) (policy.ChosenCoordinator, bool) {
	e := q.engine
	c := policy.CoordinatorChoice{
		Now: e.kernel.Now(), Self: e.self(), SelfExecutes: executes, All: cands, DeclinedBy: tried.declinedBy,
		Objective: time.Duration(q.route.Objective), Random: rand.IntN,
	}
	if executes && !q.mayHandOver(&c, len(tried.hosts)) {
		return policy.ChosenCoordinator{}, false
	}
	e.hosts.addRooms(c.All, gateKey(q.route.Gather.Groups))
	chosen, ok := c.Choose()
	if !ok || chosen.Host == c.Self.Host {
		return policy.ChosenCoordinator{}, false
	}
	if !executes && len(tried.hosts)+1 >= maxCoordinatorAttempts {
		chosen.MayDecline = false
	}
	return chosen, true
}

// mayHandOver reports whether a host that executes requests itself lets another one execute
// the request: its own gate has no room, and there is time for an answer that the other has none
// either. A refusal is due within refusalShare of the objective. It adds what is known of the own
// gate to the choice.
func (q *request) mayHandOver(c *policy.CoordinatorChoice, attempts int) bool {
	spent := c.Now - q.times.startedAt
	if len(c.All) == 0 || attempts > 0 && spent > time.Duration(refusalShare*float64(q.route.Objective)) {
		return false
	}
	o := q.outlook()
	if !q.engine.isBusy(o) {
		return false
	}
	c.Self.Room.Observe(c.Now, (*policy.RoomReport)(q.roomReporter()()))
	if o.Decision != policy.DecisionRefuse {
		c.OwnWait = o.Wait
	}
	return true
}

func (e *engine) self() policy.Candidate {
	s := &e.kernel.Settings
	return policy.Candidate{Host: s.Host, Hall: s.Hall, Capacity: s.Capacity()}
}

// liveHosts returns the other live hosts that are not leaving, of the halls that match.
func liveHosts(v *kernel.View, of func(hall string) bool) []policy.Candidate {
	var out []policy.Candidate
	for n, m := range v.Members {
		if m.Callable() && of(m.Hall) {
			out = append(out, policy.Candidate{Host: n, Hall: m.Hall, Capacity: m.Capacity})
		}
	}
	return out
}
