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
	// hallPartners is how many hosts of its own hall a heartbeat goes to.
	hallPartners = 2
	// suspectPartners is how many suspected hosts of its hall a heartbeat also goes to.
	suspectPartners = 1
	// otherHallPartners is how many hosts of other halls a heartbeat goes to, if it goes to
	// other halls.
	otherHallPartners = 1
	// introductionHeartbeats is how many heartbeats after its start phase an announcer sends
	// to all halls.
	introductionHeartbeats = 15
	// unresponsivePartners is how many unresponsive hosts a heartbeat goes to, if it goes to any.
	unresponsivePartners = 1
	// seedPartners is how many seeds a heartbeat goes to, if it goes to any.
	seedPartners = 2
	// otherHallEvery is the interval, in heartbeats, of those that also go to another hall.
	otherHallEvery = 3
	// nonAnnouncerFactor multiplies otherHallEvery for a host that does not announce, since
	// traffic between halls is expensive and the announcer of its hall already covers it.
	nonAnnouncerFactor = 5
	// unresponsiveEvery is the interval, in heartbeats, of those that also go to an
	// unresponsive host.
	unresponsiveEvery = 2
	// seedEvery is the interval, in heartbeats, of those that also go to seeds that are not
	// members, so that a partitioned host finds the others again.
	seedEvery = 5
)

// partners returns the hosts that a heartbeat goes to. Their number is bounded regardless of
// the size of the fleet. They are chosen from the members, the document's hosts and the
// seeds, depending on how many heartbeats were sent.
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

// recentlyStarted reports whether this host has started recently. It is false during the
// first heartbeats, in which all hosts of a starting hall may take themselves for the
// announcer.
func (g *gossip) recentlyStarted() bool {
	sent := g.sent - startHeartbeats
	return sent > 0 && sent <= introductionHeartbeats
}

// oneOfEachHall returns a random live host of each other hall. The announcer sends heartbeats
// there after its start, so that halls learn of each other, and while there are recent
// suspicions in this hall: otherwise each call from another hall would discover a lost relay
// anew.
func (g *gossip) oneOfEachHall(s *kernel.State) []netip.AddrPort {
	_, others := byHall(s.Members, g.kernel.Settings.Hall, (*kernel.Member).Callable)
	var out []netip.AddrPort
	for _, hall := range slices.Sorted(maps.Keys(others)) {
		slices.Sort(others[hall])
		out = append(out, s.Members[others[hall][g.random.IntN(len(others[hall]))]].Peer)
	}
	return out
}

// classifyHosts divides the other hosts into responsive ones of this hall, unresponsive ones, and
// hosts of other halls. The unresponsive ones are of any hall with an adapter, else of this
// hall only.
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

// sendsToOtherHall reports whether this heartbeat also goes to another hall. Where one host
// of a hall reads the platform, that host informs the other halls. A host that has to learn
// from peers asks other halls each time.
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

// byHall returns the names of the members that match: those of one hall, and those of the
// others by hall.
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
