package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestObserveOutcome(t *testing.T) {
	tests := []struct {
		outcome CallOutcome
		want    float64
	}{
		{CallOK, 0.45},
		{CallShed, 0.55},
		{CallUnreachable, 0.55},
		{CallFailed, 0.55},
		{CallMalformed, 0.55},
		{CallBroken, 0.55},
		{CallCrashed, 0.55},
		{CallLate, 0.5},
		{CallCancelled, 0.5},
		{CallLeaving, 0.5},
		{CallNotSent, 0.5},
		{CallBarred, 0.5},
		{CallStalled, 0.5},
		{CallSnapshotGone, 0.5},
		{CallMoved, 0.5},
		{CallLost, 0.5},
	}
	for _, tt := range tests {
		c := condition{faults: 0.5}
		c.observeOutcome(time.Second, tt.outcome)
		assert.Equal(t, c.faults, tt.want, "%s", tt.outcome)
		assert.Equal(t, c.observedAt, time.Second, "%s", tt.outcome)
	}
}

func TestExpectedCondition(t *testing.T) {
	const now = time.Minute
	report := func(age time.Duration, r ...Condition) *hallConditions {
		h := &hallConditions{reported: map[string]Condition{}, reportedAt: now - age}
		for _, c := range r {
			h.reported[c.Upstream] = c
		}
		return h
	}
	worse := Condition{Upstream: "U", Slowness: 8, FaultPercent: 50}
	tests := []struct {
		name             string
		condition        condition
		slowness, faults float64
	}{
		{"nothing known", condition{observedAt: now}, 1, 0},
		{"seen", condition{slowness: 2, faults: 0.5, observedAt: now}, 2, 0.5},
		{"seen long ago", condition{slowness: 2, faults: 0.5, observedAt: now - minWeightAge}, 1, 0.25},
		{"seen a while ago", condition{slowness: 2, faults: 0.5, observedAt: now - (fullWeightAge+minWeightAge)/2}, 1.5, 0.375},
		{"reported", condition{slowness: 2, observedAt: now, hall: report(0, worse)}, 8, 0.5},
		{"seen worse than reported", condition{slowness: 9, faults: 0.6, observedAt: now, hall: report(0, worse)}, 9, 0.6},
		{"an old report", condition{slowness: 2, observedAt: now, hall: report(conditionTTL+1, worse)}, 2, 0},
		{"not mentioned", condition{slowness: 9, faults: 0.6, observedAt: now, hall: report(0)}, minReportedSlowness, minReportedFaults},
		{"another is mentioned", condition{slowness: 2, observedAt: now, hall: report(0, Condition{Upstream: "V", Slowness: 9})}, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			slowness, faults := tt.condition.expected(now, "U")
			assert.Equal(t, slowness, tt.slowness)
			assert.Equal(t, faults, tt.faults)
		})
	}
}

func TestWorthReporting(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name      string
		condition condition
		want      bool
	}{
		{"does well", condition{slowness: minReportedSlowness, faults: minReportedFaults, observedAt: now}, false},
		{"slow", condition{slowness: minReportedSlowness + 0.1, observedAt: now}, true},
		{"faulty", condition{slowness: 1, faults: minReportedFaults + 0.01, observedAt: now}, true},
		{"seen as long ago as counts", condition{slowness: 9, observedAt: now - maxReportedAge}, true},
		{"seen too long ago", condition{slowness: 9, observedAt: now - maxReportedAge - 1}, false},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.condition.worthReporting(now), tt.want, "%s", tt.name)
	}
}
