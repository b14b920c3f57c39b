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
	// readTimeout is how long an answer may take beyond the wait of the read.
	readTimeout = 2 * time.Second
	// readInterval is the pause of a host that does not watch, and after a live list without
	// changes. After a failed read, the pause is once to twice as long.
	readInterval = 500 * time.Millisecond
	// watchersPerHall is how many hosts of a hall watch the platform.
	watchersPerHall = 2
	// maxExtraWatchers is how many more hosts of a hall watch while the platform does not
	// answer the others.
	maxExtraWatchers = 2
	// extraWatcherInterval is the time beyond WatchWait without a read of the hall after which
	// one more host watches.
	extraWatcherInterval = 5 * time.Second
	// defaultWatchWait is how long a read waits for a change if the settings give none.
	defaultWatchWait = 10 * time.Second
	// replySizeFactor is the largest size of a reply relative to the largest document, which
	// the reply contains as a longer JSON string.
	replySizeFactor = 2
)

// watchPlugin reads the platform by loomgap's own protocol.
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
	transport := &http.Transport{DisableCompression: true}
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

// watcher reads the document and the live list, each in a loop of its own.
type watcher struct {
	kernel *kernel.Kernel
	client *http.Client
	// listed is the last listed state of each upstream; used on the control thread.
	listed map[string]wire.LiveState
	// document and live are where the next reads of the document and of the live list
	// continue; each is used by one loop only.
	document, live config.Position
}

// loop reads while this host is one of the watchers; with atStart, also until there is a
// document.
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

// isWatcher reports whether this host watches the platform now; /status shows it as Watching.
// It depends on the live hosts of the hall and on when any of them last read the platform.
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
// live ones and counts all of the document as live: otherwise each host of a restarting hall
// would watch.
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
	return wire.Decode(reply.Body, replySizeFactor*config.MaxBytes, out)
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

// editionOf returns the edition of a document. A document from before the first revision of
// its era belongs to the previous era: the platform was restored from a backup that held it.
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
			// After a restore, the list may call an upstream live that has begun to leave since.
			clear(w.listed)
		}
		w.applyLiveList(s, l.Entries)
	})
	return nil
}

// applyLiveList applies the live list. Only a change from leaving to live shows that an
// upstream is back, since the list lags.
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
