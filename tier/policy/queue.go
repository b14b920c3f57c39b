package policy

import (
	"container/heap"
	"time"
)

// queuePerSlot bounds the queue of an upstream, in calls for each slot of the share.
const queuePerSlot = 256

// The place of a waiter that is not in a queue; one that is has its index, 0 or more.
const (
	// placeOut is that of a waiter that was not granted a slot.
	indexNone = -1
	// placeGranted is that of a waiter that was.
	indexGranted = -2
)

// Waiter is a call that waits for a slot.
type Waiter struct {
	Upstream *Upstream
	// Deadline orders the queue; a waiter past it is never granted.
	Deadline time.Duration
	// Granted is called, with no lock held, when the slot is there.
	Granted func()
	// place is its index in the queue, placeOut or placeGranted.
	index int
}

// NotifyGranted tells waiters that they got their slots. No lock may be held.
func NotifyGranted(granted []*Waiter) {
	for _, w := range granted {
		w.Granted()
	}
}

// enter grants a waiter a slot, or else queues it unless the queue is full.
func (u *Upstream) acquireOrQueue(w *Waiter) (granted, queued bool) {
	w.index = indexNone
	if u.hasSlot() {
		u.slots.inUse++
		w.index = indexGranted
		return true, false
	}
	if u.slots.queue.Len() >= queuePerSlot*max(u.slots.share, 1) {
		return false, false
	}
	heap.Push(&u.slots.queue, w)
	return false, true
}

// abandon takes the waiter out of its queue, if it is in one.
func (w *Waiter) abandon() {
	if w.index >= 0 {
		heap.Remove(&w.Upstream.slots.queue, w.index)
	}
}

// grant gives free slots to the waiters with the earliest deadlines. Waiters
// past their deadline are dropped; their requests have been answered by then.
func (u *Upstream) grant(now time.Duration) []*Waiter {
	var out []*Waiter
	for u.slots.queue.Len() > 0 && u.hasSlot() {
		w := heap.Pop(&u.slots.queue).(*Waiter)
		if w.Deadline <= now {
			continue
		}
		u.slots.inUse++
		w.index = indexGranted
		out = append(out, w)
	}
	return out
}

// waiters is a queue by deadline, for container/heap.
type waiters []*Waiter

var _ heap.Interface = (*waiters)(nil)

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool { return q[i].Deadline < q[j].Deadline }

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waiters) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = indexNone
	return w
}
