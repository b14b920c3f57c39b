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

// methodHeartbeat is the method by which hosts exchange heartbeats: both the parameters
// and the reply are a heartbeat.
const methodHeartbeat = "Beat"

const (
	// handoverShare is the part of a host's live members that another knows at most, to
	// which it hands them all over.
	fullSyncThreshold = 0.98
	// startInterval is the time between the heartbeats of a host that starts, when it knows
	// nobody: all hosts may have been started at once.
	startInterval = 200 * time.Millisecond
	// startHeartbeats is how many heartbeats a host sends at that interval.
	startHeartbeats = 8
	// confirmFresh is how long ago a document must have been the newest one, for a
	// heartbeat to confirm it.
	maxConfirmedAge = 2 * announcerTimeout
	// heartbeatBound is how long a heartbeat may take. A host of the same hall that has
	// not answered by then is asked once more, and suspected if it does not answer that.
	heartbeatTimeout = 500 * time.Millisecond
	// maxMembers is the most members that are known without a document, so that what a peer
	// makes up does not fill the memory.
	maxMembers = 16_384
)

// heartbeat is what a host reports to another.
type heartbeat struct {
	// Members begins with the sender.
	Members []memberEntry
	// Version, Era, Revision and Digest name the document in force.
	Version  uint64 `json:",omitempty"`
	Era      uint64 `json:",omitempty"`
	Revision uint64
	Digest   string
	// Published, of PublishedEra, is the latest revision known there; Refused is why the
	// newest refused document was refused.
	PublishedEra uint64 `json:",omitempty"`
	Published    uint64
	Refused      string `json:",omitempty"`
	// PlatformAge is how long ago the platform was read, as far as the sender knows.
	PlatformAge time.Duration
	// Hall is the data hall of the sender.
	Hall string
	// Directory is the digest of the listed upstreams, DirectoryEra and
	// DirectoryRevision the platform's position up to which the list is whole.
	Directory         uint64 `json:",omitempty"`
	DirectoryEra      uint64 `json:",omitempty"`
	DirectoryRevision uint64 `json:",omitempty"`
	// Leaving are upstreams of the hall that are known to leave.
	Leaving []leavingReport `json:",omitempty"`
	// Suspicions are hosts that did not answer heartbeats.
	Suspicions []suspicion `json:",omitempty"`
	// Known is how many members the sender knows, silent ones included: one that has found
	// many of them silent lacks nothing.
	Known int `json:",omitempty"`
	// Confirmed is true if the sender knows that its document was the newest so long ago.
	Confirmed    bool          `json:",omitempty"`
	ConfirmedAge time.Duration `json:",omitempty"`
	// Announcement is what the sender announces to its hall; in replies to hosts of that
	// hall only, and nil if it does not announce.
	Announcement *announcement `json:",omitempty"`
}

// edition is how new the document in force at the sender is.
func (h *heartbeat) edition() config.Edition {
	return config.Edition{Version: h.Version, Position: config.Position{Era: h.Era, Revision: h.Revision}}
}

type leavingReport struct {
	Upstream string
	// Age is how long ago the sign was given.
	Age time.Duration
}

// gossip exchanges heartbeats. All its fields are used on the control thread only.
type gossip struct {
	kernel  *kernel.Kernel
	node    *node
	fetcher *fetcher
	// announcements takes in what replies announce; nil where no adapter is set.
	announcements *announcementServer
	table         *memberTable
	random        *rand.Rand
	// sent counts the rounds of heartbeats sent.
	sent int
	// asked counts how often this host asked for an announcement.
	announcementRequests int
	// hurrying is true while an extra heartbeat is due.
	urgentScheduled bool
	// pauses is how many pauses of this process were taken into account.
	seenPauses int
	// index is the document that the control state's members were last made with.
	memberIndex *config.Index
}

// newGossip makes what exchanges heartbeats; its fetches are still to be set.
func newGossip(k *kernel.Kernel, n *node, random *rand.Rand) *gossip {
	self := memberEntry{Host: k.Settings.Host, Incarnation: k.Settings.Incarnation}
	if k.Settings.Adapter != "" {
		self.Hall, self.Peer, self.Capacity = k.Settings.Hall, k.Settings.Peer, k.Settings.Capacity()
	}
	table := newMemberTable(memberTableConfig{Self: self, Interval: k.Settings.Beat, Random: random})
	return &gossip{kernel: k, node: n, random: random, table: table}
}

// loop sends heartbeats at regular times, and at once when a planned stop begins.
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

// hurry sends an extra heartbeat in a moment, if something is to be passed on at once.
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
	err := g.node.callWithin(heartbeatTimeout, to, methodHeartbeat, message, &reply)
	if err != nil {
		// The connection may have gone silent, or have been lost with a process that
		// was started again.
		err = g.node.callWithin(heartbeatTimeout, to, methodHeartbeat, message, &reply)
	}
	if err != nil {
		g.kernel.Log.Debug().Err(err).Msg("heartbeat not answered")
		g.kernel.Do(func(s *kernel.State) { g.recordUnanswered(s, to, sentAt) })
		return
	}
	g.kernel.Do(func(s *kernel.State) { g.apply(s, to, &reply) })
}

// unanswered notes that a host did not answer a heartbeat. One of another hall is not
// suspected: it may be the way to its hall that is cut.
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

// reply is the answer to a heartbeat. A host that knows few others gets many.
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

// learn takes in a heartbeat, or the reply to one, of the host at an address.
func (g *gossip) apply(s *kernel.State, from netip.AddrPort, h *heartbeat) {
	now := g.kernel.Now()
	g.table.merge(now, g.filterEntries(s, h.Members))
	g.table.mergeSuspicions(now, h.Suspicions)
	g.updateMembers(s)
	if h.Hall == g.kernel.Settings.Hall {
		s.PlatformReadAt = max(s.PlatformReadAt, now-max(h.PlatformAge, 0))
		g.applyLeaving(s, now, h.Leaving)
	}
	s.NotePublished(config.Position{Era: h.PublishedEra, Revision: h.Published}, h.Refused)
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

// learnLeaving takes in signs of leaving, of upstreams of the document only.
func (g *gossip) applyLeaving(s *kernel.State, now time.Duration, signs []leavingReport) {
	for _, u := range signs {
		if s.Index != nil && s.Index.Upstream(u.Upstream) != nil {
			s.MarkLeaving(u.Upstream, now-max(u.Age, 0))
		}
	}
}

// credible returns the entries of hosts of the document, so that what a peer makes up
// does not fill the memory. Before there is a document all count, and where the
// platform lists no hosts, those with an address, up to maxMembers.
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
