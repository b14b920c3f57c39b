package kernel

import "net/netip"

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

// Staying reports whether the host is live and does not stop.
func (m *Member) Staying() bool { return m.Live && !m.Leaving }

// Callable reports whether requests and calls may be handed to the host.
func (m *Member) Callable() bool { return m.Staying() && m.Peer.IsValid() }
