package policy

import (
	"container/heap"
	"time"
)

// queuePerSlot limits the queue of an upstream, in calls per slot of the share.
const queuePerSlot = 256

// Values of Waiter.index for a waiter that is not queued.
const (
	// indexNone is the index of a waiter that was not granted a slot.
	indexNone = -1
	// indexGranted is the index of a waiter that was granted a slot.
	indexGranted = -2
)

// Waiter is a call that waits for a slot.
type Waiter struct {
	Upstream *Upstream
	// Deadline orders the queue. A waiter is never granted a slot after its deadline.
	Deadline time.Duration
	// Granted is called without locks held when the waiter is granted a slot.
	Granted func()
	// index is the position in the queue, or indexNone or indexGranted.
	index int
}

// NotifyGranted calls Granted of each waiter. The caller must not hold any lock.
func NotifyGranted(granted []*Waiter) {
	for _, w := range granted {
		w.Granted()
	}
}

// acquireOrQueue grants a slot to a waiter, or queues it unless the queue is full.
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

// abandon removes the waiter from its queue, if it is queued.
func (w *Waiter) abandon() {
	if w.index >= 0 {
		heap.Remove(&w.Upstream.slots.queue, w.index)
	}
}

// grant grants free slots to the waiters with the earliest deadlines. It drops waiters past
// their deadline, whose requests were answered by then.
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

// waiters is a queue ordered by deadline, for container/heap.
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
