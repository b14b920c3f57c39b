package policy

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestAcquire uses virtual time.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 0))})
		f.Apply(0, []Share{{Name: "U1", Slots: 1}})
		u := f.Find("U1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		assert.Assert(t, f.Acquire(ctx, u, time.Second, now), "a free slot is granted immediately")
		begun := now()
		assert.Assert(t, !f.Acquire(ctx, u, time.Second, now), "no slot is released before the deadline")
		assert.Equal(t, now()-begun, time.Second)
		got := make(chan bool)
		go func() { got <- f.Acquire(ctx, u, now()+time.Second, now) }()
		synctest.Wait()
		NotifyGranted(f.ReleaseSlot(now(), u))
		assert.Assert(t, <-got, "the released slot is granted")
		begun = now()
		time.AfterFunc(time.Millisecond, cancel)
		assert.Assert(t, !f.Acquire(ctx, u, now()+time.Second, now), "the context is cancelled")
		assert.Equal(t, now()-begun, time.Millisecond)
		NotifyGranted(f.ReleaseSlot(now(), u))
		assert.Equal(t, f.State(now())[0].InUse, 0)
		assert.Equal(t, f.State(now())[0].Queued, 0)
	})
}

func TestQueueGrantsTheEarliestDeadlineFirst(t *testing.T) {
	const ms = time.Millisecond
	u := &Upstream{kind: &listedKind, slots: slots{share: 1, maxSlots: 1}}
	w := func(deadline time.Duration) *Waiter { return &Waiter{Upstream: u, Deadline: deadline} }
	first, late, early, gone, past := w(time.Second), w(90*ms), w(50*ms), w(60*ms), w(10*ms)
	granted, queued := u.acquireOrQueue(first)
	assert.Assert(t, granted && !queued)
	for _, x := range []*Waiter{late, early, gone, past} {
		granted, queued = u.acquireOrQueue(x)
		assert.Assert(t, !granted && queued)
	}
	assert.Equal(t, len(u.grant(20*ms)), 0, "no slot is free")
	gone.abandon()
	gone.abandon()
	for _, want := range []*Waiter{early, late} {
		u.slots.inUse--
		got := u.grant(20 * ms)
		assert.Equal(t, len(got), 1)
		assert.Assert(t, got[0] == want, "%s", got[0].Deadline)
		assert.Equal(t, want.index, indexGranted)
	}
	assert.Equal(t, past.index, indexNone)
	assert.Equal(t, u.slots.queue.Len(), 0)
}

func TestQueueIsBounded(t *testing.T) {
	for _, share := range []int{0, 1, 2} {
		u := &Upstream{kind: &declaredKind, slots: slots{share: share, maxSlots: share, inUse: share}}
		for range queuePerSlot * max(share, 1) {
			_, queued := u.acquireOrQueue(&Waiter{Upstream: u})
			assert.Assert(t, queued)
		}
		granted, queued := u.acquireOrQueue(&Waiter{Upstream: u})
		assert.Assert(t, !granted && !queued)
	}
}
