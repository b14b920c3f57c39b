package runner

import (
	"context"
	"sync"
	"time"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Config describes an execution.
type Config[R any] struct {
	Kernel *kernel.Kernel
	Caller Caller[R]
	// Run describes the request. The function Run sets its field Granted.
	Run policy.RunConfig
}

// execution holds the state of the execution of one run.
type execution[R any] struct {
	kernel *kernel.Kernel
	caller Caller[R]
	// observer is nil if the caller does not implement it.
	observer Observer[R]
	// batcher is nil if the caller does not implement it.
	batcher  Batcher[R]
	deadline time.Duration
	ctx      context.Context

	// mu guards the fields below, except the channel done.
	mu  sync.Mutex
	run *policy.Run
	// answer is the answer of the call whose outcome the run is handling.
	answer R
	// finished is true once the run has finished.
	finished bool
	// decidedAt is when the run finished.
	decidedAt time.Duration
	// calls holds the calls by attempt.
	calls map[int]*call
	timer *time.Timer
	// wakeAt is when the timer fires, or timerUnset.
	wakeAt time.Duration
	// done is closed when the run has finished.
	done chan struct{}
}

// timerUnset is the wakeAt of an execution whose timer is not set. It is later than any
// other time.
const timerUnset = time.Duration(1<<63 - 1)

// Run executes a run, waits until it has finished, and returns the time of that as decidedAt.
// For a refused request, the error is a *policy.Refusal. The run is aborted when callerGone is
// closed, which means that the caller has disconnected. Run ignores the cancellation of ctx:
// only the run itself cancels calls, so that every call is accounted for even after the caller
// has disconnected.
func Run[R any](ctx context.Context, c Config[R], callerGone <-chan struct{}) (r policy.Result, decidedAt time.Duration, err error) {
	e := &execution[R]{
		kernel: c.Kernel, caller: c.Caller, deadline: c.Run.Deadline, ctx: context.WithoutCancel(ctx),
		calls: map[int]*call{}, done: make(chan struct{}),
	}
	e.batcher, _ = c.Caller.(Batcher[R])
	e.observer, _ = c.Caller.(Observer[R])
	c.Run.Granted = e.slotGranted
	if e.run, err = policy.NewRun(c.Run); err != nil {
		return policy.Result{}, 0, err
	}
	if err := e.begin(); err != nil {
		return policy.Result{}, 0, err
	}
	select {
	case <-e.done:
	case <-callerGone:
		e.handle(e.run.Abort)
		<-e.done
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer.Stop()
	return e.run.Result(), e.decidedAt, nil
}

// begin starts the first calls, unless the run is refused.
func (e *execution[R]) begin() error {
	now := e.kernel.Now()
	e.mu.Lock()
	actions, err := e.run.Begin(now)
	if err != nil {
		e.mu.Unlock()
		return err
	}
	e.wakeAt = e.run.WakeAt()
	e.timer = time.AfterFunc(e.wakeAt-now, e.wake)
	granted := e.perform(actions)
	e.mu.Unlock()
	policy.NotifyGranted(granted)
	return nil
}

// handle passes one event to the run and performs the resulting actions.
func (e *execution[R]) handle(event func(now time.Duration) []policy.Action) {
	e.mu.Lock()
	now := e.kernel.Now()
	granted := e.perform(event(now))
	if next := e.run.WakeAt(); e.timer != nil && next < e.wakeAt {
		e.wakeAt = next
		e.timer.Reset(max(next-now, 0))
	}
	e.mu.Unlock()
	policy.NotifyGranted(granted)
}

// slotGranted notifies the run that a queued attempt was granted its slot.
func (e *execution[R]) slotGranted(n int) {
	e.handle(func(now time.Duration) []policy.Action { return e.run.Granted(now, n) })
}

// wake wakes the run when the timer fires.
func (e *execution[R]) wake() {
	e.handle(func(now time.Duration) []policy.Action {
		e.wakeAt = timerUnset
		return e.run.Wake(now)
	})
}

// perform performs actions; e.mu must be held. It returns the waiters that were granted a
// slot; the caller must pass them to policy.NotifyGranted after unlocking.
func (e *execution[R]) perform(actions []policy.Action) []*policy.Waiter {
	var (
		granted []*policy.Waiter
		sends   []policy.Action
	)
	for _, a := range actions {
		switch a.Kind {
		case policy.ActionSend:
			sends = append(sends, a)
		case policy.ActionCancel:
			if c := e.calls[a.Attempt]; c != nil {
				c.cancelOutcome = a.Outcome
				c.cancel()
			}
		case policy.ActionLinger:
			e.linger(a)
		case policy.ActionMerge:
			e.caller.Merge(a.Part, e.answer)
		case policy.ActionReleaseSlot:
			granted = append(granted, e.kernel.Fleet.ReleaseSlot(e.kernel.Now(), a.Upstream)...)
		case policy.ActionFinish:
			e.finished, e.decidedAt = true, e.kernel.Now()
			close(e.done)
		}
	}
	return append(granted, e.startCalls(sends)...)
}

// startCalls starts calls; e.mu must be held. It returns the waiters that were granted a
// slot; the caller must pass them to policy.NotifyGranted after unlocking.
func (e *execution[R]) startCalls(sends []policy.Action) (granted []*policy.Waiter) {
	var batches []Batch
	if e.batcher != nil && len(sends) > 0 {
		batches, sends = e.batcher.Batches(sends)
	}
	for _, a := range sends {
		e.send(a)
	}
	for _, b := range batches {
		granted = append(granted, e.sendBatch(b)...)
	}
	return granted
}
