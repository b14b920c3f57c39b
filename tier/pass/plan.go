package pass

import (
	"math/rand/v2"

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
	absent []query.Reason
	// hall is the hall to which calls go that cannot be made in this host's own; empty
	// if any does.
	hall string
}

// covers reports whether the parts that have an upstream can cover what a class asks
// for.
func (p *plan) covers(class *config.Class) bool {
	return p.reachable > 0 && float64(p.reachable) >= class.Coverage*float64(len(p.groups))
}

// plan makes the plan of a request of a route.
func (e *engine) plan(v *kernel.View, r *config.Route) plan {
	if r.Gather != nil {
		return e.planOf(v, r.Gather.Groups, r.Homes)
	}
	return e.planOf(v, []string{e.splitters.target(r)}, r.Homes)
}

func (e *engine) planOf(v *kernel.View, groups, homes []string) plan {
	names, absent := make([][]string, len(groups)), make([]query.Reason, len(groups))
	placement := e.placement(v)
	for i, g := range groups {
		names[i], absent[i] = placement.Usable(g, homes)
	}
	p := plan{groups: groups, replicas: e.kernel.Fleet.Resolve(names), absent: absent}
	for _, us := range p.replicas {
		if len(us) > 0 {
			p.reachable++
		}
	}
	if len(groups) > 1 {
		p.hall = e.otherHall(v, names[rand.IntN(len(groups))])
	}
	return p
}

// otherHall returns the hall of one of some upstreams that is not in this host's own,
// drawn at random; empty if all are.
func (e *engine) otherHall(v *kernel.View, names []string) string {
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
