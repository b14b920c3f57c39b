package kernel

import (
	"maps"
	"net/netip"
)

// Member is another entry host, as its heartbeats report it.
type Member struct {
	Host string
	// Incarnation identifies its process.
	Incarnation string
	// Hall is its data hall.
	Hall string
	// Peer is the address for connections from other entry hosts.
	Peer netip.AddrPort
	// Live is true while its heartbeats arrive, directly or through other hosts.
	Live bool
	// Leaving is true once it has reported that it is stopping.
	Leaving bool
	// Revision is the revision of its active document.
	Revision uint64
	// Capacity is its capacity as defined by policy.Capacity; always above 0.
	Capacity int
}

// Active reports whether the host is live and not stopping.
func (m *Member) Active() bool { return m.Live && !m.Leaving }

// Callable reports whether requests and calls may be sent to the host.
func (m *Member) Callable() bool { return m.Active() && m.Peer.IsValid() }

// SetMember updates a member. A change that decisions depend on is published after the
// current job, any other change together with the next view.
func (s *State) SetMember(m Member) {
	old, known := s.Members[m.Host]
	if known && old == m {
		return
	}
	s.Members[m.Host] = m
	s.publishedCopy = nil
	old.Revision = m.Revision
	if !known || old != m {
		s.MemberChanges++
		s.changed = true
	}
}

// RemoveMember removes a member.
func (s *State) RemoveMember(host string) {
	if _, known := s.Members[host]; !known {
		return
	}
	delete(s.Members, host)
	s.membersChanged()
	s.changed = true
}

// PublishMembers has a view published after the current job if members have unpublished
// changes.
func (s *State) PublishMembers() { s.changed = s.changed || s.publishedCopy == nil }

func (s *State) membersChanged() {
	s.MemberChanges++
	s.publishedCopy = nil
}

// publishedMembers returns an immutable copy of the members.
func (s *State) publishedMembers() map[string]Member {
	if s.publishedCopy == nil {
		s.publishedCopy = maps.Clone(s.Members)
	}
	return s.publishedCopy
}
