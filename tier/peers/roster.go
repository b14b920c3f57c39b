package peers

import (
	"cmp"
	"maps"
	"slices"

	"loomgap/tier/kernel"
)

// updateMembers writes what changed of the members into the control state.
func (g *gossip) updateMembers(s *kernel.State) {
	changed := g.table.takeChanges()
	if s.Index != g.memberIndex {
		g.memberIndex = s.Index
		changed = slices.AppendSeq(changed, maps.Keys(g.table.records))
	}
	for _, n := range changed {
		if r := g.table.records[n]; r != nil {
			s.SetMember(g.member(s, r))
		} else {
			s.RemoveMember(n)
		}
	}
}

// member is what the control state has of a member. If the document lists a host, its
// hall and address are the document's.
func (g *gossip) member(s *kernel.State, r *memberRecord) kernel.Member {
	m := kernel.Member{
		Host: r.Host, Incarnation: r.Incarnation, Live: r.live, Leaving: r.Leaving, Revision: r.Revision,
		Hall: r.Hall, Peer: r.Peer, Capacity: cmp.Or(r.Capacity, g.kernel.Settings.Capacity()),
	}
	if s.Index != nil {
		if h := s.Index.Host(r.Host); h != nil {
			m.Hall, m.Peer = h.Hall, h.Peer
		}
	}
	return m
}
