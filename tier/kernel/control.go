package kernel

import (
	"context"
	"sync"
	"time"
)

const (
	// maxQueuedJobs is the number of jobs that may be queued before Do blocks.
	maxQueuedJobs = 1024
	// tickInterval is the time between two ticks of an idle control thread. It must be
	// well below maxTickGap.
	tickInterval = 100 * time.Millisecond
	// maxTickGap is the longest time between two ticks that does not count as a pause
	// of the process.
	maxTickGap = time.Second
)

// Responsive reports whether the process has run without a long pause up to now. A
// process that was paused must not act on its earlier state.
func (k *Kernel) Responsive() bool {
	k.recordSuspension()
	return k.Now()-time.Duration(k.lastTick.Load()) < maxTickGap
}

// AwaitPauseCheck waits, if the process was paused, until the control thread has recorded
// the pause, so that the caller does not act on state from before it.
func (k *Kernel) AwaitPauseCheck() {
	if !k.Responsive() {
		k.DoAndWait(func(*State) {})
	}
}

// RunLoops runs each loop in its own goroutine. The returned cleanup function cancels
// their context and waits until all have returned.
func RunLoops(ctx context.Context, loops ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// Sleep waits for a duration or until the context is done.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (k *Kernel) control(ctx context.Context, s *State) {
	defer k.reportPanic(s)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-k.jobs:
			k.tick(s)
			job(s)
			k.publish(s)
		case <-ticker.C:
			k.tick(s)
		}
	}
}

// reportPanic logs a summary of the control state when the control thread panics, and
// then lets the process end. A stack trace alone does not show the state that led to it.
func (k *Kernel) reportPanic(s *State) {
	cause := recover()
	if cause == nil {
		return
	}
	k.Log.Error().Interface("Cause", cause).Bool("Document", s.Index != nil).Bool("Directory", s.Directory != nil).
		Int("Members", len(s.Members)).Bool("Reading", s.Reading).Bool("Announcing", s.Announcing).
		Bool("FeedDown", s.PlatformDown).Dur("SourceAt", s.AnnouncedReadAt).Dur("Age", k.Now()).Msg("control thread panicked")
	if k.FlushLog != nil {
		k.FlushLog()
	}
	panic(cause)
}

// tick records that the process is running. After a pause it increments Pauses, so that
// missing heartbeats during the pause are not held against members.
func (k *Kernel) tick(s *State) {
	k.recordSuspension()
	now := k.Now()
	gap := now - time.Duration(k.lastTick.Load())
	if gap > maxTickGap {
		k.Log.Warn().Dur("Gap", gap).Msg("process was paused")
		s.Pauses++
		s.changed = true
		k.publish(s)
	}
	k.lastTick.Store(int64(now))
}

// recordSuspension adds the time for which the machine was suspended, if any, to Now.
func (k *Kernel) recordSuspension() {
	if suspended := k.suspensions.update(k.monotonic); suspended > 0 {
		k.Log.Warn().Dur("Asleep", suspended).Msg("machine was suspended")
	}
}

func (k *Kernel) publish(s *State) {
	if !s.changed {
		return
	}
	s.changed = false
	v := s.view()
	k.view.Store(v)
	for _, f := range k.watchers {
		f(v)
	}
}
