package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLatency(t *testing.T) {
	const ms = time.Millisecond
	s := smoothing{weight: 0.1, maxRatio: 4}
	tests := []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"the first counts whole", []time.Duration{8 * ms}, 8 * ms},
		{"the second half", []time.Duration{8 * ms, 16 * ms}, 12 * ms},
		{"the third a third", []time.Duration{8 * ms, 16 * ms, 24 * ms}, 16 * ms},
		{"a straggler counts for four times the latency", []time.Duration{8 * ms, time.Second}, 20 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := latency{}
			assert.Equal(t, l.orDefault(ms), ms, "nothing is known")
			for _, d := range tt.took {
				l.observe(d, s)
			}
			assert.Equal(t, l.smoothed.Round(time.Microsecond), tt.want)
			assert.Equal(t, l.orDefault(ms), l.smoothed)
		})
	}
}

// TestLatencyFollowsChange checks the cap and the weight of a call that takes longer than
// all previous ones.
func TestLatencyFollowsChange(t *testing.T) {
	const ms = time.Millisecond
	l := latency{}
	for range 100 {
		l.observe(10*ms, smoothing{weight: 0.1, maxRatio: 4})
	}
	counted, weight := l.observe(100*ms, smoothing{weight: 0.1, maxRatio: 4})
	assert.Equal(t, counted, 40*ms)
	assert.Equal(t, weight, 0.1)
	assert.Equal(t, l.smoothed, 13*ms)
}
