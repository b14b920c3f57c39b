package policy

import (
	"cmp"
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
	// Deadline orders waiters without an objective. A waiter is never granted a slot after
	// its deadline.
	Deadline time.Duration
	// ObjectiveAt is when the request of the waiter loses its full worth. It is set only
	// during a shortage, otherwise 0.
	ObjectiveAt time.Duration
	// Rank is the priority of the request; 0 is the most urgent. It is 0 if ObjectiveAt is
	// 0.
	Rank int
	// Granted is called without locks held when the waiter is granted a slot.
	Granted func()
	// late is true once the request can no longer meet its objective.
	late bool
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

// grant grants free slots to the waiters that come first. It drops waiters past their
// deadline, whose requests were answered by then.
func (u *Upstream) grant(now time.Duration) []*Waiter {
	var out []*Waiter
	for u.slots.queue.Len() > 0 && u.hasSlot() {
		u.slots.queue.moveLate(now + u.latency.smoothed)
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

// moveLate moves waiters that cannot meet their objective, because their calls would be
// answered at answeredAt, behind the others of their rank until one comes first that can or
// that was late before. Those that it does not look at have later objectives.
func (q *waiters) moveLate(answeredAt time.Duration) {
	for first := (*q)[0]; first.ObjectiveAt > 0 && !first.late && answeredAt > first.ObjectiveAt; first = (*q)[0] {
		first.late = true
		heap.Fix(q, 0)
	}
}

// objective returns the time that orders waiters of the same rank.
func (w *Waiter) objective() time.Duration { return cmp.Or(w.ObjectiveAt, w.Deadline) }

// before reports whether a waiter comes before another one: by rank, then those that can
// still meet their objective, then by objective, then by deadline. Without ranks and
// objectives, this is the order by deadline.
func (w *Waiter) before(o *Waiter) bool {
	switch {
	case w.Rank != o.Rank:
		return w.Rank < o.Rank
	case w.late != o.late:
		return o.late
	case w.objective() != o.objective():
		return w.objective() < o.objective()
	default:
		return w.Deadline < o.Deadline
	}
}

// waiters is a queue ordered by Waiter.before, for container/heap.
type waiters []*Waiter

var _ heap.Interface = (*waiters)(nil)

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool { return q[i].before(q[j]) }

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
