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
	// suspectPartners is how many hosts of its hall that are suspected it goes to besides.
	suspectPartners = 1
	// otherHallPartners is how many hosts of other halls a heartbeat that goes there is
	// sent to.
	otherHallPartners = 1
	// meetHeartbeats is for how many heartbeats a host that announces has them go to all
	// halls, after those of its start.
	introductionHeartbeats = 15
	// silentPartners is how many silent hosts a heartbeat that goes to one is sent to.
	unresponsivePartners = 1
	// seedPartners is how many seeds a heartbeat that goes to seeds is sent to.
	seedPartners = 2
	// otherHallEvery has every so many heartbeats go to another hall too.
	otherHallEvery = 3
	// otherHallRarer is how many times more rarely those of a host go there whose hall has
	// a reader, which sends them: bytes between halls are dear.
	nonAnnouncerFactor = 5
	// silentEvery has every so many heartbeats go to a silent host too.
	unresponsiveEvery = 2
	// seedEvery has every so many heartbeats go to seeds that are no members: so a host
	// that was cut off finds the others again.
	seedEvery = 5
)

// partners decides whom a heartbeat goes to: a bounded number of hosts, whatever the
// size of the fleet. Its inputs are the members (live or silent, by the last
// heartbeats), the document's hosts, the seeds and the count of heartbeats sent.
func (g *gossip) partners(s *kernel.State) []netip.AddrPort {
	hall, unresponsive, other := g.sortHosts(s)
	out := g.partnersAmong(s, hall)
	if len(hall) == 0 {
		// Nobody is left whose heartbeats would show that a silent host is back.
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

// suspects lists the hosts of this hall that are suspected.
func (g *gossip) suspects(s *kernel.State) []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range g.table.suspected(g.kernel.Settings.Hall) {
		out = append(out, s.Members[n].Peer)
	}
	return out
}

// hallPartners draws the hosts of this hall that a heartbeat goes to.
func (g *gossip) hallPartners(s *kernel.State) []netip.AddrPort {
	hall, _, _ := g.sortHosts(s)
	return g.partnersAmong(s, hall)
}

func (g *gossip) partnersAmong(s *kernel.State, hall []netip.AddrPort) []netip.AddrPort {
	return append(g.sample(g.suspects(s), suspectPartners), g.sample(hall, hallPartners)...)
}

// meets reports whether this host has started lately, and not so lately that all hosts of
// a hall that starts still take themselves for the one that announces.
func (g *gossip) recentlyStarted() bool {
	sent := g.sent - startHeartbeats
	return sent > 0 && sent <= introductionHeartbeats
}

// oneOfEachHall draws a live host of each other hall. The host that announces has its
// heartbeats go there after its start, so that halls meet, and while this hall suspects
// hosts: else a lost relay is found by each call anew.
func (g *gossip) oneOfEachHall(s *kernel.State) []netip.AddrPort {
	_, others := byHall(s.Members, g.kernel.Settings.Hall, (*kernel.Member).Callable)
	var out []netip.AddrPort
	for _, hall := range slices.Sorted(maps.Keys(others)) {
		slices.Sort(others[hall])
		out = append(out, s.Members[others[hall][g.random.IntN(len(others[hall]))]].Peer)
	}
	return out
}

// sortHosts divides the other hosts into those of this hall, silent ones, and those of
// other halls. With an adapter the silent ones are of any hall, else of this hall only.
func (g *gossip) sortHosts(s *kernel.State) (hall, unresponsive, other []netip.AddrPort) {
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

// crosses reports whether this heartbeat goes to another hall too. Where one host of a
// hall reads the platform, that one informs the other halls. A host that has to learn
// from peers asks there each time.
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

// hosts lists the other entry hosts: those of the document, or where the platform
// lists none, the members.
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

// unknownSeeds lists the seeds that are no members as far as is known.
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

// byHall lists the members that a test picks: those of one hall, and those of each
// other.
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

// hostsOf lists the hosts of a document but one; none if there is no document.
func hostsOf(x *config.Index, except string) []config.Host {
	if x == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(x.Document.Hosts), func(h config.Host) bool { return h.Name == except })
}

// sample returns at most n items of a list, as a permutation draws them.
func sample[T any](permutation func(int) []int, from []T, n int) []T {
	var out []T
	for _, i := range permutation(len(from))[:min(n, len(from))] {
		out = append(out, from[i])
	}
	return out
}
