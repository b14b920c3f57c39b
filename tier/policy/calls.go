package policy

import (
	"context"
	"time"
)

// Finish releases the slot of a call and updates the state of its upstream from the
// outcome. It returns the waiters that were granted a slot, for NotifyGranted.
func (f *Fleet) Finish(now time.Duration, c Call) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Relayed {
		c.Upstream.slots.relayed = max(c.Upstream.slots.relayed-1, 0)
		c.Upstream.learn(now, c)
		return nil
	}
	c.Upstream.learn(now, c)
	c.Upstream.slots.inUse--
	return c.Upstream.grant(now)
}

// ReleaseSlot releases a slot that was not used. It returns the waiters that were granted a
// slot, for NotifyGranted.
func (f *Fleet) ReleaseSlot(now time.Duration, u *Upstream) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.slots.inUse--
	return u.grant(now)
}

// HandOver releases the slot of a call that another host makes. It returns the waiters that
// were granted a slot, for NotifyGranted.
func (f *Fleet) HandOver(now time.Duration, u *Upstream) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.slots.relayed++
	u.slots.inUse--
	return u.grant(now)
}

// RecordSent records that a call to an upstream is being sent.
func (f *Fleet) RecordSent(now time.Duration, u *Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.stall.sent(now)
}

// Stalled reports whether an upstream is currently unresponsive, judged by this host's own
// calls.
func (f *Fleet) Stalled(now time.Duration, u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return u.stalled(now)
}

// TryLinger reports whether a call whose answer is no longer needed may continue for a
// while. If so, Finish must be called with Lingering set.
func (f *Fleet) TryLinger(u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return u.tryLinger()
}

// CancelLinger undoes TryLinger for a call that ended before it could linger.
func (f *Fleet) CancelLinger(u *Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.stall.lingering = false
}

// AcquireOrQueue requests a slot outside a run, for example for a call on behalf of another
// host. It reports whether the slot was granted immediately and, if not, whether the waiter
// is queued.
func (f *Fleet) AcquireOrQueue(w *Waiter) (granted, queued bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return w.Upstream.acquireOrQueue(w)
}

// Acquire waits for a slot outside a run until the deadline or the end of the context, and
// reports whether the slot was granted. The caller must release it.
func (f *Fleet) Acquire(ctx context.Context, u *Upstream, deadline time.Duration, now func() time.Duration) bool {
	return f.AcquireAs(ctx, &Waiter{Upstream: u, Deadline: deadline}, now)
}

// AcquireAs is Acquire for a waiter that may have a rank and an objective. Its Granted is
// set.
func (f *Fleet) AcquireAs(ctx context.Context, w *Waiter, now func() time.Duration) bool {
	got := make(chan struct{})
	w.Granted = func() { close(got) }
	granted, queued := f.acquireAs(now(), w)
	if !queued {
		return granted
	}
	timer := time.NewTimer(w.Deadline - now())
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
	// The slot may have been granted in the meantime.
	return w.index == indexGranted
}

// acquireAs is AcquireOrQueue for a waiter whose objective, if it has one, shows that its
// request runs under a shortage.
func (f *Fleet) acquireAs(now time.Duration, w *Waiter) (granted, queued bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Upstream.slots.window.expire(now)
	if w.ObjectiveAt > 0 {
		w.Upstream.slots.window.noteShortage(now)
	}
	return w.Upstream.acquireOrQueue(w)
}
