package policy

import (
	"context"
	"time"
)

// Finish gives the slot of a call back and learns from its outcome. The
// waiters that got a slot are returned, for NotifyGranted.
func (f *Fleet) Finish(now time.Duration, c Call) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Upstream.learn(now, c)
	if c.Relayed {
		return nil
	}
	c.Upstream.slots.inUse--
	return c.Upstream.grant(now)
}

// ReleaseSlot gives an unused slot back.
func (f *Fleet) ReleaseSlot(now time.Duration, u *Upstream) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.slots.inUse--
	return u.grant(now)
}

// RecordSent notes that a call is sent to an upstream now.
func (f *Fleet) RecordSent(now time.Duration, u *Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.stall.sent(now)
}

// Stalled reports whether an upstream answers nobody for the moment, as far as
// this host knows from its own calls.
func (f *Fleet) Stalled(now time.Duration, u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return u.stalled(now)
}

// TryLinger reports whether a call whose answer is not wanted any more may go on for a
// while; Finish is then called with Lingering set.
func (f *Fleet) TryLinger(u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return u.tryLinger()
}

// CancelLinger releases what Linger took for a call that ended before it could linger.
func (f *Fleet) CancelLinger(u *Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.stall.lingering = false
}

// AcquireOrQueue asks for a slot outside a run, as for a call on another host's behalf.
// It reports whether the slot was granted at once, or else whether the waiter
// is queued.
func (f *Fleet) AcquireOrQueue(w *Waiter) (granted, queued bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return w.Upstream.acquireOrQueue(w)
}

// Acquire waits for a slot outside a run until a deadline or the end of the context,
// and reports whether the slot was granted. It is the caller's to give back.
func (f *Fleet) Acquire(ctx context.Context, u *Upstream, deadline time.Duration, now func() time.Duration) bool {
	got := make(chan struct{})
	w := &Waiter{Upstream: u, Deadline: deadline, Granted: func() { close(got) }}
	granted, queued := f.AcquireOrQueue(w)
	if !queued {
		return granted
	}
	timer := time.NewTimer(deadline - now())
	defer timer.Stop()
	select {
	case <-got:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.abandon()
	// It may have been granted meanwhile.
	return w.index == indexGranted
}
