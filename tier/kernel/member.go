package kernel

import (
	"maps"
	"net/netip"
)

// Member is another entry host, as its heartbeats report it.
type Member struct {
	Host string
	// Incarnation names its process.
	Incarnation string
	// Hall is its data hall, Peer where other hosts connect.
	Hall string
	Peer netip.AddrPort
	// Live is true while its heartbeats arrive, directly or through other hosts.
	Live bool
	// Leaving is true once it reported that it stops.
	Leaving bool
	// Revision is the configuration in force there.
	Revision uint64
	// Capacity is how much work it can do, as of policy.Capacity; above 0.
	Capacity int
}

// Active reports whether the host is live and does not stop.
func (m *Member) Active() bool { return m.Live && !m.Leaving }

// Callable reports whether requests and calls may be handed to the host.
func (m *Member) Callable() bool { return m.Active() && m.Peer.IsValid() }

// SetMember notes what is known of a member, and has it published if anything changed
// that decisions depend on. Anything else is published with the next view.
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

// RemoveMember forgets a member.
func (s *State) RemoveMember(host string) {
	if _, known := s.Members[host]; !known {
		return
	}
	delete(s.Members, host)
	s.membersChanged()
	s.changed = true
}

// PublishMembers has members published that changed without being published.
func (s *State) PublishMembers() { s.changed = s.changed || s.publishedCopy == nil }

func (s *State) membersChanged() {
	s.MemberChanges++
	s.publishedCopy = nil
}

// publishedMembers is a copy of the members that does not change.
func (s *State) publishedMembers() map[string]Member {
	if s.publishedCopy == nil {
		s.publishedCopy = maps.Clone(s.Members)
	}
	return s.publishedCopy
}
