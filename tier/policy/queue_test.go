package policy

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestAcquire waits for a slot in virtual time.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 0))})
		f.Apply(0, []Share{{Name: "U1", Slots: 1}})
		u := f.Find("U1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		assert.Assert(t, f.Acquire(ctx, u, time.Second, now), "a free slot is given at once")
		begun := now()
		assert.Assert(t, !f.Acquire(ctx, u, time.Second, now), "none comes free before the deadline")
		assert.Equal(t, now()-begun, time.Second)
		got := make(chan bool)
		go func() { got <- f.Acquire(ctx, u, now()+time.Second, now) }()
		synctest.Wait()
		Deliver(f.Free(now(), u))
		assert.Assert(t, <-got, "the slot that comes free is given")
		begun = now()
		time.AfterFunc(time.Millisecond, cancel)
		assert.Assert(t, !f.Acquire(ctx, u, now()+time.Second, now), "nobody waits for it any more")
		assert.Equal(t, now()-begun, time.Millisecond)
		Deliver(f.Free(now(), u))
		assert.Equal(t, f.State(now())[0].InUse, 0)
		assert.Equal(t, f.State(now())[0].Queued, 0)
	})
}
