package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// Times of the reader of an adapter's source.
const (
	// changePause is the pause after a change, so that a burst of changes costs
	// one read.
	changePause = 300 * time.Millisecond
	// feedRetry and feedRetryMost bound the pause after a read that failed. A
	// source that is back must be read well within the seconds in which a
	// document has to be in force.
	feedRetry     = 100 * time.Millisecond
	feedRetryMost = time.Second
	// feedTurn is how often a host that does not read looks whether it is to.
	feedTurn = 200 * time.Millisecond
	// awayAfter is how long reads must fail until the platform counts as away.
	awayAfter = 500 * time.Millisecond
	// lapseHold is how long an upstream stays listed that was not there any
	// more when the platform came back: its entry may have lapsed meanwhile,
	// and it lists itself again within about two seconds.
	lapseHold = 2500 * time.Millisecond
	// lapseLate is how long after its return the platform may still remove what
	// lapsed while it was away.
	lapseLate = time.Second
)

// feedPlugin reads what an adapter's platform publishes.
type feedPlugin struct{}

var _ kernel.Plugin = feedPlugin{}

func init() { kernel.Register(feedPlugin{}) }

// Name implements kernel.Plugin.
func (feedPlugin) Name() string { return "Feed" }

// Default implements kernel.Plugin.
func (feedPlugin) Default(s *kernel.Settings) { watch{}.Default(s) }

// Skip implements kernel.Plugin.
func (feedPlugin) Skip(s *kernel.Settings) bool { return s.Adapter == "" || !s.Platform.IsValid() }

// Run implements kernel.Plugin.
func (feedPlugin) Run(ctx context.Context, k *kernel.Kernel) (func(), error) {
	a, err := kernel.AdapterNamed(k.Settings.Adapter)
	if err != nil {
		return nil, err
	}
	source, closeSource := a.Open(k.Settings.Platform)
	ctx, cancel := context.WithCancel(ctx)
	f := &feed{kernel: k, source: source, announcer: &announcer{kernel: k}}
	k.Do(func(s *kernel.State) { s.FeedDown = true })
	// What is heard from another hall's reader is told on at once.
	k.OnView(f.announcer.follow)
	done := make(chan struct{}, 2)
	go func() { f.loop(ctx); done <- struct{}{} }()
	go func() { f.announcer.loop(ctx); done <- struct{}{} }()
	return func() {
		cancel()
		<-done
		<-done
		closeSource()
	}, nil
}

// feed reads a source and tells the control thread. Its fields are used by one
// goroutine.
type feed struct {
	kernel *kernel.Kernel
	source kernel.Source
	// announcer announces what was read; nil to announce nothing.
	announcer *announcer
	// revision is up to where everything was read; 0 for nothing yet.
	revision uint64
	// exact is true if the next whole read must not be an old one.
	exact bool
	// watched is true once a watch has told that nothing newer was missed.
	watched bool
	// failingSince is when the first of the reads in a row failed; 0 if the
	// last one did not.
	failingSince time.Duration
	// heardAt is when the last read went well.
	heardAt time.Duration
	pause   time.Duration
	// lapsed are removals that are held back until lapsedDue, and removals are
	// held back until holdUntil.
	lapsed    []config.Removal
	lapsedDue time.Duration
	holdUntil time.Duration
}

func (f *feed) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.turn() {
			sleep(ctx, feedTurn)
			continue
		}
		metrics.GetOrCreateCounter("loomgap_platform_reads_total").Inc()
		published, err := f.next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		first := !f.watched
		f.take(published)
		if first {
			continue // the host is not ready before a watch has confirmed the read
		}
		if len(published.Directory.Listed)+len(published.Directory.Removed) > 0 || published.Document != nil {
			sleep(ctx, changePause)
		}
	}
}

// turn reports whether it is this host's turn to read. A host that has read before
// goes on from where it was.
func (f *feed) turn() bool {
	turn := make(chan bool, 1)
	f.kernel.Do(func(s *kernel.State) {
		tells, reads := rolesOf(f.kernel, s)
		if tells != s.Announcing || reads != s.Reading {
			s.Announcing, s.Reading = tells, reads
			s.Changed()
			f.kernel.Log.Info().Bool("Tells", tells).Bool("Reads", reads).
				Int64("PlatformAgeMillis", (f.kernel.Now() - s.PlatformHeard).Milliseconds()).Msg("turn to read the platform")
			if f.announcer != nil {
				// Those that rank behind must not take over too.
				f.announcer.announce(s)
			}
		}
		if !reads {
			// Others read for this host.
			s.FeedDown = false
		}
		turn <- reads
	})
	return <-turn
}

// next reads everything, or waits for what changes.
func (f *feed) next(ctx context.Context) (*kernel.Published, error) {
	if f.revision == 0 {
		return f.source.Read(ctx, f.exact)
	}
	wait := f.kernel.Settings.WatchWait
	switch {
	case !f.watched:
		// The first read may have been an old one.
		wait = 0
	case len(f.lapsed) > 0:
		wait = min(wait, max(f.lapsedDue-f.kernel.Now(), 0))
	}
	return f.source.Watch(ctx, f.revision, wait)
}

// stale is how long after its last read the host does not hear the platform.
func (f *feed) stale() time.Duration { return staleAfter(&f.kernel.Settings) }

// failed notes a read that failed and waits before the next.
func (f *feed) failed(ctx context.Context, err error) {
	if errors.Is(err, kernel.ErrHistoryGone) {
		f.kernel.Log.Info().Uint64("DirectoryRevision", f.revision).Msg("history is gone, reading everything")
		f.revision, f.exact = 0, true
		return
	}
	now := f.kernel.Now()
	if f.failingSince == 0 {
		f.failingSince = now
	}
	if now-f.failingSince >= awayAfter || now-f.heardAt > f.stale() {
		f.kernel.Do(func(s *kernel.State) { lost(f.kernel, s, err) })
	}
	f.pause = min(max(2*f.pause, feedRetry), feedRetryMost)
	sleep(ctx, f.pause/2+rand.N(f.pause/2+1))
}

// lost notes that this host has to learn from peers; it runs on the control
// thread.
func lost(k *kernel.Kernel, s *kernel.State, err error) {
	if s.FeedDown {
		return
	}
	s.FeedDown = true
	k.Log.Warn().Err(err).Int64("PlatformAgeMillis", (k.Now() - s.PlatformHeard).Milliseconds()).Msg("platform lost")
}

// take tells the control thread what was read.
func (f *feed) take(p *kernel.Published) {
	now := f.kernel.Now()
	for _, err := range p.Problems {
		f.kernel.Log.Error().Err(err).Msg("entry of the platform not understood, left out")
		metrics.GetOrCreateCounter("loomgap_platform_entries_refused_total").Inc()
	}
	away := f.failingSince > 0 && (now-f.failingSince >= awayAfter || now-f.heardAt > f.stale())
	f.heardAt = now
	f.failingSince, f.pause, f.exact = 0, 0, false
	if p.Directory.Whole {
		// It may be an old one; the watch that follows tells.
		f.revision = 0
	}
	confirmed := f.revision > 0
	f.watched = confirmed
	f.revision = max(f.revision, p.Revision)
	done := make(chan struct{})
	f.kernel.Do(func(s *kernel.State) {
		defer close(done)
		f.install(s, p, now, away)
		if confirmed {
			s.Confirm()
		}
	})
	<-done
}

// install runs on the control thread while the feed waits.
func (f *feed) install(s *kernel.State, p *kernel.Published, now time.Duration, away bool) {
	// If others heard the platform all the while, nothing lapsed.
	away = away && now-s.PlatformHeard > f.stale()
	s.PlatformHeard, s.SourceAt, s.ReadAt = now, now, now
	if s.FeedDown {
		s.FeedDown = false
		f.kernel.Log.Info().Uint64("DirectoryRevision", p.Revision).Msg("platform regained")
	}
	if p.Document != nil {
		f.kernel.AcceptDocument(s, p.Document, p.DocumentRevision)
	}
	change := p.Directory
	s.Index.DropUnboundWarmups(change.Listed)
	if away {
		f.holdUntil = now + lapseLate
	}
	if now < f.holdUntil {
		f.hold(s, &change, now)
	}
	before := s.Directory.Digest()
	s.List(&change)
	if len(f.lapsed) > 0 && now >= f.lapsedDue {
		s.List(&config.DirectoryChange{Removed: f.lapsed})
		f.lapsed = nil
	}
	if s.Directory.Digest() != before {
		f.kernel.Log.Info().Uint64("DirectoryRevision", p.Revision).Int("Listed", len(change.Listed)).
			Int("Removed", len(change.Removed)).Int("Upstreams", s.Directory.Size()).
			Strs("Evacuated", s.Directory.EvacuatedHalls()).Msg("directory changed")
	}
	if f.announcer != nil {
		f.announcer.announce(s)
	}
}

// hold keeps removals back that the platform's absence may have caused.
func (f *feed) hold(s *kernel.State, c *config.DirectoryChange, now time.Duration) {
	f.lapsed = append(f.lapsed, c.Removed...)
	if c.Whole {
		f.lapsed = append(f.lapsed, s.Directory.Lacking(c)...)
		// What an operator has written does not lapse.
		c.Resumed = append(c.Resumed, s.Directory.LackingEvacuations(c)...)
	}
	if len(f.lapsed) > 0 && f.lapsedDue <= now {
		f.lapsedDue = now + lapseHold
	}
	c.Removed, c.Whole = nil, false
}
