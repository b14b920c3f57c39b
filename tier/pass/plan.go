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

// plan says which upstreams may answer each part of a request. It is made once and never
// changed.
type plan struct {
	// groups has the group of each part, replicas its upstreams.
	groups   []string
	replicas [][]*policy.Upstream
	// reachable counts the parts that have an upstream.
	reachable int
	// absent says for each other part why it has none.
	absentReasons []query.Reason
	// hall is the hall to which calls go that cannot be made in this host's own; empty
	// if any does.
	remoteHall string
}

// covers reports whether the parts that have an upstream can cover what a class asks
// for.
func (p *plan) covers(class *config.Class) bool {
	return p.reachable > 0 && float64(p.reachable) >= class.Coverage*float64(len(p.groups))
}

func (e *engine) plan(v *kernel.View, r *config.Route) plan {
	var groups []string
	if r.Gather != nil {
		groups = r.Gather.Groups
	} else {
		groups = []string{e.splitters.pickGroup(r)}
	}
	names, absentReasons := make([][]string, len(groups)), make([]query.Reason, len(groups))
	placement := e.placement(v)
	for i, g := range groups {
		names[i], absentReasons[i] = placement.AllowedUpstreams(g, r.Homes)
	}
	p := plan{groups: groups, replicas: e.kernel.Fleet.Resolve(names), absentReasons: absentReasons}
	for _, us := range p.replicas {
		if len(us) > 0 {
			p.reachable++
		}
	}
	if len(groups) > 1 {
		p.remoteHall = e.pickRemoteHall(v, names[rand.IntN(len(groups))])
	}
	return p
}

// otherHall returns the hall of one of some upstreams that is not in this host's own,
// drawn at random; empty if all are.
func (e *engine) pickRemoteHall(v *kernel.View, names []string) string {
	for _, i := range rand.Perm(len(names)) {
		if l, listed := v.Directory.Find(names[i]); listed && l.Hall != e.kernel.Settings.Hall {
			return l.Hall
		}
	}
	return ""
}

// placement says where requests may go as of a view.
func (e *engine) placement(v *kernel.View) *policy.Placement {
	return &policy.Placement{Regions: e.kernel.Settings.Regions, Directory: v.Directory}
}

// splitters holds the splitter of each route with a split. It is safe for concurrent
// use; the zero value is ready.
type splitters struct {
	mu sync.Mutex
	// byRoute holds the splitter of each route by name.
	byRoute map[string]*splitter
}

// target returns the one group that a request of a route goes to.
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

// splitter divides the requests of a route between groups in proportion to their weights:
// each turn goes to the group that lags most behind its share. Drawing at random would
// deviate from the weights over short times.
type splitter struct {
	split []config.WeightedGroup
	// lag is how far each group is behind its share, in units of weight; next leaves
	// the total unchanged.
	lag []float64
	// sum is that of the weights.
	totalWeight float64
}

// newSplitter makes a splitter that begins anywhere in its round, so that many
// hosts do not all begin with the same group.
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

// next returns the group whose turn it is. A turn belongs to its group: it is not
// given to another one that has more room.
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
