package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// methodHeartbeat is the method by which hosts exchange heartbeats. Both the parameters and
// the reply are a heartbeat.
const methodHeartbeat = "Beat"

const (
	// fullSyncThreshold is the fraction of this host's live members that a sender must know;
	// a sender that knows fewer gets a full sync.
	fullSyncThreshold = 0.98
	// startInterval is the time between the first heartbeats of a starting host, which knows
	// nobody: all hosts may have been started at once.
	startInterval = 200 * time.Millisecond
	// startHeartbeats is the number of heartbeats that a host sends at startInterval.
	startHeartbeats = 8
	// maxConfirmedAge is the age up to which the sender's confirmation of its document also
	// confirms it here.
	maxConfirmedAge = 2 * announcerTimeout
	// heartbeatTimeout limits one attempt of a heartbeat. A host of the same hall that does
	// not answer two attempts is suspected.
	heartbeatTimeout = 500 * time.Millisecond
	// maxMembers limits the members that no document lists, so that forged entries cannot
	// exhaust the memory.
	maxMembers = 16_384
)

// heartbeat is what a host reports to another.
type heartbeat struct {
	// Members begins with the sender.
	Members []memberEntry
	// Version, Era, Revision and Digest identify the sender's active document.
	Version  uint64 `json:",omitempty"`
	Era      uint64 `json:",omitempty"`
	Revision uint64
	Digest   string
	// PublishedEra and Published are the era and revision of the latest document known to the
	// sender; Refused is why the newest refused document was refused.
	PublishedEra uint64 `json:",omitempty"`
	Published    uint64
	Refused      string `json:",omitempty"`
	// PlatformAge is the time since the platform was read, as far as the sender knows.
	PlatformAge time.Duration
	// Hall is the data hall of the sender.
	Hall string
	// Directory is the digest of the sender's directory; DirectoryEra and DirectoryRevision
	// are the platform's position up to which it is complete.
	Directory         uint64 `json:",omitempty"`
	DirectoryEra      uint64 `json:",omitempty"`
	DirectoryRevision uint64 `json:",omitempty"`
	// Leaving are the upstreams that the sender knows to be leaving.
	Leaving []leavingReport `json:",omitempty"`
	// Suspicions are members that did not answer heartbeats.
	Suspicions []suspicion `json:",omitempty"`
	// Known is the number of members that the sender knows. It includes unresponsive ones, so
	// that a host that considers many members unresponsive gets no full sync.
	Known int `json:",omitempty"`
	// Confirmed is true if the sender knows that its document was the newest one
	// ConfirmedAge ago.
	Confirmed    bool          `json:",omitempty"`
	ConfirmedAge time.Duration `json:",omitempty"`
	// Announcement is what the sender announces to its hall. It is set only in replies to
	// hosts of that hall, and nil if the sender does not announce.
	Announcement *announcement `json:",omitempty"`
}

// edition returns the edition of the sender's active document.
func (h *heartbeat) edition() config.Edition {
	return config.Edition{Version: h.Version, Position: config.Position{Era: h.Era, Revision: h.Revision}}
}

type leavingReport struct {
	Upstream string
	// Age is the time since the upstream was reported to leave.
	Age time.Duration
}

// gossip exchanges heartbeats. Its fields are used on the control thread only.
type gossip struct {
	kernel  *kernel.Kernel
	node    *node
	fetcher *fetcher
	// announcements applies the announcements in replies; nil if no adapter is set.
	announcements *announcementServer
	table         *memberTable
	random        *rand.Rand
	// sent counts the rounds of heartbeats sent.
	sent int
	// announcementRequests counts how often this host asked for an announcement.
	announcementRequests int
	// urgentScheduled is true while an extra heartbeat is scheduled.
	urgentScheduled bool
	// seenPauses is the value of State.Pauses that was last handled.
	seenPauses int
	// memberIndex is the document from which the halls and addresses of the members in the
	// control state were taken.
	memberIndex *config.Index
}

// newGossip returns a gossip without a fetcher. The caller must set the fetcher, and
// announcements if needed.
func newGossip(k *kernel.Kernel, n *node, random *rand.Rand) *gossip {
	self := memberEntry{Host: k.Settings.Host, Incarnation: k.Settings.Incarnation}
	if k.Settings.Adapter != "" {
		self.Hall, self.Peer, self.Capacity = k.Settings.Hall, k.Settings.Peer, k.Settings.Capacity()
	}
	table := newMemberTable(memberTableConfig{Self: self, Interval: k.Settings.Beat, Random: random})
	return &gossip{kernel: k, node: n, random: random, table: table}
}

// loop sends heartbeats periodically, and at once when a planned stop begins.
func (g *gossip) loop(ctx context.Context) {
	tick := time.NewTicker(min(startInterval, g.kernel.Settings.Beat))
	defer tick.Stop()
	stopping := g.kernel.Stopping()
	g.kernel.Do(g.sendAll)
	for sent := 0; ; sent++ {
		if sent == startHeartbeats {
			tick.Reset(g.kernel.Settings.Beat)
		}
		select {
		case <-ctx.Done():
			return
		case <-stopping:
			stopping = nil
			g.kernel.Do(func(s *kernel.State) {
				g.table.leave()
				g.sendAll(s)
			})
		case <-tick.C:
			g.kernel.Do(g.sendAll)
		}
	}
}

func (g *gossip) sendAll(s *kernel.State) {
	now := g.kernel.Now()
	if s.Pauses != g.seenPauses {
		g.seenPauses = s.Pauses
		g.table.resetTimers(now)
	}
	g.sent++
	g.table.tick(now, s.Edition().Revision)
	g.updateMembers(s)
	s.PublishMembers()
	message := g.message(s, now)
	for _, to := range g.partners(s) {
		go g.send(to, now, &message)
	}
}

// scheduleUrgent sends an extra heartbeat after urgentDelay if there is an urgent update.
func (g *gossip) scheduleUrgent() {
	if g.urgentScheduled || !g.table.takeUrgent() {
		return
	}
	g.urgentScheduled = true
	time.AfterFunc(urgentDelay, func() {
		g.kernel.Do(func(s *kernel.State) {
			g.urgentScheduled = false
			now := g.kernel.Now()
			message := g.message(s, now)
			for _, to := range g.hallPartners(s) {
				go g.send(to, now, &message)
			}
		})
	})
}

func (g *gossip) message(s *kernel.State, now time.Duration) heartbeat {
	h := heartbeat{
		Members: g.table.entries(now), Suspicions: g.table.suspicions(now), Known: len(g.table.order),
		Hall: g.kernel.Settings.Hall, PlatformAge: now - s.PlatformReadAt,
		PublishedEra: s.Published.Era, Published: s.Published.Revision, Refused: s.Refused,
		Confirmed: s.Confirmed, ConfirmedAge: now - s.ConfirmedAt,
	}
	if s.Directory != nil {
		h.Directory, h.DirectoryEra, h.DirectoryRevision = s.Directory.Digest(), s.Directory.Era, s.Directory.Revision
	}
	if s.Index != nil {
		h.Version, h.Era, h.Revision, h.Digest = s.Index.Version, s.Index.Era, s.Index.Revision, s.Index.Digest
	}
	for u, at := range s.Leaving {
		h.Leaving = append(h.Leaving, leavingReport{Upstream: u, Age: now - at})
	}
	return h
}

func (g *gossip) send(to netip.AddrPort, sentAt time.Duration, message *heartbeat) {
	var reply heartbeat
	err := callWithin(g.node, heartbeatTimeout, to, methodHeartbeat, message, &reply)
	if err != nil {
		// The connection may have stalled, or have been lost when the peer restarted.
		err = callWithin(g.node, heartbeatTimeout, to, methodHeartbeat, message, &reply)
	}
	if err != nil {
		g.kernel.Log.Debug().Err(err).Msg("failed to exchange heartbeats")
		g.kernel.Do(func(s *kernel.State) { g.recordUnanswered(s, to, sentAt) })
		return
	}
	g.kernel.Do(func(s *kernel.State) { g.apply(s, to, &reply) })
}

// recordUnanswered records that a host did not answer a heartbeat. It does not suspect a host
// of another hall, since the link to that hall may be down.
func (g *gossip) recordUnanswered(s *kernel.State, to netip.AddrPort, sentAt time.Duration) {
	for n, m := range s.Members {
		if m.Peer == to && m.Hall == g.kernel.Settings.Hall {
			g.table.recordUnanswered(g.kernel.Now(), n, sentAt)
		}
	}
	g.updateMembers(s)
	g.scheduleUrgent()
}

func (g *gossip) onHeartbeat(ctx context.Context, in *heartbeat) (any, error) {
	if len(in.Members) == 0 || len(in.Members) > heartbeatEntries {
		return nil, fmt.Errorf("heartbeat of %d members: send 1 to %d", len(in.Members), heartbeatEntries)
	}
	return kernel.DoWithResult(ctx, g.kernel, func(s *kernel.State) any {
		from := in.Members[0].Peer
		if s.Index != nil && s.Index.Host(in.Members[0].Host) != nil {
			from = s.Index.Host(in.Members[0].Host).Peer
		}
		g.apply(s, from, in)
		return g.reply(s, in)
	})
}

// reply returns the answer to a heartbeat, with a full sync for a host that knows few others.
func (g *gossip) reply(s *kernel.State, in *heartbeat) heartbeat {
	now := g.kernel.Now()
	out := g.message(s, now)
	if g.table.needsFullSync(in.Known) {
		out.Members = g.table.fullSync(now)
	}
	if in.Hall == g.kernel.Settings.Hall && canAnnounce(s) {
		m := newAnnouncement(g.kernel, s, now)
		out.Announcement = &m
	}
	return out
}

// apply merges a heartbeat, or the reply to one, of the host at an address.
func (g *gossip) apply(s *kernel.State, from netip.AddrPort, h *heartbeat) {
	now := g.kernel.Now()
	g.table.merge(now, g.filterEntries(s, h.Members))
	g.table.mergeSuspicions(now, h.Suspicions)
	g.updateMembers(s)
	if h.Hall == g.kernel.Settings.Hall {
		noteRead(s, now-max(h.PlatformAge, 0))
		g.applyLeaving(s, now, h.Leaving)
	}
	s.NotePublished(config.Position{Era: h.PublishedEra, Revision: h.Published}, h.Refused)
	s.NoteEdition(h.edition())
	if h.Announcement != nil && g.announcements != nil {
		g.announcements.apply(s, h.Announcement)
	}
	g.scheduleUrgent()
	g.compareEdition(s, now, h)
	if !from.IsValid() {
		return
	}
	g.compareDirectory(s, now, from, h)
	if h.edition().Newer(s.Edition()) {
		g.fetcher.fetchDocument(from)
	}
}

// applyLeaving merges reports that upstreams leave. Upstreams not in the document are ignored.
func (g *gossip) applyLeaving(s *kernel.State, now time.Duration, reports []leavingReport) {
	for _, u := range reports {
		if s.Index != nil && s.Index.Upstream(u.Upstream) != nil {
			s.MarkLeaving(u.Upstream, now-max(u.Age, 0))
		}
	}
}

// filterEntries drops entries of hosts that are not in the document, so that forged entries
// cannot exhaust the memory. Without a document it keeps all entries. With an adapter, whose
// platform lists no hosts, it keeps entries with an address, up to maxMembers.
func (g *gossip) filterEntries(s *kernel.State, entries []memberEntry) []memberEntry {
	if g.kernel.Settings.Adapter != "" {
		return slices.DeleteFunc(entries, func(e memberEntry) bool {
			_, known := s.Members[e.Host]
			return !e.Peer.IsValid() || !known && len(s.Members) >= maxMembers
		})
	}
	if s.Index == nil {
		return entries
	}
	return slices.DeleteFunc(entries, func(e memberEntry) bool { return s.Index.Host(e.Host) == nil })
}
