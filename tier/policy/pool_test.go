package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPoolIsKnownAfterSomeLatencies(t *testing.T) {
	const ms = time.Millisecond
	p := newPool(poolWindow)
	for range minPoolSamples - 1 {
		p.record(20 * ms)
	}
	assert.Assert(t, !p.known())
	assert.Equal(t, p.median(), defaultMedian)
	p.record(20 * ms)
	assert.Assert(t, p.known())
	assert.Assert(t, near(p.median(), 20*ms), p.median())
}

// TestPoolDropsOldLatencies checks that quantiles come from the previous window until part
// of the new one has arrived.
func TestPoolDropsOldLatencies(t *testing.T) {
	const (
		ms     = time.Millisecond
		window = 1000
	)
	p := newPool(window)
	steps := []struct {
		latencies int
		took      time.Duration
		want      time.Duration
	}{
		{window, 10 * ms, 10 * ms},
		{window/poolSettledDivisor - poolRefresh, 40 * ms, 10 * ms},
		{2 * poolRefresh, 40 * ms, 40 * ms},
	}
	for i, s := range steps {
		for range s.latencies {
			p.record(s.took)
		}
		assert.Assert(t, near(p.median(), s.want), "step %d: %s", i, p.median())
		assert.Assert(t, near(p.quantile(0.99), s.want), "step %d: %s", i, p.quantile(0.99))
	}
}

func TestPoolClampsLatencies(t *testing.T) {
	p := newPool(poolWindow)
	for range minPoolSamples {
		p.record(-time.Second)
		p.record(time.Hour)
	}
	assert.Equal(t, p.Count(), int64(2*minPoolSamples))
	assert.Equal(t, p.quantile(0.25), time.Microsecond)
	assert.Assert(t, near(p.quantile(0.99), time.Minute), p.quantile(0.99))
}

// near allows for the precision of the histogram.
func near(got, want time.Duration) bool {
	return got >= want*99/100 && got <= want*101/100
}
