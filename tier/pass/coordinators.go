package pass

import (
	"maps"
	"sync/atomic"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// minUpstreamShare is the minimum number of upstreams that a hall must list for its hosts
// to be coordinators, as a fraction of those of the hall with the most. In smaller halls,
// most calls would go to another hall again.
const minUpstreamShare = 0.5

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

// coordinator selects the host that is to execute the request; false means this one.
func (q *request) coordinator(tried map[string]bool) (policy.Candidate, bool) {
	e := q.engine
	allowed := e.placement(q.view).AllowedHosts(*e.coordinators.candidates.Load(), q.route.Homes)
	best := policy.Coordinators(e.self(), e.hosts.candidates(allowed, e.kernel.Now(), tried))
	if len(best) == 0 {
		return policy.Candidate{}, false
	}
	return best[0], true
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
