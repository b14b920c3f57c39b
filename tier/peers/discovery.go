package peers

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/kernel"
)

// A host that hears no announcement asks for one: it sends a heartbeat to a host that ranks
// first in its hall. The reply is an announcement if that host announces, and from then on
// it knows the one that asked. Without it, a host that the announcer has not met yet, as
// one that has just started in a large hall, believes that nobody announces: it takes over
// though stronger hosts do, announces to the whole hall, and falls behind under that load.

const (
	// seekEvery is how often a host checks whether it hears announcements.
	discoveryInterval = 400 * time.Millisecond
	// seekAfter is how long a host hears none before it asks: long enough before
	// announceLost that an answer comes before it takes over.
	discoveryTimeout = announcerTimeout / 2
	// seekAmong is how many hosts, the first by rank, are asked in turn.
	discoveryCandidates = 3
)

func (g *gossip) discoveryLoop(ctx context.Context) {
	g.kernel.DoEvery(ctx, discoveryInterval, g.discoverAnnouncer)
}

// seek asks for an announcement if this host needs one; it runs on the control thread.
func (g *gossip) discoverAnnouncer(s *kernel.State) {
	now := g.kernel.Now()
	if to := discoveryTarget(s, &g.kernel.Settings, now, g.announcementRequests); to.IsValid() {
		g.announcementRequests++
		message := g.message(s, now)
		go g.send(to, now, &message)
	}
}

// seekFrom decides whom a host asks for an announcement; nobody if it has heard one lately, if
// it announces itself, or if no live host of its hall ranks before it. It asks the first
// ones in turn, beginning anywhere, so that all hosts of a hall that starts do not ask one.
func discoveryTarget(s *kernel.State, settings *kernel.Settings, now time.Duration, asked int) netip.AddrPort {
	for _, a := range s.HallAnnouncers {
		if now-a.At < discoveryTimeout {
			return netip.AddrPort{}
		}
	}
	if s.Announcing && s.AnnouncedReadAt > 0 {
		return netip.AddrPort{}
	}
	r := newReaderRanking(s, settings)
	var candidates []string
	for n, m := range s.Members {
		if m.Callable() && m.Hall == settings.Hall && r.ranksBefore(n) {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}
	}
	slices.SortFunc(candidates, r.compare)
	turn := xxhash.Sum64String(settings.Host)%discoveryCandidates + uint64(asked)
	return s.Members[candidates[turn%uint64(min(discoveryCandidates, len(candidates)))]].Peer
}
