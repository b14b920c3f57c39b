package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// MethodNews is the peer method by which a host that reads the platform tells
// the others of its hall what it read.
const MethodNews = "News"

// Times of news.
const (
	// newsEvery is how often a reader tells that it reads, if nothing changes.
	newsEvery = 400 * time.Millisecond
	// newsLost is how long a host goes without news before it reads itself:
	// three lost messages. A change must be in force within seconds though the
	// reader is gone. newsStep divides the hosts whose news end at the same time,
	// so that the first of them has told the others, in newsSteps steps.
	newsLost  = 1300 * time.Millisecond
	newsStep  = 50 * time.Millisecond
	newsSteps = 5
	// vainReaders is how many hosts of a hall, or halls, try to read a platform
	// that does not answer: it may turn some hosts away and serve others.
	vainReaders = 3
	// newsStale is how old a reader's own news may be: a reader that does not
	// hear the platform is no reader.
	newsStale = 1800 * time.Millisecond
	// listAgain is how long a host waits until it fetches the whole list again.
	listAgain = 500 * time.Millisecond
	// newsBound is how long telling one host may take.
	newsBound = time.Second
)

// errStaleNews is a platform that has not answered for some time.
var errStaleNews = errors.New("no answer for some time")

// News is what a host tells of what is published: the reader of the platform
// tells its own hall and one host of each other hall, which tells its hall.
type News struct {
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
	// Change is what changed since the news before.
	Change *config.DirectoryChange `json:",omitempty"`
}

// teller tells other hosts what this host read or heard.
type teller struct {
	kernel *kernel.Kernel
	// told is the directory that was told last, revision the document; used on
	// the control thread.
	told     *config.Directory
	revision uint64
	toldAt   time.Duration
	// seen and seenIndex are what the last view had.
	seen      *config.Directory
	seenIndex *config.Index
}

// follow tells what changed in a new view; it runs on the control thread.
func (t *teller) follow(v *kernel.View) {
	if v.Directory == t.seen && v.Index == t.seenIndex {
		return
	}
	t.seen, t.seenIndex = v.Directory, v.Index
	// The control thread does not wait for a place among its own jobs.
	go t.kernel.Do(t.tell)
}

// loop tells at regular times, until the context ends.
func (t *teller) loop(ctx context.Context) {
	tick := time.NewTicker(newsEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.kernel.Do(t.tell)
		}
	}
}

// tell sends news if something changed or it is time; it runs on the control
// thread.
func (t *teller) tell(s *kernel.State) {
	now := t.kernel.Now()
	if !s.Telling || s.SourceAt == 0 {
		return
	}
	news := News{
		Host: t.kernel.Settings.Host, Peer: t.kernel.Settings.Peer, Hall: t.kernel.Settings.Hall,
		Age: now - s.SourceAt, Lost: now-s.SourceAt > newsStale,
		Revision: revision(s), Directory: s.Directory.Digest(), DirectoryRevision: s.Directory.Revision,
	}
	if news.Lost && s.Watching {
		// The read under way may take longer still to fail.
		lost(t.kernel, s, errStaleNews)
	}
	changed := news.Directory != t.told.Digest() || news.Revision != t.revision
	if (!changed || news.Lost) && now-t.toldAt < newsEvery/2 {
		return
	}
	if news.Directory != t.told.Digest() {
		change := s.Directory.Since(t.told)
		news.Change = &change
	}
	t.told, t.revision, t.toldAt = s.Directory, news.Revision, now
	for _, n := range t.listeners(s) {
		go t.send(n, news)
	}
}

// listeners lists whom this host tells: its hall, and if it reads the platform
// itself, the first host of each other hall.
func (t *teller) listeners(s *kernel.State) []string {
	var out []string
	others := map[string][]string{}
	for n, m := range s.Members {
		switch {
		case !m.Live || m.Leaving:
		case m.Hall == t.kernel.Settings.Hall:
			out = append(out, n)
		default:
			others[m.Hall] = append(others[m.Hall], n)
		}
	}
	if !s.Watching {
		return out
	}
	for _, hosts := range others {
		out = append(out, Rank(watchKey, hosts)[0])
	}
	return out
}

func (t *teller) send(host string, n News) {
	ctx, cancel := context.WithTimeout(context.Background(), newsBound)
	defer cancel()
	var none struct{}
	if err := t.kernel.Peers.Call(ctx, host, MethodNews, n, &none); err != nil {
		t.kernel.Log.Debug().Err(err).Str("Peer", host).Msg("news not told")
	}
}

// onNews takes in what a reader of the hall tells.
func (g *gossip) onNews(_ context.Context, params json.RawMessage) (any, error) {
	var n News
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, fmt.Errorf("bad news: %w", err)
	}
	if !n.Peer.IsValid() {
		return nil, fmt.Errorf("bad news: host %q tells no address", n.Host)
	}
	g.kernel.Do(func(s *kernel.State) { g.hear(s, &n) })
	return struct{}{}, nil
}

// hear learns from news. What is still missing then is fetched whole.
func (g *gossip) hear(s *kernel.State, n *News) {
	now := g.kernel.Now()
	isLost := n.Lost || n.Age > newsStale
	if n.Hall == g.kernel.Settings.Hall {
		s.News[n.Host] = s.News[n.Host].Next(now, isLost)
	} else {
		s.FarNews[n.Host] = s.FarNews[n.Host].Next(now, isLost)
		s.SourceAt = max(s.SourceAt, now-max(n.Age, 0))
	}
	s.PlatformHeard = max(s.PlatformHeard, now-max(n.Age, 0))
	if n.Change != nil {
		s.List(n.Change)
	}
	// A change may be applied to a list with holes, so what is listed then is
	// compared. The sender knows all up to its revision.
	lacks := n.Directory != s.Directory.Digest() && (s.Directory == nil || n.DirectoryRevision >= s.Directory.Revision)
	if lacks && !g.listing && (g.listedAt == 0 || now-g.listedAt >= listAgain) {
		g.listing, g.listedAt = true, now
		go g.fetchDirectory(n.Peer)
	}
	if n.Revision > revision(s) && !g.fetching {
		g.fetching = true
		go g.fetch(n.Peer)
	}
	if !s.Confirmed && n.Revision > 0 && n.Revision <= revision(s) {
		s.Confirmed = true
		s.Changed()
	}
}

// duties tells whether this host is to tell its hall what is published, and
// whether it is to read that from the platform; it runs on the control thread. A
// host that knows of nothing yet reads at once.
func duties(k *kernel.Kernel, s *kernel.State) (tells, reads bool) {
	if s.Directory == nil {
		return true, true
	}
	tells = leads(k, s.News)
	return tells, tells && leads(k, s.FarNews)
}

// leads tells whether this host is first among those that tell, as far as it
// heard of them: if none that ranks before it has told a moment ago that it hears
// the platform, and few try in vain.
func leads(k *kernel.Kernel, heard map[string]kernel.Heard) bool {
	now := k.Now()
	self := k.Settings.Host
	step := time.Duration(xxhash.Sum64String(self)%newsSteps) * newsStep
	inVain := 0
	for n, h := range heard {
		silent := now - h.At
		switch {
		case Rank(watchKey, []string{n, self})[0] == self:
		case !h.Lost && silent < newsLost+step, h.Lost && now-h.Since < step:
			return false
		case h.Lost && silent < newsLost:
			inVain++
		}
	}
	return inVain < vainReaders
}
