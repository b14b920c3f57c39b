package peers

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

const (
	// changePause is the pause after a change, so that a burst of changes costs one read.
	changeDebounce = 300 * time.Millisecond
	// rolePause is how often a host that does not read checks whether it is to.
	roleCheckInterval = 200 * time.Millisecond
)

type feedPlugin struct{}

var _ kernel.Plugin = feedPlugin{}

func init() { kernel.Register(feedPlugin{}) }

func (feedPlugin) Name() string { return "Feed" }

func (feedPlugin) Default(s *kernel.Settings) { watchPlugin{}.Default(s) }

func (feedPlugin) Skip(s *kernel.Settings) bool { return s.Adapter == "" || !s.Platform.IsValid() }

func (feedPlugin) Run(ctx context.Context, k *kernel.Kernel) (func(), error) {
	a, err := kernel.FindAdapter(k.Settings.Adapter)
	if err != nil {
		return nil, err
	}
	source, closeSource := a.Open(k.Settings.Platform)
	f := &feed{kernel: k, source: source, announcer: &announcer{kernel: k}}
	k.Do(func(s *kernel.State) { s.PlatformDown = true })
	// What another hall's reader announces is passed on at once.
	k.OnView(f.announcer.onView)
	stop := kernel.RunLoops(ctx, f.loop, f.announcer.loop)
	return func() {
		stop()
		closeSource()
	}, nil
}

// feed reads a source while this host is the reader (reader.go) and hands what it read
// to the control thread. Its fields are used by the goroutine of loop, and by the control
// thread while that waits for it.
type feed struct {
	kernel    *kernel.Kernel
	source    kernel.Source
	announcer *announcer
	// position is up to where everything was read, in one era of the platform; zero for
	// nothing yet. It only says where to read on.
	position config.Position
	// exact is true if the next whole read must not be an old one.
	consistentRead bool
	// watched is true once a watch has shown that nothing newer was missed.
	caughtUp bool
	// goneAt is when the platform last no longer had the history after position.
	historyGoneAt time.Duration
	outage        outage
	removalHold   removalHold
	eraTracker    eraTracker
}

func (f *feed) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.isReader() {
			kernel.Sleep(ctx, roleCheckInterval)
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
		confirms := !f.caughtUp
		f.apply(published)
		if confirms || published.Directory.Whole {
			continue // the host is not ready before a watch has confirmed the read
		}
		if len(published.Directory.Listed)+len(published.Directory.Removed) > 0 || published.Document != nil {
			kernel.Sleep(ctx, changeDebounce)
		}
	}
}

// isReader reports whether this host reads the platform now. A host that has read
// before goes on from where it was.
func (f *feed) isReader() (reading bool) {
	f.kernel.DoAndWait(func(s *kernel.State) {
		if updateRole(f.kernel, s) {
			// Those that rank behind must not take over too.
			f.announcer.announce(s)
		}
		reading = s.Reading
	})
	return reading
}

func (f *feed) next(ctx context.Context) (*kernel.Published, error) {
	now := f.kernel.Now()
	if f.position == (config.Position{}) {
		return f.source.Read(ctx, f.consistentRead)
	}
	if !f.caughtUp {
		// The first read may have been an old one.
		return f.source.Watch(ctx, f.position, 0)
	}
	if f.eraTracker.begin(now) {
		return f.source.Read(ctx, true)
	}
	return f.source.Watch(ctx, f.position, f.eraTracker.wait(now, f.removalHold.wait(now, f.kernel.Settings.WatchWait)))
}

func (f *feed) failed(ctx context.Context, err error) {
	now := f.kernel.Now()
	f.eraTracker.failed()
	if errors.Is(err, kernel.ErrHistoryGone) {
		f.kernel.Log.Info().Err(err).Uint64("DirectoryEra", f.position.Era).Uint64("DirectoryRevision", f.position.Revision).
			Msg("history is gone, reading everything")
		f.position, f.consistentRead, f.caughtUp = config.Position{}, true, false
		if f.historyGoneAt > 0 && now-f.historyGoneAt < changeDebounce {
			// A platform that forgets at once would be read without end.
			kernel.Sleep(ctx, changeDebounce)
		}
		f.historyGoneAt = now
		return
	}
	f.outage.failed(now)
	if f.outage.isUnavailable(now, maxReadAge(&f.kernel.Settings)) {
		f.kernel.Do(func(s *kernel.State) { markPlatformDown(f.kernel, s, err) })
	}
	kernel.Sleep(ctx, f.outage.nextDelay())
}

// markFeedDown notes that this host has to learn from peers what is published; it runs
// on the control thread.
func markPlatformDown(k *kernel.Kernel, s *kernel.State, err error) {
	if s.PlatformDown {
		return
	}
	s.PlatformDown = true
	k.Log.Warn().Err(err).Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).Msg("platform lost")
}

// take hands what was read to the control thread and waits until it is in force.
func (f *feed) apply(p *kernel.Published) {
	now := f.kernel.Now()
	for _, err := range p.Problems {
		f.kernel.Log.Error().Err(err).Msg("entry of the platform not understood, left out")
		metrics.GetOrCreateCounter("loomgap_platform_entries_refused_total").Inc()
	}
	wasUnavailable := f.outage.isUnavailable(now, maxReadAge(&f.kernel.Settings))
	f.outage.succeeded(now)
	f.consistentRead = false
	// A whole read may be an old one; the watch that follows shows.
	f.caughtUp = !p.Directory.Whole
	f.position = p.Position
	f.kernel.DoAndWait(func(s *kernel.State) {
		if f.eraTracker.observe(f.kernel, s, p, now) {
			f.removalHold.historyReturned(now)
		}
		f.install(s, p, now, wasUnavailable)
		if f.caughtUp {
			s.Confirm(now)
		}
	})
}

// install puts what was read in force; it runs on the control thread while the feed
// waits.
func (f *feed) install(s *kernel.State, p *kernel.Published, now time.Duration, wasUnavailable bool) {
	// If others read the platform all the while, nothing lapsed.
	if wasUnavailable && now-s.PlatformReadAt > maxReadAge(&f.kernel.Settings) {
		f.removalHold.platformReturned(now)
	}
	s.PlatformReadAt, s.AnnouncedReadAt, s.OwnReadAt = now, now, now
	if s.PlatformDown {
		s.PlatformDown = false
		f.kernel.Log.Info().Uint64("DirectoryEra", p.Position.Era).Uint64("DirectoryRevision", p.Position.Revision).Msg("platform regained")
	}
	if p.Document != nil {
		f.kernel.AcceptDocument(s, p.Document, p.Edition)
	}
	f.applyDirectory(s, p, now)
	f.announcer.announce(s)
}

// applyDirectory applies what was read of the directory, and removals held back before.
func (f *feed) applyDirectory(s *kernel.State, p *kernel.Published, now time.Duration) {
	change := p.Directory
	s.Index.ClearUnlimitedWarmups(change.Listed)
	f.removalHold.hold(now, s.Directory, &change)
	before := s.Directory.Digest()
	if change.Settled > 0 {
		logSettled(f.kernel, s, &change)
	}
	s.ApplyDirectoryChange(&change)
	if due := f.removalHold.release(now); len(due) > 0 {
		s.ApplyDirectoryChange(&config.DirectoryChange{Removed: due})
	}
	if s.Directory.Digest() != before {
		f.kernel.Log.Info().Uint64("DirectoryEra", p.Position.Era).Uint64("DirectoryRevision", p.Position.Revision).Int("Listed", len(change.Listed)).
			Int("Removed", len(change.Removed)).Int("Upstreams", s.Directory.Size()).
			Strs("Evacuated", s.Directory.EvacuatedHalls()).Msg("directory changed")
	}
}
