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
	// maxTickGap is the time between two ticks above which the process counts as paused.
	maxTickGap = time.Second
)

// Responsive reports whether the control thread has ticked within maxTickGap. Otherwise the
// process was paused, and must not act on its state from before the pause.
func (k *Kernel) Responsive() bool {
	k.recordSuspension()
	return k.Now()-time.Duration(k.lastTick.Load()) < maxTickGap
}

// AwaitPauseCheck returns once the control thread has recorded a pause of the process, if there
// was one, so that the caller does not act on state from before it.
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

// control is the control thread: it runs the queued jobs until the context is done.
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

// reportPanic logs a summary of the control state when the control thread panics, since a
// stack trace alone does not show the state that led to the panic. It then panics again.
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
// members are not considered unresponsive because of heartbeats missed during the pause.
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

// recordSuspension adds the time for which the machine was suspended, if it was, to Now.
func (k *Kernel) recordSuspension() {
	if suspended := k.suspensions.update(k.monotonic); suspended > 0 {
		k.Log.Warn().Dur("Asleep", suspended).Msg("machine was suspended")
	}
}

// publish publishes a view if the state has changed.
func (k *Kernel) publish(s *State) {
	if !s.changed {
		return
	}
	s.changed = false
	v := s.view()
	k.view.Store(v)
	for _, f := range k.viewCallbacks {
		f(v)
	}
}
