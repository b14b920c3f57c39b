package peers

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

const (
	// changeDebounce is the pause after a change, so that one read covers a burst of changes.
	changeDebounce = 300 * time.Millisecond
	// readAfterFailures is the number of failed calls after which a reader tries a whole read in
	// place of a watch. Less would read everything for each watch that is cut.
	readAfterFailures = 3
	// roleCheckInterval is how often a host that does not read checks whether it should.
	roleCheckInterval = 200 * time.Millisecond
)

// feedPlugin reads the platform through the adapter.
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
	source, closeSource := a.Open(kernel.SourceConfig{Address: k.Settings.Platform, DocumentBytes: k.Settings.DocumentBytes})
	f := newFeed(k, source)
	k.Do(func(s *kernel.State) { s.PlatformDown = true })
	// Forward what a reader in another hall announces at once.
	k.OnView(f.announcer.onView)
	stop := kernel.RunLoops(ctx, f.loop, f.announcer.loop, f.lagCheck.loop)
	return func() {
		stop()
		closeSource()
	}, nil
}

func newFeed(k *kernel.Kernel, source kernel.Source) *feed {
	return &feed{kernel: k, source: source, announcer: &announcer{kernel: k}, lagCheck: &lagCheck{kernel: k, source: source}}
}

// feed reads a source while this host is the reader (reader.go) and applies what it read
// on the control thread. Its fields are used by the goroutine of loop, and by the control
// thread while that goroutine waits for it.
type feed struct {
	kernel    *kernel.Kernel
	source    kernel.Source
	announcer *announcer
	// position is where the next watch continues: everything of its era up to there was
	// read. It is zero before the first read.
	position config.Position
	// consistentRead is true if the next full read must not be stale.
	consistentRead bool
	// caughtUp is true once a watch has shown that the last full read missed nothing.
	caughtUp bool
	// failures counts the calls that failed since a watch succeeded. The platform may refuse
	// watches and serve reads: from readAfterFailures on, every other call is a whole read.
	failures int
	// historyGoneAt is when a read last failed with kernel.ErrHistoryGone; 0 for never.
	historyGoneAt time.Duration
	outage        outage
	removalHold   removalHold
	eraTracker    eraTracker
	search        search
	lagCheck      *lagCheck
	// reading is true while this host is the reader, trying while it takes its turn in a search,
	// overtaking while it tries because the readers lag behind.
	reading, trying, overtaking bool
	// known is what the answer to the next call has to show.
	known config.Position
}

func (f *feed) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if wait := f.nextRead(); wait > 0 {
			kernel.Sleep(ctx, wait)
			continue
		}
		metrics.GetOrCreateCounter("loomgap_platform_reads_total").Inc()
		published, mayBeOld, err := f.next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !mayBeOld && isBehind(published.Position, f.known) {
			err = fmt.Errorf("revision %d, known before %d: %w", published.Position.Revision, f.known.Revision, errBehind)
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		confirms := !f.caughtUp
		f.apply(published)
		if confirms || published.Directory.Whole {
			continue // without a pause: the host becomes ready once a watch confirms the read
		}
		if len(published.Directory.Listed)+len(published.Directory.Removed) > 0 || published.Document != nil {
			kernel.Sleep(ctx, changeDebounce)
		}
	}
}

// nextRead updates this host's role and returns how long to wait until the next check, 0 if
// this host reads the platform now. A host that becomes the reader again, or tries the platform
// in a search, continues from its last position.
func (f *feed) nextRead() (wait time.Duration) {
	f.kernel.DoAndWait(func(s *kernel.State) {
		// Report a loss before this host stops announcing because of it.
		f.announcer.announce(s)
		if updateRole(f.kernel, s) {
			// Announce at once, so that lower ranked hosts do not take over as well.
			f.announcer.announce(s)
		}
		f.trying, f.overtaking = false, false
		if !s.Reading {
			turn := f.search.check(f.kernel, s)
			f.overtaking = !turn.isDue && f.lagCheck.isDue(s)
			f.trying, wait = turn.isDue || f.overtaking, turn.next
			if f.overtaking {
				wait = 0
			}
		}
		f.known = knownBefore(s, f.kernel.Now())
		if begins := s.Reading && !f.reading || f.trying; begins {
			// Learn without a wait whether the platform answers.
			f.caughtUp = false
		}
		f.reading = s.Reading
	})
	return wait
}

// next makes the next call. The answer may be old only if mayBeOld is true.
func (f *feed) next(ctx context.Context) (p *kernel.Published, mayBeOld bool, err error) {
	now := f.kernel.Now()
	switch {
	case f.position == (config.Position{}):
		p, err = f.source.Read(ctx, f.consistentRead)
		return p, !f.consistentRead, err
	case f.readsInstead():
		p, err = f.source.Read(ctx, true)
	case !f.caughtUp, isBehind(f.position, f.known):
		// The last read may have been stale, or another host knows of changes: there is nothing to
		// wait for.
		p, err = f.source.Watch(ctx, f.position, 0)
	case f.eraTracker.startSettling(now):
		p, err = f.source.Read(ctx, true)
	default:
		p, err = f.source.Watch(ctx, f.position, f.eraTracker.wait(now, f.removalHold.wait(now, f.kernel.Settings.WatchWait)))
	}
	return p, false, err
}

// readsInstead reports whether the next call is a whole read because watches fail. A host that
// takes turns in a search has few of them, and alternates from the first one on.
func (f *feed) readsInstead() bool {
	return f.failures%2 == 1 && (f.trying || f.failures >= readAfterFailures)
}

func (f *feed) failed(ctx context.Context, err error) {
	now := f.kernel.Now()
	f.eraTracker.failed()
	if errors.Is(err, kernel.ErrHistoryGone) {
		f.kernel.Log.Info().Err(err).Uint64("DirectoryEra", f.position.Era).Uint64("DirectoryRevision", f.position.Revision).
			Msg("platform change history no longer available, reading everything")
		f.position, f.consistentRead, f.caughtUp = config.Position{}, true, false
		if f.historyGoneAt > 0 && now-f.historyGoneAt < changeDebounce {
			// Without a pause, a platform that keeps losing its history would be read in a
			// busy loop.
			kernel.Sleep(ctx, changeDebounce)
		}
		f.historyGoneAt = now
		return
	}
	f.failures++
	f.kernel.DoAndWait(func(s *kernel.State) {
		f.outage.failed(now, readsKnownTo(s))
		s.RefusedAtStart = s.RefusedAtStart || s.Directory == nil
		switch {
		case f.trying:
			f.search.refused(f.kernel, s, err)
		case errors.Is(err, errBehind) || f.outage.isUnavailable(now, maxReadAge(&f.kernel.Settings)):
			markPlatformDown(f.kernel, s, err)
		}
	})
	if !f.trying {
		kernel.Sleep(ctx, f.outage.nextDelay())
	}
}

// markPlatformDown records that the platform does not answer this host, which has to learn
// from peers what is published. It runs on the control thread.
func markPlatformDown(k *kernel.Kernel, s *kernel.State, err error) {
	if s.PlatformDown {
		return
	}
	s.PlatformDown = true
	k.Log.Warn().Err(err).Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).Msg("platform became unavailable")
}

// apply applies what was read, on the control thread, and waits until that is done.
func (f *feed) apply(p *kernel.Published) {
	now := f.kernel.Now()
	for _, err := range p.Problems {
		f.kernel.Log.Error().Err(err).Msg("invalid platform entry skipped")
		metrics.GetOrCreateCounter("loomgap_platform_entries_refused_total").Inc()
	}
	f.consistentRead = false
	delay := f.outage.delay
	// A full read may be stale, which only the next watch shows.
	f.caughtUp = !p.Directory.Whole
	f.position = p.Position
	f.kernel.DoAndWait(func(s *kernel.State) {
		f.outage.heard(now, readsKnownTo(s))
		wasUnavailable := f.outage.isUnavailable(now, maxReadAge(&f.kernel.Settings))
		f.outage.succeeded(now)
		f.noteServed(p, delay)
		if f.eraTracker.observe(f.kernel, s, p, now) {
			f.removalHold.platformRestored(now)
		}
		f.install(s, p, now, wasUnavailable)
		if f.caughtUp {
			s.Confirm(now)
		}
	})
}

// noteServed records a call that succeeded. After a whole read in place of a watch, the next watch
// decides whether another one follows, with the backoff that there was.
func (f *feed) noteServed(p *kernel.Published, delay time.Duration) {
	if !p.Directory.Whole || f.failures < readAfterFailures && !f.trying {
		f.failures = 0
		return
	}
	f.failures = readAfterFailures - 1
	f.outage.delay = delay
}

// install applies what was read to the control state. It runs on the control thread while the
// feed waits.
func (f *feed) install(s *kernel.State, p *kernel.Published, now time.Duration, wasUnavailable bool) {
	noteRead(s, now)
	// If other hosts could read the platform in the meantime, no entries have expired.
	if wasUnavailable && s.OutageEndedAt > 0 && now-s.OutageEndedAt < removalHoldTime {
		f.removalHold.platformReturned(now)
	}
	s.AnnouncedReadAt, s.OwnReadAt = now, now
	if f.overtaking && p.Position.Compare(s.ShownPosition) > 0 {
		s.OvertakesUntil = now + overtakeTime
	}
	if f.trying {
		s.FoundAt = now
		f.announcer.begin(s, now)
	}
	s.NoteShown(p.Position)
	if s.PlatformDown {
		s.PlatformDown = false
		f.kernel.Log.Info().Uint64("DirectoryEra", p.Position.Era).Uint64("DirectoryRevision", p.Position.Revision).Msg("platform became available again")
	}
	switch {
	case p.Document != nil:
		f.kernel.AcceptTranslation(s, p.Document, p.Edition)
	case p.DocumentError != nil:
		f.kernel.RefuseDocument(s, p.DocumentError, p.Edition)
	}
	f.applyDirectory(s, p, now)
	if f.trying {
		// Only the reader announces to other halls.
		updateRole(f.kernel, s)
	}
	f.announcer.announce(s)
}

// applyDirectory applies a directory change, and removals whose hold has ended.
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
