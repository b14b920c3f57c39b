package kernel

import (
	"context"
	"sync"
	"time"
)

const (
	// maxQueuedJobs is how many jobs may wait for the control thread before Do blocks.
	maxQueuedJobs = 1024
	// tickInterval is the time between two pulses of an idle control thread. It has to be
	// well below pauseBound.
	tickInterval = 100 * time.Millisecond
	// maxTickGap is the longest gap between pulses after which the process is still
	// considered to have run all the time.
	maxTickGap = time.Second
)

// Responsive reports whether the process has run without a long pause up to now. A
// process that was paused must not act on what it knew before.
func (k *Kernel) Responsive() bool {
	k.recordSuspension()
	return k.Now()-time.Duration(k.lastTick.Load()) < maxTickGap
}

// AwaitPauseCheck waits until the control thread has noticed a pause of the process, so that what
// was known before it is not acted on.
func (k *Kernel) AwaitPauseCheck() {
	if !k.Responsive() {
		k.DoAndWait(func(*State) {})
	}
}

// RunLoops runs each loop in a goroutine of its own. The clean-up function ends their
// context and waits until they have returned.
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

// Sleep waits for a time, or until the context ends.
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

// reportPanic logs what the control thread knew when it failed, and lets the
// process end: without this line an operator has a stack trace and not the
// state that led to it.
func (k *Kernel) reportPanic(s *State) {
	cause := recover()
	if cause == nil {
		return
	}
	k.Log.Error().Interface("Cause", cause).Bool("Document", s.Index != nil).Bool("Directory", s.Directory != nil).
		Int("Members", len(s.Members)).Bool("Reading", s.Reading).Bool("Announcing", s.Announcing).
		Bool("FeedDown", s.PlatformDown).Dur("SourceAt", s.AnnouncedReadAt).Dur("Age", k.Now()).Msg("control thread failed")
	if k.FlushLog != nil {
		k.FlushLog()
	}
	panic(cause)
}

// tick notes that the process runs. After a pause Pauses rises, so that the
// silence of members during the pause does not count.
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

// recordSuspension has the time asleep count, if the machine was suspended.
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
