package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConditionReportsAffectOtherHosts checks that a far host avoids an upstream that a
// near host reports as slow, and returns to it once it is no longer reported.
func TestConditionReportsAffectOtherHosts(t *testing.T) {
	near := routedFleet(4, RetryBudget{})
	pool, _ := near.RoutedLatencyPools("Find")
	finish := func(f *Fleet, name string, took time.Duration) {
		f.Finish(0, Call{Upstream: f.Find(name), Pool: pool, Outcome: CallOK, Took: took})
	}
	for i := range 200 {
		finish(near, fmt.Sprint("N", i%4), 10*time.Millisecond)
	}
	assert.Equal(t, len(near.Conditions(0)), 0)
	for range 10 {
		finish(near, "N1", 100*time.Millisecond)
	}
	reported := near.Conditions(time.Second)
	assert.Equal(t, len(reported), 1)
	assert.Equal(t, reported[0].Upstream, "N1")
	assert.Assert(t, reported[0].Slowness >= 5, "%+v", reported)
	assert.Equal(t, len(near.Conditions(maxReportedAge+time.Second)), 0, "what was seen long ago is not reported")

	far := routedFleet(4, RetryBudget{})
	first := func(now time.Duration) string {
		_, actions := routedRun(t, far, now, 2, 2, 1, true)
		return sends(actions)[1].Upstream.Name
	}
	assert.Equal(t, first(0), "N1")
	far.SetConditions(0, "A", reported)
	assert.Equal(t, first(time.Millisecond), "F1")
	far.SetConditions(time.Second, "A", nil)
	assert.Equal(t, first(time.Second), "N1")
	far.SetConditions(time.Second, "A", reported)
	assert.Equal(t, first(time.Second+conditionTTL+1), "N1", "an old report is not believed")
}

// TestUnreportedUpstreamPerformsWell checks that a host lowers its own estimate of an
// upstream that the upstream's hall does not report.
func TestUnreportedUpstreamPerformsWell(t *testing.T) {
	f := routedFleet(1, RetryBudget{})
	u := f.Find("F0")
	u.condition.slowness, u.latency.samples, u.condition.observedAt = 20, 5, 0
	slowness, _ := u.condition.expected(0, u.Name)
	assert.Equal(t, slowness, 20.0)
	f.SetConditions(0, "B", nil)
	slowness, _ = u.condition.expected(0, u.Name)
	assert.Equal(t, slowness, float64(minReportedSlowness))
}
