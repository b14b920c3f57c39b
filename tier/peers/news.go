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

// MethodNews is the peer method by which a host that reads the platform tells
// the others of its hall what it read.
const MethodNews = "News"

// Times of news.
const (
	// newsEvery is how often a reader tells that it reads, if nothing changes.
	newsEvery = 400 * time.Millisecond
	// newsLost is how long a host goes without news before it reads itself:
	// three lost messages. A change must be in force within seconds though the
	// reader is gone.
	newsLost = 1300 * time.Millisecond
	// newsStale is how old a reader's own news may be: a reader that does not
	// hear the platform is no reader.
	newsStale = 1800 * time.Millisecond
	// newsBound is how long telling one host may take.
	newsBound = time.Second
)

// errStaleNews is a platform that has not answered for some time.
var errStaleNews = errors.New("no answer for some time")

// News is what a reader of the platform tells the hosts of its hall.
type News struct {
	Host string
	Peer netip.AddrPort
	// Age is how long ago it last heard the platform.
	Age time.Duration
	// Revision is the document in force there, Directory the digest of the
	// upstreams listed.
	Revision  uint64
	Directory uint64
	// DirectoryRevision is the platform's revision up to which it is whole.
	DirectoryRevision uint64
	// Change is what changed since the news before.
	Change *config.DirectoryChange `json:",omitempty"`
}

// teller tells the hosts of the hall what this host read.
type teller struct {
	kernel *kernel.Kernel
	// told is the directory that was told last, revision the document; used on
	// the control thread.
	told     *config.Directory
	revision uint64
	toldAt   time.Duration
}

// loop tells the hall at regular times, until the context ends.
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

// tell sends news to the hall if something changed or it is time; it runs on
// the control thread of a host that reads the platform.
func (t *teller) tell(s *kernel.State) {
	now := t.kernel.Now()
	if !s.Watching || s.ReadAt == 0 {
		return
	}
	if now-s.ReadAt > newsStale {
		// The read under way may take longer still to fail.
		lost(t.kernel, s, errStaleNews)
		return
	}
	changed := s.Directory.Digest() != t.told.Digest() || revision(s) != t.revision
	if !changed && now-t.toldAt < newsEvery/2 {
		return
	}
	news := News{
		Host: t.kernel.Settings.Host, Peer: t.kernel.Settings.Peer, Age: now - s.ReadAt,
		Revision: revision(s), Directory: s.Directory.Digest(), DirectoryRevision: s.Directory.Revision,
	}
	if s.Directory.Digest() != t.told.Digest() {
		change := s.Directory.Since(t.told)
		news.Change = &change
	}
	t.told, t.revision, t.toldAt = s.Directory, revision(s), now
	for n, m := range s.Members {
		if m.Live && !m.Leaving && m.Hall == t.kernel.Settings.Hall {
			go t.send(n, news)
		}
	}
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
	if n.Age < newsStale {
		s.News[n.Host] = now
	}
	s.PlatformHeard = max(s.PlatformHeard, now-max(n.Age, 0))
	if n.Change != nil {
		s.List(n.Change)
	}
	behind := s.Directory == nil || n.DirectoryRevision > s.Directory.Revision
	if behind && n.Directory != s.Directory.Digest() && !g.listing {
		g.listing = true
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

// reads tells whether this host is to read the platform: if none of its hall
// that ranks before it has told a moment ago that it does. It runs on the
// control thread.
func reads(k *kernel.Kernel, s *kernel.State) bool {
	now := k.Now()
	hosts := []string{k.Settings.Host}
	for n, at := range s.News {
		if now-at < newsLost {
			hosts = append(hosts, n)
		}
	}
	ranked := Rank(watchKey, hosts)
	return slices.Index(ranked, k.Settings.Host) == 0
}
