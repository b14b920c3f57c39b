package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOutlier(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name      string
		marked    bool
		latency   time.Duration
		median    time.Duration
		wantsMark bool
	}{
		{"like others", false, 10 * ms, 10 * ms, false},
		{"three medians", false, 30 * ms, 10 * ms, false},
		{"more than three medians", false, 30*ms + 1, 10 * ms, true},
		{"a difference too small to count", false, 900 * time.Microsecond, 100 * time.Microsecond, false},
		{"still above one and a half medians", true, 15*ms + 1, 10 * ms, true},
		{"down to one and a half medians", true, 15 * ms, 10 * ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := outlier{marked: tt.marked}
			o.update(tt.latency, tt.median)
			assert.Equal(t, o.marked, tt.wantsMark)
		})
	}
}

func TestOutlierProbeInterval(t *testing.T) {
	o := outlier{}
	assert.Assert(t, !o.probeDue(time.Second), "the upstream is not an outlier")
	o.marked = true
	assert.Assert(t, o.probeDue(time.Second))
	o.probed(time.Second)
	assert.Assert(t, !o.probeDue(time.Second+minProbeInterval-1))
	assert.Assert(t, o.probeDue(time.Second+minProbeInterval))
}
