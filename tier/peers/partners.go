package peers

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

const (
	// hallPartners is the number of hosts of its own hall that a heartbeat goes to.
	hallPartners = 2
	// suspectPartners is the number of suspected hosts of its own hall that a heartbeat goes
	// to in addition.
	suspectPartners = 1
	// otherHallPartners is the number of hosts of other halls that every otherHallEvery-th
	// heartbeat goes to.
	otherHallPartners = 1
	// introductionHeartbeats is the number of heartbeats after its start phase that an
	// announcer sends to all halls.
	introductionHeartbeats = 15
	// unresponsivePartners is the number of unresponsive hosts that every
	// unresponsiveEvery-th heartbeat goes to.
	unresponsivePartners = 1
	// seedPartners is the number of seeds that every seedEvery-th heartbeat goes to. These are
	// seeds that are not members, so that a partitioned host finds the others again.
	seedPartners   = 2
	otherHallEvery = 3
	// nonAnnouncerFactor multiplies otherHallEvery for a host that does not announce, since
	// traffic between halls is expensive and the announcer of its hall already covers it.
	nonAnnouncerFactor = 5
	unresponsiveEvery  = 2
	seedEvery          = 5
)

// partners returns the hosts that the next heartbeat goes to, chosen from the members, the
// document's hosts and the seeds. Their number does not grow with the hosts of a hall.
func (g *gossip) partners(s *kernel.State) []netip.AddrPort {
	hall, unresponsive, other := g.classifyHosts(s)
	out := g.sampleHallPartners(s, hall)
	if len(hall) == 0 {
		// No live host is left to report that an unresponsive one is back.
		out = g.sample(unresponsive, hallPartners)
	}
	switch {
	case s.Announcing && (g.recentlyStarted() || g.table.hasRecentSuspicions(g.kernel.Now())):
		out = append(out, g.oneOfEachHall(s)...)
	case g.sendsToOtherHall(s):
		out = append(out, g.sample(other, otherHallPartners)...)
	}
	if g.sent%unresponsiveEvery == 0 {
		out = append(out, g.sample(unresponsive, unresponsivePartners)...)
	}
	if len(out) == 0 || g.sent%seedEvery == 0 {
		out = append(out, g.sample(g.unknownSeeds(s), seedPartners)...)
	}
	return out
}

// suspects returns the suspected hosts of this hall.
func (g *gossip) suspects(s *kernel.State) []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range g.table.suspected(g.kernel.Settings.Hall) {
		out = append(out, s.Members[n].Peer)
	}
	return out
}

// hallPartners returns the hosts of this hall that a heartbeat goes to.
func (g *gossip) hallPartners(s *kernel.State) []netip.AddrPort {
	hall, _, _ := g.classifyHosts(s)
	return g.sampleHallPartners(s, hall)
}

func (g *gossip) sampleHallPartners(s *kernel.State, hall []netip.AddrPort) []netip.AddrPort {
	return append(g.sample(g.suspects(s), suspectPartners), g.sample(hall, hallPartners)...)
}

// recentlyStarted reports whether this host is within its introductionHeartbeats. It is false
// during the start phase, when each host of a starting hall may consider itself the announcer.
func (g *gossip) recentlyStarted() bool {
	sent := g.sent - startHeartbeats
	return sent > 0 && sent <= introductionHeartbeats
}

// oneOfEachHall returns a random live host of each other hall. The announcer sends heartbeats
// to them after its start, so that halls learn of each other, and while there are recent
// suspicions in this hall: otherwise each host of another hall would notice a failed relay
// only by its own failed calls.
func (g *gossip) oneOfEachHall(s *kernel.State) []netip.AddrPort {
	_, others := byHall(s.Members, g.kernel.Settings.Hall, (*kernel.Member).Callable)
	var out []netip.AddrPort
	for _, hall := range slices.Sorted(maps.Keys(others)) {
		slices.Sort(others[hall])
		out = append(out, s.Members[others[hall][g.random.IntN(len(others[hall]))]].Peer)
	}
	return out
}

// classifyHosts divides the other hosts into responsive ones of this hall, unresponsive ones,
// and hosts of other halls. With an adapter, unresponsive includes hosts of all halls,
// otherwise only those of this hall.
func (g *gossip) classifyHosts(s *kernel.State) (hall, unresponsive, other []netip.AddrPort) {
	for _, h := range g.hosts(s) {
		m, known := s.Members[h.Name]
		isUnresponsive := known && !m.Live
		switch {
		case isUnresponsive && g.kernel.Settings.Adapter != "":
			unresponsive = append(unresponsive, h.Peer)
		case h.Hall != g.kernel.Settings.Hall:
			other = append(other, h.Peer)
		case isUnresponsive:
			unresponsive = append(unresponsive, h.Peer)
		default:
			hall = append(hall, h.Peer)
		}
	}
	return hall, unresponsive, other
}

// sendsToOtherHall reports whether this heartbeat also goes to another hall. A host that
// cannot reach the platform sends every heartbeat there, since it has to learn from peers.
// With an adapter, a host that does not announce does so rarely (nonAnnouncerFactor).
func (g *gossip) sendsToOtherHall(s *kernel.State) bool {
	switch {
	case s.PlatformDown:
		return true
	case g.kernel.Settings.Adapter != "" && !s.Announcing:
		return g.sent%(otherHallEvery*nonAnnouncerFactor) == 0
	default:
		return g.sent%otherHallEvery == 0
	}
}

// hosts returns the other entry hosts: those of the document, or the members with an adapter,
// whose platform lists no hosts.
func (g *gossip) hosts(s *kernel.State) []config.Host {
	if g.kernel.Settings.Adapter == "" {
		return hostsOf(s.Index, g.kernel.Settings.Host)
	}
	var out []config.Host
	for n, m := range s.Members {
		if m.Peer.IsValid() && !m.Leaving {
			out = append(out, config.Host{Name: n, Hall: m.Hall, Peer: m.Peer})
		}
	}
	slices.SortFunc(out, func(a, b config.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// unknownSeeds returns the seeds that are not known to be members.
func (g *gossip) unknownSeeds(s *kernel.State) []netip.AddrPort {
	known := map[netip.AddrPort]bool{g.kernel.Settings.Peer: true}
	for _, m := range s.Members {
		known[m.Peer] = true
	}
	return slices.DeleteFunc(slices.Clone(g.kernel.Reloadable().Seeds), func(a netip.AddrPort) bool { return known[a] })
}

func (g *gossip) sample(from []netip.AddrPort, n int) []netip.AddrPort {
	return sample(g.random.Perm, from, n)
}

// byHall returns the names of the matching members of a hall (near), and those of the other
// halls by hall (far).
func byHall(members map[string]kernel.Member, hall string, match func(*kernel.Member) bool) (near []string, far map[string][]string) {
	far = map[string][]string{}
	for n, m := range members {
		switch {
		case !match(&m):
		case m.Hall == hall:
			near = append(near, n)
		default:
			far[m.Hall] = append(far[m.Hall], n)
		}
	}
	return near, far
}

// hostsOf returns the hosts of a document except one; none if there is no document.
func hostsOf(x *config.Index, except string) []config.Host {
	if x == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(x.Document.Hosts), func(h config.Host) bool { return h.Name == except })
}

// sample returns at most n items of a list, in the order of a permutation.
func sample[T any](permutation func(int) []int, from []T, n int) []T {
	var out []T
	for _, i := range permutation(len(from))[:min(n, len(from))] {
		out = append(out, from[i])
	}
	return out
}
