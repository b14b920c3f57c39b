package policy

import (
	"context"
	"time"
)

// Enter asks for a slot outside a run, as for a call on another host's behalf.
// It reports whether the slot was granted at once, or else whether the waiter
// is queued.
func (f *Fleet) Enter(w *Waiter) (granted, queued bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return w.Upstream.enter(w)
}

// Acquire waits for a slot outside a run until a deadline or the end of the context,
// and reports whether the slot was granted. It is the caller's to give back.
func (f *Fleet) Acquire(ctx context.Context, u *Upstream, deadline time.Duration, now func() time.Duration) bool {
	got := make(chan struct{})
	w := &Waiter{Upstream: u, Deadline: deadline, Granted: func() { close(got) }}
	granted, queued := f.Enter(w)
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
	return w.place == placeGranted
}
