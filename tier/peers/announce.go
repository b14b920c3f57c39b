package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// MethodAnnounce is the peer method by which a host that reads the platform
// announces to the others of its hall what it read.
const MethodAnnounce = "Announce"

// Times of announcements.
const (
	// announceEvery is how often a reader announces if nothing changes.
	announceEvery = 400 * time.Millisecond
	// slowAnswer is how much longer than a watch waits the answer of a platform that
	// hears its readers may take: one that is 60 times slower than its 4 ms, and a
	// busy host.
	slowAnswer = 500 * time.Millisecond
	// listAgain is how long a host waits until it fetches the whole list again.
	listAgain = 500 * time.Millisecond
	// announceBound is how long telling one host may take.
	announceBound = time.Second
)

// errStaleSource is a platform that has not answered for some time.
var errStaleSource = errors.New("no answer for some time")

// staleAfter is how old a reader's last read may be: a reader that does not hear
// the platform is no reader.
func staleAfter(s *kernel.Settings) time.Duration { return s.WatchWait + slowAnswer }

// Announcement says what is published: the reader of the platform sends it to its
// own hall and to one host of each other hall, which passes it on to its hall.
type Announcement struct {
	Host string
	Peer netip.AddrPort
	Hall string
	// Age is how long ago it was read from the platform, Lost true if that is too
	// long ago to rely on.
	Age  time.Duration
	Lost bool `json:",omitempty"`
	// Revision is the document in force there, Directory the digest of the
	// upstreams listed.
	Revision  uint64
	Directory uint64
	// DirectoryRevision is the platform's revision up to which it is whole.
	DirectoryRevision uint64
	// Change is what changed since the announcement before.
	Change *config.DirectoryChange `json:",omitempty"`
}

// announcer sends other hosts what this host read or was announced.
type announcer struct {
	kernel *kernel.Kernel
	// announced is the directory that was announced last, revision the document; used on
	// the control thread.
	announced   *config.Directory
	revision    uint64
	announcedAt time.Duration
	// seen and seenIndex are what the last view had.
	seen      *config.Directory
	seenIndex *config.Index
}

// follow announces what changed in a new view; it runs on the control thread.
func (a *announcer) follow(v *kernel.View) {
	if v.Directory == a.seen && v.Index == a.seenIndex {
		return
	}
	a.seen, a.seenIndex = v.Directory, v.Index
	// The control thread does not wait for a place among its own jobs.
	go a.kernel.Do(a.announce)
}

// loop announces at regular times, until the context ends.
func (a *announcer) loop(ctx context.Context) {
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.kernel.Do(a.announce)
		}
	}
}

// announce sends an announcement if something changed or it is time; it runs on
// the control thread.
func (a *announcer) announce(s *kernel.State) {
	now := a.kernel.Now()
	// A host that starts may hear of a source before it has the directory: what
	// it has not got it cannot announce.
	if !s.Announcing || s.SourceAt == 0 || s.Directory == nil {
		return
	}
	stale := staleAfter(&a.kernel.Settings)
	news := Announcement{
		Host: a.kernel.Settings.Host, Peer: a.kernel.Settings.Peer, Hall: a.kernel.Settings.Hall,
		Age: now - s.SourceAt, Lost: now-s.SourceAt > stale,
		Revision: s.Revision(), Directory: s.Directory.Digest(), DirectoryRevision: s.Directory.Revision,
	}
	if news.Lost && s.Reading {
		// The read under way may take longer still to fail.
		lost(a.kernel, s, errStaleSource)
	}
	changed := news.Directory != a.announced.Digest() || news.Revision != a.revision
	if (!changed || news.Lost) && now-a.announcedAt < announceEvery/2 {
		return
	}
	if news.Directory != a.announced.Digest() {
		change := s.Directory.Since(a.announced)
		news.Change = &change
	}
	a.announced, a.revision, a.announcedAt = s.Directory, news.Revision, now
	hall, readers := a.recipients(s)
	for _, n := range hall {
		go a.send(n, news)
	}
	// Other halls rely on this host only for what it reads itself. One that the
	// platform turns away, and that goes by what others read, would be taken for
	// the reader again and again.
	news.Age = now - s.ReadAt
	news.Lost = s.ReadAt == 0 || news.Age > stale
	for _, n := range readers {
		go a.send(n, news)
	}
}

// byHall lists the members that a test picks: those of one hall, and those of each
// other.
func byHall(members map[string]kernel.Member, hall string, picks func(*kernel.Member) bool) (near []string, far map[string][]string) {
	far = map[string][]string{}
	for n, m := range members {
		switch {
		case !picks(&m):
		case m.Hall == hall:
			near = append(near, n)
		default:
			far[m.Hall] = append(far[m.Hall], n)
		}
	}
	return near, far
}

// recipients lists whom this host announces to: its hall, and if it is to read
// the platform, the first host of each other hall.
func (a *announcer) recipients(s *kernel.State) (hall, readers []string) {
	hall, others := byHall(s.Members, a.kernel.Settings.Hall, (*kernel.Member).Staying)
	if !s.Reading {
		return hall, nil
	}
	r := newReaders(s, &a.kernel.Settings)
	for _, hosts := range others {
		readers = append(readers, slices.MinFunc(hosts, r.compare))
	}
	return hall, readers
}

func (a *announcer) send(host string, n Announcement) {
	ctx, cancel := context.WithTimeout(context.Background(), announceBound)
	defer cancel()
	var none struct{}
	if err := a.kernel.Peers.Call(ctx, host, MethodAnnounce, n, &none); err != nil {
		a.kernel.Log.Debug().Err(err).Str("Peer", host).Msg("announcement not sent")
	}
}

// onAnnouncement serves an announcement of a reader.
func (g *gossip) onAnnouncement(_ context.Context, params json.RawMessage) (any, error) {
	var n Announcement
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, fmt.Errorf("bad announcement: %w", err)
	}
	if !n.Peer.IsValid() {
		return nil, fmt.Errorf("bad announcement: host %q tells no address", n.Host)
	}
	g.kernel.Do(func(s *kernel.State) { g.takeAnnouncement(s, &n) })
	return struct{}{}, nil
}

// takeAnnouncement learns from an announcement. What is still missing then is
// fetched whole.
func (g *gossip) takeAnnouncement(s *kernel.State, n *Announcement) {
	now := g.kernel.Now()
	isLost := n.Lost || n.Age > staleAfter(&g.kernel.Settings)
	if n.Hall == g.kernel.Settings.Hall {
		s.HallAnnouncers[n.Host] = s.HallAnnouncers[n.Host].Next(now, isLost)
	} else {
		s.OtherReaders[n.Host] = s.OtherReaders[n.Host].Next(now, isLost)
		s.SourceAt = max(s.SourceAt, now-max(n.Age, 0))
	}
	s.PlatformHeard = max(s.PlatformHeard, now-max(n.Age, 0))
	// What changed is no directory: a host that has none yet would have a few
	// upstreams at a high revision, and those that fetch its whole directory would
	// take all others for removed.
	if n.Change != nil && (s.Directory != nil || n.Change.Whole) {
		s.List(n.Change)
	}
	// A change may be applied to a list with holes, so what is listed then is
	// compared. The sender knows all up to its revision.
	lacks := n.Directory != s.Directory.Digest() && (s.Directory == nil || n.DirectoryRevision >= s.Directory.Revision)
	if lacks && !g.listing && (g.listedAt == 0 || now-g.listedAt >= listAgain) {
		g.listing, g.listedAt = true, now
		go g.fetchDirectory(n.Peer)
	}
	if n.Revision > s.Revision() && !g.fetching {
		g.fetching = true
		go g.fetch(n.Peer)
	}
	if n.Revision > 0 && n.Revision <= s.Revision() {
		s.Confirm()
	}
}
