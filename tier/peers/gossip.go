package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

// Methods of the peer protocol.
const (
	MethodHeartbeat = "Beat"
	MethodDocument  = "Document"
	MethodDirectory = "Directory"
)

// Partners of one beat.
const (
	hallPartners = 2
	// otherHallEvery is how many beats pass between beats to another hall.
	otherHallEvery = 3
	// quietCross is how many times more rarely a host beats to other halls
	// whose hall has a reader.
	quietCross = 5
	// silentEvery is how many beats pass between beats to a silent host.
	silentEvery = 2
	// seedEvery is how many beats pass between beats to a seed that is not
	// known as a member: a host that was cut off finds the others again.
	seedEvery = 5
	// startInterval and startHeartbeats are how often and how many times a host beats at
	// its start, when it knows nobody: all hosts may have been started at once.
	startInterval   = 200 * time.Millisecond
	startHeartbeats = 8
	// maxMembers bounds the members that are believed without a document.
	maxMembers = 4096
)

// Heartbeat is the message of a heartbeat and of its reply.
type Heartbeat struct {
	Members []Entry
	// Revision and Digest name the document in force.
	Revision uint64
	Digest   string
	// Published is the newest revision known there; Refused says why the newest
	// refused document was refused.
	Published uint64
	Refused   string `json:",omitempty"`
	// PlatformAge is how long ago the hall of the sender heard the platform.
	PlatformAge time.Duration
	Hall        string
	// Directory is the digest of the listed upstreams, DirectoryRevision the
	// platform's revision up to which the list is whole.
	Directory         uint64 `json:",omitempty"`
	DirectoryRevision uint64 `json:",omitempty"`
	// Leaving are upstreams of the hall that are known to leave.
	Leaving []LeavingSign `json:",omitempty"`
}

// LeavingSign tells that an upstream gave a sign that it leaves.
type LeavingSign struct {
	Upstream string
	// Age is how long ago the sign was given.
	Age time.Duration
}

// plugin joins the entry hosts.
type plugin struct{}

var _ kernel.Plugin = plugin{}

func init() { kernel.Register(plugin{}) }

// Name implements kernel.Plugin.
func (plugin) Name() string { return "Peers" }

// Default implements kernel.Plugin.
func (plugin) Default(s *kernel.Settings) {
	if s.Beat == 0 {
		s.Beat = time.Second
	}
}

// Skip implements kernel.Plugin.
func (plugin) Skip(*kernel.Settings) bool { return false }

// Run implements kernel.Plugin.
func (plugin) Run(ctx context.Context, k *kernel.Kernel) (func(), error) {
	n, closeNode, err := newNode(k)
	if err != nil {
		return nil, err
	}
	k.Peers = n
	seed := rand.NewPCG(uint64(time.Now().UnixNano()), 0)
	table := TableConfig{
		Host: k.Settings.Host, Incarnation: k.Settings.Incarnation,
		Beat: k.Settings.Beat, Random: rand.New(seed),
	}
	if k.Settings.Adapter != "" {
		table.Hall, table.Peer, table.Capacity = k.Settings.Hall, k.Settings.Peer, k.Settings.Capacity()
	}
	g := &gossip{kernel: k, node: n, random: rand.New(seed), table: NewTable(table)}
	k.Handle(MethodHeartbeat, g.onHeartbeat)
	k.Handle(MethodDocument, g.onDocument)
	k.Handle(MethodDirectory, g.onDirectory)
	k.Handle(MethodAnnounce, g.onAnnouncement)
	stopStrikes := ServeStrikes(k)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.loop(ctx)
	}()
	return func() {
		stopStrikes()
		cancel()
		<-done
		closeNode()
	}, nil
}

// gossip exchanges heartbeats. Its table and counters are used on the control
// thread only.
type gossip struct {
	kernel *kernel.Kernel
	node   *node
	table  *Table
	random *rand.Rand
	rounds int
	pauses int
	// fetching is true while a document is being fetched from a peer, listing
	// while a directory is.
	fetching, listing bool
	// listedAt is when a whole directory was last asked for; 0 for never.
	listedAt time.Duration

	packing sync.Mutex
	// packed is the document last handed to a peer; used with packing held.
	packed wire.PackedDocument
}

func (g *gossip) loop(ctx context.Context) {
	tick := time.NewTicker(min(startInterval, g.kernel.Settings.Beat))
	defer tick.Stop()
	leave := g.kernel.Stopping()
	g.kernel.Do(g.sendHeartbeats)
	for beats := 0; ; beats++ {
		if beats == startHeartbeats {
			tick.Reset(g.kernel.Settings.Beat)
		}
		select {
		case <-ctx.Done():
			return
		case <-leave:
			leave = nil
			g.kernel.Do(func(s *kernel.State) {
				g.table.Leave()
				g.sendHeartbeats(s)
			})
		case <-tick.C:
			g.kernel.Do(g.sendHeartbeats)
		}
	}
}

// sendHeartbeats sends one round of heartbeats.
func (g *gossip) sendHeartbeats(s *kernel.State) {
	now := g.kernel.Now()
	if s.Pauses != g.pauses {
		g.pauses = s.Pauses
		g.table.Refresh(now)
	}
	g.rounds++
	g.table.Tick(now, s.Revision())
	g.update(s, now)
	message := g.message(s, now)
	for _, to := range g.targets(s) {
		go g.send(to, message)
	}
}

func (g *gossip) message(s *kernel.State, now time.Duration) Heartbeat {
	b := Heartbeat{Members: g.table.HeartbeatEntries(now), Revision: s.Revision(), Hall: g.kernel.Settings.Hall, PlatformAge: now - s.PlatformHeard, Published: s.Published, Refused: s.Refused}
	if s.Directory != nil {
		b.Directory, b.DirectoryRevision = s.Directory.Digest(), s.Directory.Revision
	}
	if s.Index != nil {
		b.Digest = s.Index.Digest
	}
	for u, at := range s.Leaving {
		b.Leaving = append(b.Leaving, LeavingSign{Upstream: u, Age: now - at})
	}
	return b
}

// targets picks whom to beat to: a fixed number, whatever the fleet's size.
func (g *gossip) targets(s *kernel.State) []netip.AddrPort {
	var hall, silent, other, out []netip.AddrPort
	for _, h := range g.hosts(s) {
		m, known := s.Members[h.Name]
		switch {
		case known && !m.Live && g.kernel.Settings.Adapter != "":
			silent = append(silent, h.Peer)
		case h.Hall != g.kernel.Settings.Hall:
			other = append(other, h.Peer)
		case known && !m.Live:
			silent = append(silent, h.Peer)
		default:
			hall = append(hall, h.Peer)
		}
	}
	out = g.sample(out, hall, hallPartners)
	if g.crosses(s) {
		out = g.sample(out, other, 1)
	}
	if g.rounds%silentEvery == 0 {
		out = g.sample(out, silent, 1)
	}
	if len(out) == 0 || g.rounds%seedEvery == 0 {
		out = g.sample(out, g.unknownSeeds(s), hallPartners)
	}
	return out
}

// crosses reports whether this beat goes to another hall too. Where one host of a
// hall reads the platform, that one tells the other halls of its own: bytes
// between halls are dear. A host that has to learn from peers asks there.
func (g *gossip) crosses(s *kernel.State) bool {
	if s.FeedDown {
		return true
	}
	if g.kernel.Settings.Adapter != "" && !s.Announcing {
		return g.rounds%(otherHallEvery*quietCross) == 0
	}
	return g.rounds%otherHallEvery == 0
}

// hosts lists the other entry hosts: those of the document, or where the
// platform lists none, the members.
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
	var out []netip.AddrPort
	for _, a := range g.kernel.Live().Seeds {
		if !known[a] {
			out = append(out, a)
		}
	}
	return out
}

func (g *gossip) sample(out, from []netip.AddrPort, n int) []netip.AddrPort {
	return append(out, sample(g.random.Perm, from, n)...)
}

// sample returns some of a list, at most so many, as a permutation draws them.
func sample[T any](perm func(int) []int, from []T, n int) []T {
	var out []T
	for _, i := range perm(len(from))[:min(n, len(from))] {
		out = append(out, from[i])
	}
	return out
}

func (g *gossip) send(to netip.AddrPort, message Heartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), callBound)
	defer cancel()
	var reply Heartbeat
	if err := g.node.callAddress(ctx, to, MethodHeartbeat, message, &reply); err != nil {
		g.kernel.Log.Debug().Err(err).Msg("heartbeat not answered")
		return
	}
	g.kernel.Do(func(s *kernel.State) { g.take(s, to, &reply) })
}

// onHeartbeat serves a heartbeat.
func (g *gossip) onHeartbeat(ctx context.Context, params json.RawMessage) (any, error) {
	var in Heartbeat
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("bad heartbeat: %w", err)
	}
	if len(in.Members) == 0 || len(in.Members) > beatEntries {
		return nil, fmt.Errorf("heartbeat of %d members: send 1 to %d", len(in.Members), beatEntries)
	}
	out := make(chan Heartbeat, 1)
	g.kernel.Do(func(s *kernel.State) {
		from := in.Members[0].Peer
		if s.Index != nil && s.Index.Host(in.Members[0].Host) != nil {
			from = s.Index.Host(in.Members[0].Host).Peer
		}
		g.take(s, from, &in)
		out <- g.message(s, g.kernel.Now())
	})
	select {
	case b := <-out:
		return b, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// take learns from a heartbeat or its reply.
func (g *gossip) take(s *kernel.State, from netip.AddrPort, b *Heartbeat) {
	now := g.kernel.Now()
	g.table.Merge(now, g.declared(s, b.Members))
	g.update(s, now)
	if b.Hall == g.kernel.Settings.Hall {
		s.PlatformHeard = max(s.PlatformHeard, now-max(b.PlatformAge, 0))
		g.takeLeaving(s, now, b.Leaving)
	}
	s.NotePublished(b.Published, b.Refused)
	mine := s.Revision()
	if b.Revision == mine && mine > 0 && b.Digest != s.Index.Digest {
		metrics.GetOrCreateCounter("loomgap_config_conflicts_total").Inc()
		g.kernel.Log.Error().Uint64("Revision", mine).Msg("a peer holds another document of the same revision: publish a new revision")
	}
	if mine > 0 && b.Revision <= mine {
		s.Confirm()
	}
	if s.FeedDown && from.IsValid() && !g.listing && b.Directory != s.Directory.Digest() {
		g.listing = true
		go g.fetchDirectory(from)
	}
	if b.Revision > mine && from.IsValid() && !g.fetching {
		g.fetching = true
		go g.fetch(from)
	}
}

// takeLeaving takes in signs of leaving, of upstreams of the document only.
func (g *gossip) takeLeaving(s *kernel.State, now time.Duration, signs []LeavingSign) {
	for _, u := range signs {
		if s.Index != nil && s.Index.Upstream(u.Upstream) != nil {
			s.MarkLeaving(u.Upstream, now-max(u.Age, 0))
		}
	}
}

// declared returns the entries of hosts of the document, so that what a peer
// makes up does not fill the memory. Before there is a document all count, and
// where the platform lists no hosts, all up to a bound.
func (g *gossip) declared(s *kernel.State, entries []Entry) []Entry {
	if g.kernel.Settings.Adapter != "" {
		return slices.DeleteFunc(entries, func(e Entry) bool {
			_, known := s.Members[e.Host]
			return !e.Peer.IsValid() || !known && len(s.Members) >= maxMembers
		})
	}
	if s.Index == nil {
		return entries
	}
	return slices.DeleteFunc(entries, func(e Entry) bool { return s.Index.Host(e.Host) == nil })
}

// fetch gets the document in force at a peer.
func (g *gossip) fetch(from netip.AddrPort) {
	var d wire.PackedDocument
	err := g.node.fetch(from, MethodDocument, &d)
	text := ""
	if err == nil {
		text, err = d.Unpack(config.MaxBytes)
	}
	if err != nil {
		g.kernel.Log.Warn().Err(err).Msg("document not fetched")
	}
	g.kernel.Do(func(s *kernel.State) {
		g.fetching = false
		if err == nil {
			before := s.Revision()
			g.kernel.Accept(s, text, d.Revision)
			if s.Revision() > before {
				g.sendHeartbeats(s)
			}
		}
	})
}

func (g *gossip) onDocument(context.Context, json.RawMessage) (any, error) {
	x := g.kernel.View().Index
	if x == nil {
		return wire.PackedDocument{}, nil
	}
	g.packing.Lock()
	defer g.packing.Unlock()
	if g.packed.Revision != x.Revision {
		p, err := wire.Pack(x.Revision, x.Text)
		if err != nil {
			return nil, err
		}
		g.packed = p
	}
	return g.packed, nil
}

// update writes what the table knows into the control state.
func (g *gossip) update(s *kernel.State, now time.Duration) {
	members := map[string]kernel.Member{}
	for _, m := range g.table.Members(now) {
		k := kernel.Member{
			Host: m.Host, Incarnation: m.Incarnation, Live: m.Live,
			Leaving: m.Leaving, Revision: m.Revision, Hall: m.Hall, Peer: m.Peer, Capacity: cmp.Or(m.Capacity, g.kernel.Settings.Capacity()),
		}
		if s.Index != nil {
			if h := s.Index.Host(m.Host); h != nil {
				k.Hall, k.Peer = h.Hall, h.Peer
			}
		}
		members[m.Host] = k
	}
	if !same(members, s.Members) {
		s.Members = members
		s.Changed()
	}
}

func same(a, b map[string]kernel.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for n, m := range a {
		if b[n] != m {
			return false
		}
	}
	return true
}
