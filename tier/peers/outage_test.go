package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOutageCountsAsAway has reads fail for a while after a good one.
func TestOutageMakesPlatformUnavailable(t *testing.T) {
	const (
		heard = time.Minute
		stale = 1200 * time.Millisecond
	)
	tests := []struct {
		name string
		// failed are when reads failed, and now is asked, as time since the good one.
		failed []time.Duration
		now    time.Duration
		want   bool
	}{
		{"no read failed", nil, time.Hour, false},
		{"one failed just now", []time.Duration{time.Second}, time.Second, false},
		{"they fail for a while", []time.Duration{100 * time.Millisecond, 500 * time.Millisecond}, 100*time.Millisecond + unavailableAfter, true},
		{"not quite", []time.Duration{100 * time.Millisecond}, 100*time.Millisecond + unavailableAfter - 1, false},
		{"the first failed late", []time.Duration{stale + 1}, stale + 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o outage
			o.succeeded(heard)
			for _, at := range tt.failed {
				o.failed(heard + at)
			}
			assert.Equal(t, o.isUnavailable(heard+tt.now, stale), tt.want)
			o.succeeded(heard + tt.now)
			assert.Assert(t, !o.isUnavailable(heard+tt.now, stale))
		})
	}
}

// TestOutagePausesGrow draws the pauses after failed reads.
func TestOutageDelaysGrow(t *testing.T) {
	var o outage
	for _, most := range []time.Duration{minRetryDelay, 2 * minRetryDelay, 4 * minRetryDelay, 8 * minRetryDelay, maxRetryDelay, maxRetryDelay} {
		p := o.nextDelay()
		assert.Assert(t, p >= most/2 && p <= most, "%s, at most %s", p, most)
	}
	o.succeeded(0)
	assert.Assert(t, o.nextDelay() <= minRetryDelay)
}
