package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOutageMakesPlatformUnavailable checks when failed reads make the platform unavailable.
func TestOutageMakesPlatformUnavailable(t *testing.T) {
	const (
		succeededAt = time.Minute
		maxAge      = 1200 * time.Millisecond
	)
	tests := []struct {
		name string
		// failed are the times of failed reads, and now that of the check, since the last
		// successful read.
		failed []time.Duration
		now    time.Duration
		want   bool
	}{
		{"no read failed", nil, time.Hour, false},
		{"one failed just now", []time.Duration{time.Second}, time.Second, false},
		{"they fail for a while", []time.Duration{100 * time.Millisecond, 500 * time.Millisecond}, 100*time.Millisecond + unavailableAfter, true},
		{"not quite", []time.Duration{100 * time.Millisecond}, 100*time.Millisecond + unavailableAfter - 1, false},
		{"the first failed late", []time.Duration{maxAge + 1}, maxAge + 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o outage
			o.succeeded(succeededAt)
			for _, at := range tt.failed {
				o.failed(succeededAt+at, knownReads{lastAt: succeededAt})
			}
			assert.Equal(t, o.isUnavailable(succeededAt+tt.now, maxAge), tt.want)
			o.succeeded(succeededAt + tt.now)
			assert.Assert(t, !o.isUnavailable(succeededAt+tt.now, maxAge))
		})
	}
}

// TestOutageDelaysGrow checks the backoff after failed reads.
func TestOutageDelaysGrow(t *testing.T) {
	var o outage
	for _, maxDelay := range []time.Duration{minRetryDelay, 2 * minRetryDelay, 4 * minRetryDelay, 8 * minRetryDelay, maxRetryDelay, maxRetryDelay} {
		p := o.nextDelay()
		assert.Assert(t, p >= maxDelay/2 && p <= maxDelay, "%s, at most %s", p, maxDelay)
	}
	o.succeeded(0)
	assert.Assert(t, o.nextDelay() <= minRetryDelay)
}
