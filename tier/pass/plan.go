package pass

import (
	"math/rand/v2"
	"slices"
	"sync"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/query"
)

// plan holds the upstreams that may serve each part of a request. It is immutable.
type plan struct {
	// groups has the group of each part; replicas has its upstreams.
	groups   []string
	replicas [][]*policy.Upstream
	// reachable counts the parts that have an upstream.
	reachable int
	// noUpstreamReasons has the reason for each part without an upstream.
	noUpstreamReasons []query.Reason
	// preferredHall is the hall preferred for calls that cannot be made in this host's own
	// hall; empty for no preference.
	preferredHall string
}

// covers reports whether the reachable parts can meet the coverage that a class requires.
func (p *plan) covers(class *config.Class) bool {
	return p.reachable > 0 && float64(p.reachable) >= class.Coverage*float64(len(p.groups))
}

// makePlan plans the request unless that was done to find its gate.
func (q *request) makePlan() {
	if q.plan.groups == nil {
		q.plan = q.engine.plan(q.view, q.route)
	}
}

func (e *engine) plan(v *kernel.View, r *config.Route) plan {
	var groups []string
	if r.Gather != nil {
		groups = r.Gather.Groups
	} else {
		groups = []string{e.splitters.pickGroup(r)}
	}
	names, noUpstreamReasons := make([][]string, len(groups)), make([]query.Reason, len(groups))
	placement := e.placement(v)
	for i, g := range groups {
		names[i], noUpstreamReasons[i] = placement.AllowedUpstreams(g, r.Homes)
	}
	p := plan{groups: groups, replicas: e.kernel.Fleet.Resolve(names), noUpstreamReasons: noUpstreamReasons}
	for _, us := range p.replicas {
		if len(us) > 0 {
			p.reachable++
		}
	}
	if len(groups) > 1 {
		p.preferredHall = e.pickRemoteHall(v, names[rand.IntN(len(groups))])
	}
	return p
}

// pickRemoteHall returns the hall of a random upstream that is outside this host's hall, or
// "" if there is none.
func (e *engine) pickRemoteHall(v *kernel.View, names []string) string {
	for _, i := range rand.Perm(len(names)) {
		if l, listed := v.Directory.Find(names[i]); listed && l.Hall != e.kernel.Settings.Hall {
			return l.Hall
		}
	}
	return ""
}

// placement returns the rules of a view about where requests may go.
func (e *engine) placement(v *kernel.View) *policy.Placement {
	return &policy.Placement{Regions: e.kernel.Settings.Regions, Directory: v.Directory}
}

// splitters holds the splitter of each route with a split. It is safe for concurrent use;
// the zero value is ready to use.
type splitters struct {
	mu sync.Mutex
	// byRoute holds the splitters by route name.
	byRoute map[string]*splitter
}

// pickGroup returns the group that a request of a route goes to.
func (s *splitters) pickGroup(r *config.Route) string {
	if len(r.Split) == 0 {
		return r.Group
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRoute == nil {
		s.byRoute = map[string]*splitter{}
	}
	sp := s.byRoute[r.Name]
	if sp == nil || !slices.Equal(sp.split, r.Split) {
		sp = newSplitter(r.Split)
		s.byRoute[r.Name] = sp
	}
	return sp.next()
}

// splitter distributes the requests of a route over groups by smooth weighted round-robin:
// each request goes to the group that lags furthest behind its share. Random selection
// would deviate from the weights over short periods.
type splitter struct {
	split []config.WeightedGroup
	// lag is how far each group is behind its share, in units of weight. next keeps the sum
	// constant.
	lag         []float64
	totalWeight float64
}

// newSplitter returns a splitter with a random starting position, so that hosts do not all
// start with the same group.
func newSplitter(split []config.WeightedGroup) *splitter {
	s := &splitter{split: split, lag: make([]float64, len(split))}
	for _, w := range split {
		s.totalWeight += w.Weight
	}
	for i := range s.lag {
		s.lag[i] = split[i].Weight * rand.Float64()
	}
	return s
}

// next returns the group of the next request. The choice does not depend on the load or
// availability of the groups.
func (s *splitter) next() string {
	best := -1
	for i, w := range s.split {
		if w.Weight == 0 {
			continue
		}
		s.lag[i] += w.Weight
		if best < 0 || s.lag[i] > s.lag[best] {
			best = i
		}
	}
	s.lag[best] -= s.totalWeight
	return s.split[best].Group
}
