package kernel

import "net/netip"

// Member is another entry host, as believed.
type Member struct {
	Host        string
	Incarnation string
	Hall        string
	Peer        netip.AddrPort
	// Live is true while its heartbeats are heard of.
	Live bool
	// Leaving is true once it said that it stops.
	Leaving  bool
	Revision uint64
	// Capacity is how much it can carry, as of policy.Capacity; above 0.
	Capacity int
}

// Staying reports whether the host is heard of and has not said that it stops.
func (m *Member) Staying() bool { return m.Live && !m.Leaving }

// Callable reports whether requests and calls may be handed to the host.
func (m *Member) Callable() bool { return m.Staying() && m.Peer.IsValid() }
