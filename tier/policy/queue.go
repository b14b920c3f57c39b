package policy

import (
	"container/heap"
	"context"
	"time"
)

// queueForOneSlot bounds the queue of an upstream, for each slot of the share.
const queueForOneSlot = 256

// Places of a waiter that is not in a queue.
const (
	placeOut     = -1
	placeGranted = -2
)

// Waiter is a call that waits for a slot.
type Waiter struct {
	Upstream *Upstream
	// Deadline orders the queue; a waiter past it is never granted.
	Deadline time.Duration
	// Granted is called, with no lock held, when the slot is there.
	Granted func()
	// place is its index in the queue, or one of the places above.
	place int
}

// Enter asks for a slot outside a run, as for a call on another host's behalf.
// It reports whether the slot was granted at once, or else whether the waiter
// is queued.
func (f *Fleet) Enter(w *Waiter) (granted, queued bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.enter(w)
}

// Abandon takes a waiter out of its queue. It reports true if the slot has been
// granted meanwhile, which is then the caller's to give back.
func (f *Fleet) Abandon(w *Waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandon(w)
	return w.place == placeGranted
}

// Acquire waits for a slot outside a run until a deadline or the end of the
// context, and tells whether the slot was granted.
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
	return f.Abandon(w)
}

// enter asks for a slot; the fleet is locked. It reports whether the slot was
// granted at once; if not, the waiter is queued unless the queue is full.
func (f *Fleet) enter(w *Waiter) (granted, queued bool) {
	u := w.Upstream
	w.place = placeOut
	if u.free() {
		u.slots.inUse++
		w.place = placeGranted
		return true, false
	}
	if u.slots.queue.Len() >= queueForOneSlot*max(u.slots.share, 1) {
		return false, false
	}
	heap.Push(&u.slots.queue, w)
	return false, true
}

// abandon takes a waiter out of its queue; the fleet is locked.
func (f *Fleet) abandon(w *Waiter) {
	if w.place >= 0 {
		heap.Remove(&w.Upstream.slots.queue, w.place)
	}
}

// Deliver tells waiters that they got their slots. No lock may be held.
func Deliver(granted []*Waiter) {
	for _, w := range granted {
		w.Granted()
	}
}

// waiters is a queue by deadline, for container/heap.
type waiters []*Waiter

// Len implements heap.Interface.
func (q waiters) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waiters) Less(i, j int) bool { return q[i].Deadline < q[j].Deadline }

// Swap implements heap.Interface.
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*Waiter)
	w.place = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.place = placeOut
	return w
}
