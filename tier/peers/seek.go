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
	seekEvery = 400 * time.Millisecond
	// seekAfter is how long a host hears none before it asks: long enough before
	// announceLost that an answer comes before it takes over.
	seekAfter = announceLost / 2
	// seekAmong is how many hosts, the first by rank, are asked in turn.
	seekAmong = 3
)

func (g *gossip) seekLoop(ctx context.Context) {
	g.kernel.DoEvery(ctx, seekEvery, g.seek)
}

// seek asks for an announcement if this host needs one; it runs on the control thread.
func (g *gossip) seek(s *kernel.State) {
	now := g.kernel.Now()
	if to := seekFrom(s, &g.kernel.Settings, now, g.asked); to.IsValid() {
		g.asked++
		message := g.message(s, now)
		go g.send(to, now, &message)
	}
}

// seekFrom decides whom a host asks for an announcement; nobody if it has heard one lately, if
// it announces itself, or if no live host of its hall ranks before it. It asks the first
// ones in turn, beginning anywhere, so that all hosts of a hall that starts do not ask one.
func seekFrom(s *kernel.State, settings *kernel.Settings, now time.Duration, asked int) netip.AddrPort {
	for _, a := range s.HallAnnouncers {
		if now-a.At < seekAfter {
			return netip.AddrPort{}
		}
	}
	if s.Announcing && s.AnnouncedReadAt > 0 {
		return netip.AddrPort{}
	}
	r := newReaderRanking(s, settings)
	var first []string
	for n, m := range s.Members {
		if m.Callable() && m.Hall == settings.Hall && r.isBefore(n) {
			first = append(first, n)
		}
	}
	if len(first) == 0 {
		return netip.AddrPort{}
	}
	slices.SortFunc(first, r.compare)
	turn := xxhash.Sum64String(settings.Host)%seekAmong + uint64(asked)
	return s.Members[first[turn%uint64(min(seekAmong, len(first)))]].Peer
}
