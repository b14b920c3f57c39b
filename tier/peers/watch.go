package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

const (
	// readTimeout is how long an answer may take in addition to WatchWait.
	readTimeout = 2 * time.Second
	// readInterval is the interval at which a host that does not watch checks whether it should,
	// and the pause after an unchanged live list. After a failed read the pause is up to twice as
	// long.
	readInterval = 500 * time.Millisecond
	// watchersPerHall is how many hosts of a hall watch the platform.
	watchersPerHall = 2
	// maxExtraWatchers limits the additional hosts of a hall that watch while the platform
	// does not answer the others.
	maxExtraWatchers = 2
	// extraWatcherInterval is how long, in addition to WatchWait, no host of the hall must have
	// read the platform before one more host watches.
	extraWatcherInterval = 5 * time.Second
	// defaultWatchWait is how long a read waits for a change if the settings give none.
	defaultWatchWait = 10 * time.Second
	// escapedBytes is the most bytes that one byte of a document takes in a reply, where JSON
	// may write any character as \u and four digits.
	escapedBytes = 6
	// replyMargin is room for the other fields of a reply, in bytes.
	replyMargin = 4 << 10
	// maxReplyHeadBytes limits the status line and the headers of a reply.
	maxReplyHeadBytes = 64 << 10
)

// watchPlugin reads the document and the live list from the platform over loomgap's protocol.
type watchPlugin struct{}

var _ kernel.Plugin = watchPlugin{}

func init() { kernel.Register(watchPlugin{}) }

func (watchPlugin) Name() string { return "Platform" }

func (watchPlugin) Default(s *kernel.Settings) {
	if s.WatchWait == 0 {
		s.WatchWait = defaultWatchWait
	}
}

func (watchPlugin) Skip(s *kernel.Settings) bool { return !s.Platform.IsValid() || s.Adapter != "" }

func (watchPlugin) Run(ctx context.Context, k *kernel.Kernel) (func(), error) {
	transport := &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxReplyHeadBytes}
	w := &watcher{kernel: k, client: &http.Client{Transport: transport}, listed: map[string]wire.LiveState{}}
	stop := kernel.RunLoops(ctx,
		func(ctx context.Context) { w.loop(ctx, w.readDocument, true) },
		func(ctx context.Context) { w.loop(ctx, w.readLive, false) },
	)
	return func() {
		stop()
		transport.CloseIdleConnections()
	}, nil
}

// watcher reads the document and the live list in two separate loops.
type watcher struct {
	kernel *kernel.Kernel
	client *http.Client
	// listed is the last listed state of each upstream; used on the control thread.
	listed map[string]wire.LiveState
	// document and live are the positions of the last reads of the document and of the live
	// list; each is used by one loop only.
	document, live config.Position
}

// loop reads while this host is one of the watchers. If atStart is set, it also reads while
// there is no document yet.
func (w *watcher) loop(ctx context.Context, read func(context.Context) error, atStart bool) {
	for ctx.Err() == nil {
		if !w.isWatcher(atStart) {
			kernel.Sleep(ctx, readInterval)
			continue
		}
		metrics.GetOrCreateCounter("loomgap_platform_reads_total").Inc()
		if err := read(ctx); err != nil {
			w.kernel.Log.Debug().Err(err).Msg("failed to read platform")
			kernel.Sleep(ctx, readInterval+rand.N(readInterval))
		}
	}
}

// shouldWatch reports whether a host is one of the watchers of its hall: the first
// watchersPerHall by rendezvous hashing, and one more for each missed read, up to
// maxExtraWatchers. A read is missed if the hall has read nothing for WatchWait and
// extraWatcherInterval.
func shouldWatch(hosts []string, host string, missedReads int) bool {
	ranked := Rank(watchKey, hosts)
	n := min(watchersPerHall+min(missedReads, maxExtraWatchers), len(ranked))
	return slices.Contains(ranked[:n], host)
}

// isWatcher reports whether this host watches the platform now, and updates State.Reading,
// which /status shows as Watching. The result depends on the live hosts of the hall and on when
// any of them last read the platform.
func (w *watcher) isWatcher(atStart bool) bool {
	v := w.kernel.View()
	if v.Index == nil {
		return atStart
	}
	missedReads := int((w.kernel.Now() - v.PlatformReadAt) / (w.kernel.Settings.WatchWait + extraWatcherInterval))
	watching := shouldWatch(w.hosts(v), w.kernel.Settings.Host, missedReads)
	if watching != v.Reading {
		w.kernel.Do(func(s *kernel.State) {
			s.Reading = watching
			s.Changed()
		})
	}
	return watching
}

// hosts returns the hosts of the hall that may watch. A host that has just started knows few
// live hosts, so it considers all hosts of the document live. Otherwise each host of a
// restarting hall would watch.
func (w *watcher) hosts(v *kernel.View) []string {
	if w.kernel.Now() > unresponsiveIntervals*w.kernel.Settings.Beat {
		return v.HallHosts(&w.kernel.Settings)
	}
	out := []string{w.kernel.Settings.Host}
	for _, h := range hostsOf(v.Index, w.kernel.Settings.Host) {
		if h.Hall == w.kernel.Settings.Hall {
			out = append(out, h.Name)
		}
	}
	return out
}

func (w *watcher) get(ctx context.Context, path string, after config.Position, out any) error {
	wait := w.kernel.Settings.WatchWait
	if w.kernel.View().Index == nil {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?After=%d&WaitMillis=%d", w.kernel.Settings.Platform, path, after.Revision, wait.Milliseconds())
	if after.Era > 0 {
		url += fmt.Sprintf("&Era=%d", after.Era)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("create platform request: %w", err)
	}
	reply, err := w.client.Do(r)
	if err != nil {
		return fmt.Errorf("request platform: %w", err)
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return fmt.Errorf("platform answered %s", reply.Status)
	}
	return wire.Decode(reply.Body, escapedBytes*config.MaxBytes+replyMargin, out)
}

func (w *watcher) readDocument(ctx context.Context) error {
	var d wire.DocumentReply
	if err := w.get(ctx, wire.PathDocument, w.document, &d); err != nil {
		return err
	}
	at := config.Position{Era: d.Era, Revision: d.Revision}
	if before := w.document; at.Compare(before) < 0 {
		return fmt.Errorf("stale platform: revision %d of era %d served after revision %d of era %d", at.Revision, at.Era, before.Revision, before.Era)
	}
	w.document = at
	w.kernel.DoAndWait(func(s *kernel.State) {
		s.PlatformReadAt = w.kernel.Now()
		s.NotePublished(at, "")
		w.kernel.Accept(s, d.Text, editionOf(&d))
	})
	return nil
}

// editionOf returns the edition of a document. A document whose revision is below the first
// one of the era belongs to the previous era, since it comes from the backup from which the
// platform was restored.
func editionOf(d *wire.DocumentReply) config.Edition {
	at := config.Position{Era: d.Era, Revision: d.Revision}
	if at.Era > 1 && at.Revision < d.EraFrom {
		at.Era--
	}
	return config.Edition{Position: at}
}

func (w *watcher) readLive(ctx context.Context) error {
	var l wire.LiveReply
	if err := w.get(ctx, wire.PathLive, w.live, &l); err != nil {
		return err
	}
	at := config.Position{Era: l.Era, Revision: l.Version}
	if at == w.live {
		kernel.Sleep(ctx, readInterval)
	}
	restored := at.Era != w.live.Era
	w.live = at
	w.kernel.Do(func(s *kernel.State) {
		if restored {
			// The restored list may show an upstream as live that began to leave after the backup.
			clear(w.listed)
		}
		w.applyLiveList(s, l.Entries)
	})
	return nil
}

// applyLiveList applies the live list. The list may lag and still show a leaving upstream as
// live, so only a change from leaving to live in the list means that an upstream is back.
func (w *watcher) applyLiveList(s *kernel.State, entries []wire.LiveEntry) {
	now := w.kernel.Now()
	for _, e := range entries {
		if s.Index == nil || s.Index.Upstream(e.Name) == nil {
			continue
		}
		if e.State == wire.LiveLeaving {
			s.MarkLeaving(e.Name, now)
		} else if w.listed[e.Name] == wire.LiveLeaving {
			s.MarkReturned(e.Name, now)
		}
		w.listed[e.Name] = e.State
	}
}
