package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestIsNotHeldPastItsDeadline guards against a request that waits for its objective
// although its caller leaves before that, and then starts in vain.
func TestRequestIsNotHeldPastItsDeadline(t *testing.T) {
	g, held, now := newBusyGate(10, GateConfig{})
	d := Demand{Route: "R", ObjectiveAt: now + time.Second, DeadlineAt: now + 200*time.Millisecond}
	for range 100 {
		g.Enter(now, Demand{Route: "R", ObjectiveAt: now + 400*time.Millisecond, DeadlineAt: now + time.Second})
	}
	x := g.Enter(now, d)
	assert.Assert(t, !x.Admitted())
	g.Leave(d.DeadlineAt+time.Millisecond, held[0], Completion{Took: 10 * time.Millisecond, Covered: true})
	for at := d.DeadlineAt; !decided(x) && at < now+time.Second; at = x.CheckAt() {
		g.Check(at, x)
	}
	assert.Assert(t, decided(x) && !x.Admitted())
}
