package peers

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/kernel"
)

// A host that receives no announcement asks for one: it sends a heartbeat to one of the
// highest ranked hosts of its hall. If that host announces, its reply contains the
// announcement, and it learns of the sender. Without this, a host that the announcer does not
// know yet, such as one that has just started in a large hall, would take over from hosts of
// larger capacity and be overloaded by announcing to the whole hall.

const (
	// discoveryInterval is how often a host checks whether it receives announcements.
	discoveryInterval = 400 * time.Millisecond
	// discoveryTimeout is the time without an announcement after which a host asks for one. It
	// leaves time for an answer before the host takes over after announcerTimeout.
	discoveryTimeout = announcerTimeout / 2
	// discoveryCandidates is the number of highest ranked hosts that are asked in turn.
	discoveryCandidates = 3
)

func (g *gossip) discoveryLoop(ctx context.Context) {
	g.kernel.DoEvery(ctx, discoveryInterval, g.discoverAnnouncer)
}

// discoverAnnouncer asks for an announcement if this host needs one. It runs on the control
// thread.
func (g *gossip) discoverAnnouncer(s *kernel.State) {
	now := g.kernel.Now()
	if to := discoveryTarget(s, &g.kernel.Settings, now, g.announcementRequests); to.IsValid() {
		g.announcementRequests++
		message := g.message(s, now)
		go g.send(to, now, &message)
	}
}

// discoveryTarget returns the host to ask for an announcement after the given number of
// requests. There is none if this host has received an announcement recently or announces
// itself, or if no live host of its hall ranks before it. Hosts begin at different candidates,
// so that the hosts of a starting hall do not all ask the same one.
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
