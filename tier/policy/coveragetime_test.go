package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRouteIsServedAgainAfterSlowRuns guards against a route that is refused for good because
// its last runs were slow, since none is admitted that would show they have become faster.
func TestRouteIsServedAgainAfterSlowRuns(t *testing.T) {
	const ms = time.Millisecond
	g, _, now := newBusyGate(10, GateConfig{})
	for range coverageTimeSamples {
		g.recordRun(now, "Slow", Completion{Took: 100 * ms, Covered: true})
	}
	assert.Equal(t, g.expectedRun("Slow"), 100*ms)
	now += coverageTimeRetention
	g.recordRun(now, "Slow", Completion{Took: 30 * ms, Covered: true})
	now += ms
	g.Enter(now, demandAt(now, 0))
	assert.Equal(t, g.expectedRun("Slow"), 30*ms)
	now += coverageTimeRetention
	g.Enter(now, demandAt(now, 0))
	assert.Equal(t, g.expectedRun("Slow"), time.Duration(0), "nothing is known any more")
}
