package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

// Pauses of the reader of the platform.
const (
	readBound = 2 * time.Second
	readPause = 500 * time.Millisecond
	// silentTurn is how long the hall hears nothing before one more host watches.
	silentTurn = 5 * time.Second
)

// watch is the plug-in that reads what the platform publishes.
type watch struct{}

var _ kernel.Plugin = watch{}

func init() { kernel.Register(watch{}) }

// Name implements kernel.Plugin.
func (watch) Name() string { return "Platform" }

// Default implements kernel.Plugin.
func (watch) Default(s *kernel.Settings) {
	if s.WatchWait == 0 {
		s.WatchWait = 10 * time.Second
	}
}

// Skip implements kernel.Plugin.
func (watch) Skip(s *kernel.Settings) bool { return !s.Platform.IsValid() || s.Adapter != "" }

// Run implements kernel.Plugin.
func (watch) Run(ctx context.Context, k *kernel.Kernel) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	transport := &http.Transport{DisableCompression: true}
	w := &watcher{kernel: k, client: &http.Client{Transport: transport}, listed: map[string]wire.LiveState{}}
	done := make(chan struct{}, 2)
	go func() { w.loop(ctx, w.readDocument, true); done <- struct{}{} }()
	go func() { w.loop(ctx, w.readLive, false); done <- struct{}{} }()
	return func() {
		cancel()
		<-done
		<-done
		transport.CloseIdleConnections()
	}, nil
}

type watcher struct {
	kernel *kernel.Kernel
	client *http.Client
	// listed is the state of each name as last listed.
	listed map[string]wire.LiveState
	// version is the version of the live list last read.
	version uint64
}

// loop reads while this host is one of those that watch; with first, also
// until there is a document.
func (w *watcher) loop(ctx context.Context, read func(context.Context) error, first bool) {
	for ctx.Err() == nil {
		if !w.turn(first) {
			sleep(ctx, readPause)
			continue
		}
		metrics.GetOrCreateCounter("loomgap_platform_reads_total").Inc()
		if err := read(ctx); err != nil {
			w.kernel.Log.Debug().Err(err).Msg("platform not read")
			sleep(ctx, readPause+time.Duration(rand.Int64N(int64(readPause))))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// turn reports whether this host watches now.
func (w *watcher) turn(first bool) bool {
	v := w.kernel.View()
	if v.Index == nil {
		return first
	}
	silent := int((w.kernel.Now() - v.PlatformHeard) / (w.kernel.Settings.WatchWait + silentTurn))
	watching := Watches(w.hosts(v), w.kernel.Settings.Host, silent)
	if watching != v.Reading {
		w.kernel.Do(func(s *kernel.State) {
			s.Reading = watching
			s.Changed()
		})
	}
	return watching
}

// hosts lists the hosts of the hall that may watch. A host that has just started
// has heard of few, and takes all of the document for live: else each of a hall
// that comes back would watch.
func (w *watcher) hosts(v *kernel.View) []string {
	if w.kernel.Now() > silentBeats*w.kernel.Settings.Beat {
		return v.Hall(&w.kernel.Settings)
	}
	out := []string{w.kernel.Settings.Host}
	for _, h := range hostsOf(v.Index, w.kernel.Settings.Host) {
		if h.Hall == w.kernel.Settings.Hall {
			out = append(out, h.Name)
		}
	}
	return out
}

func (w *watcher) get(ctx context.Context, path string, after uint64, out any) error {
	wait := w.kernel.Settings.WatchWait
	if w.kernel.View().Index == nil {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readBound)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?After=%d&WaitMillis=%d", w.kernel.Settings.Platform, path, after, wait.Milliseconds())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("platform request: %w", err)
	}
	reply, err := w.client.Do(r)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return fmt.Errorf("platform answered %s", reply.Status)
	}
	return wire.Decode(reply.Body, 2*config.MaxBytes, out)
}

func (w *watcher) readDocument(ctx context.Context) error {
	var d wire.DocumentReply
	after := w.kernel.View().Newest
	if err := w.get(ctx, wire.PathDocument, after, &d); err != nil {
		return err
	}
	done := make(chan struct{})
	w.kernel.Do(func(s *kernel.State) {
		defer close(done)
		s.PlatformHeard = w.kernel.Now()
		w.kernel.Accept(s, d.Text, d.Revision)
	})
	<-done
	if d.Revision < after {
		return fmt.Errorf("platform is stale: it serves revision %d, %d was seen", d.Revision, after)
	}
	return nil
}

func (w *watcher) readLive(ctx context.Context) error {
	var l wire.LiveReply
	if err := w.get(ctx, wire.PathLive, w.version, &l); err != nil {
		return err
	}
	if l.Version == w.version {
		sleep(ctx, readPause)
	}
	w.version = l.Version
	w.kernel.Do(func(s *kernel.State) { w.take(s, l.Entries) })
	return nil
}

// take learns from the list. Only a change from leaving to live tells that an
// upstream is back, since the list lags.
func (w *watcher) take(s *kernel.State, entries []wire.LiveEntry) {
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
