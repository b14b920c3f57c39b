package peers

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// methodHeartbeat is the method by which hosts exchange heartbeats: both the parameters
// and the reply are a heartbeat.
const methodHeartbeat = "Beat"

const (
	// startInterval is the time between the heartbeats of a host that starts, when it
	// knows nobody: all hosts may have been started at once. Not measured.
	startInterval = 200 * time.Millisecond
	// startHeartbeats is how many heartbeats a host sends at that interval. Not
	// measured.
	startHeartbeats = 8
	// maxMembers is the most members that are known without a document, so that what a
	// peer makes up does not fill the memory. Not measured.
	maxMembers = 4096
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
	Leaving []leavingSign `json:",omitempty"`
}

// edition is how new the document in force at the sender is.
func (h *heartbeat) edition() config.Edition {
	return config.Edition{Version: h.Version, Position: config.Position{Era: h.Era, Revision: h.Revision}}
}

type leavingSign struct {
	Upstream string
	// Age is how long ago the sign was given.
	Age time.Duration
}

// gossip exchanges heartbeats. All its fields are used on the control thread only.
type gossip struct {
	kernel  *kernel.Kernel
	node    *node
	fetches *fetches
	table   *memberTable
	random  *rand.Rand
	// sent counts the rounds of heartbeats sent.
	sent int
	// pauses is how many pauses of this process were taken into account.
	pauses int
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
	if s.Pauses != g.pauses {
		g.pauses = s.Pauses
		g.table.restartSilence(now)
	}
	g.sent++
	g.table.tick(now, s.Edition().Revision)
	g.updateMembers(s, now)
	message := g.message(s, now)
	for _, to := range g.partners(s) {
		go g.send(to, &message)
	}
}

func (g *gossip) message(s *kernel.State, now time.Duration) heartbeat {
	h := heartbeat{
		Members: g.table.entries(now), Hall: g.kernel.Settings.Hall, PlatformAge: now - s.PlatformReadAt,
		PublishedEra: s.Published.Era, Published: s.Published.Revision, Refused: s.Refused,
	}
	if s.Directory != nil {
		h.Directory, h.DirectoryEra, h.DirectoryRevision = s.Directory.Digest(), s.Directory.Era, s.Directory.Revision
	}
	if s.Index != nil {
		h.Version, h.Era, h.Revision, h.Digest = s.Index.Version, s.Index.Era, s.Index.Revision, s.Index.Digest
	}
	for u, at := range s.Leaving {
		h.Leaving = append(h.Leaving, leavingSign{Upstream: u, Age: now - at})
	}
	return h
}

func (g *gossip) send(to netip.AddrPort, message *heartbeat) {
	var reply heartbeat
	if err := g.node.callWithin(callBound, to, methodHeartbeat, message, &reply); err != nil {
		g.kernel.Log.Debug().Err(err).Msg("heartbeat not answered")
		return
	}
	g.kernel.Do(func(s *kernel.State) { g.learn(s, to, &reply) })
}

func (g *gossip) onHeartbeat(ctx context.Context, in *heartbeat) (any, error) {
	if len(in.Members) == 0 || len(in.Members) > heartbeatEntries {
		return nil, fmt.Errorf("heartbeat of %d members: send 1 to %d", len(in.Members), heartbeatEntries)
	}
	out := make(chan heartbeat, 1)
	g.kernel.Do(func(s *kernel.State) {
		from := in.Members[0].Peer
		if s.Index != nil && s.Index.Host(in.Members[0].Host) != nil {
			from = s.Index.Host(in.Members[0].Host).Peer
		}
		g.learn(s, from, in)
		out <- g.message(s, g.kernel.Now())
	})
	select {
	case h := <-out:
		return h, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// learn takes in a heartbeat, or the reply to one, of the host at an address.
func (g *gossip) learn(s *kernel.State, from netip.AddrPort, h *heartbeat) {
	now := g.kernel.Now()
	g.table.merge(now, g.credible(s, h.Members))
	g.updateMembers(s, now)
	if h.Hall == g.kernel.Settings.Hall {
		s.PlatformReadAt = max(s.PlatformReadAt, now-max(h.PlatformAge, 0))
		g.learnLeaving(s, now, h.Leaving)
	}
	s.NotePublished(config.Position{Era: h.PublishedEra, Revision: h.Published}, h.Refused)
	g.compareEdition(s, h)
	if !from.IsValid() {
		return
	}
	g.compareDirectory(s, now, from, h)
	if h.edition().Newer(s.Edition()) {
		g.fetches.fetchDocument(from)
	}
}

// compareDirectory fetches the directory of a peer if this host has to learn from peers,
// or if the two know different eras of the platform's history and what the peer knows
// counts: it knows the later era, or the later one is not settled yet.
func (g *gossip) compareDirectory(s *kernel.State, now time.Duration, from netip.AddrPort, h *heartbeat) {
	if h.Directory == s.Directory.Digest() {
		return
	}
	era := s.Directory.Position().Era
	switch {
	case s.FeedDown:
		g.fetches.fetchDirectory(from)
	case era == 0 || h.DirectoryEra == 0 || h.DirectoryEra == era:
	case h.DirectoryEra > era || s.Directory.Unsettled():
		g.fetches.fetchDirectoryAgain(now, from)
	}
}

func (g *gossip) compareEdition(s *kernel.State, h *heartbeat) {
	if s.Index == nil {
		return
	}
	if h.edition() == s.Edition() && h.Digest != s.Index.Digest {
		metrics.GetOrCreateCounter("loomgap_config_conflicts_total").Inc()
		g.kernel.Log.Error().Uint64("Revision", h.Revision).Msg("a peer holds another document of the same revision: publish a new revision")
	}
	if !h.edition().Newer(s.Edition()) {
		s.Confirm()
	}
}

// learnLeaving takes in signs of leaving, of upstreams of the document only.
func (g *gossip) learnLeaving(s *kernel.State, now time.Duration, signs []leavingSign) {
	for _, u := range signs {
		if s.Index != nil && s.Index.Upstream(u.Upstream) != nil {
			s.MarkLeaving(u.Upstream, now-max(u.Age, 0))
		}
	}
}

// credible returns the entries of hosts of the document, so that what a peer makes up
// does not fill the memory. Before there is a document all count, and where the
// platform lists no hosts, those with an address, up to maxMembers.
func (g *gossip) credible(s *kernel.State, entries []memberEntry) []memberEntry {
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

// updateMembers writes the members into the control state. If the document lists a
// host, its hall and address are the document's.
func (g *gossip) updateMembers(s *kernel.State, now time.Duration) {
	members := map[string]kernel.Member{}
	for _, m := range g.table.members(now) {
		e := &m.Entry
		k := kernel.Member{
			Host: e.Host, Incarnation: e.Incarnation, Live: m.Live, Leaving: e.Leaving, Revision: e.Revision,
			Hall: e.Hall, Peer: e.Peer, Capacity: cmp.Or(e.Capacity, g.kernel.Settings.Capacity()),
		}
		if s.Index != nil {
			if h := s.Index.Host(e.Host); h != nil {
				k.Hall, k.Peer = h.Hall, h.Peer
			}
		}
		members[e.Host] = k
	}
	if !maps.Equal(members, s.Members) {
		s.Members = members
		s.Changed()
	}
}
