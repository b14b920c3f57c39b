package policy

import (
	"slices"
	"time"
)

const (
	// expectedRunQuantile is the quantile of the time to coverage that is expected of a
	// request. With the mean, half of the admitted requests missed their objective.
	expectedRunQuantile = 0.8
	// coverageTimeSamples is the number of requests that the expected time is taken from. A
	// host runs some tens of requests of a route in a second, and the times change within
	// seconds when a shortage begins.
	coverageTimeSamples = 32
	// coverageTimeRetention is how long a time is taken into account. Requests that are
	// refused because runs took long would otherwise never show that they have become shorter.
	coverageTimeRetention = time.Second
)

// coverageTimes holds the times from admission to the least coverage of the latest requests.
// The pools of the upstreams' latencies are not used here since their quantiles follow
// thousands of calls. The zero value is empty.
type coverageTimes struct {
	// samples is a ring of which the count entries before next are valid.
	samples     [coverageTimeSamples]time.Duration
	count, next int
	// recordedAt is when each sample was recorded.
	recordedAt [coverageTimeSamples]time.Duration
	// now is the time of the last advance.
	now time.Duration
	// expected is the quantile of the samples; 0 without samples.
	expected time.Duration
	// stale is true if a sample was added since expected was computed.
	stale bool
}

// record adds the time of a request. A request that ended without coverage would have taken
// longer than it did, so it counts only if it took longer than expected.
func (c *coverageTimes) record(e Completion) {
	if !e.Covered && e.Took <= c.quantile() {
		return
	}
	c.samples[c.next], c.recordedAt[c.next] = e.Took, c.now
	c.next = (c.next + 1) % coverageTimeSamples
	c.count = min(c.count+1, coverageTimeSamples)
	c.stale = true
}

// advance sets the time and drops the samples that are too old, the oldest first.
func (c *coverageTimes) advance(now time.Duration) {
	c.now = max(c.now, now)
	for c.count > 0 && c.now-c.recordedAt[c.oldest()] > coverageTimeRetention {
		c.count--
		c.stale = true
	}
}

// oldest returns the index of the oldest sample.
func (c *coverageTimes) oldest() int {
	return (c.next - c.count + coverageTimeSamples) % coverageTimeSamples
}

// quantile returns the expected time, or 0 if no request has ended.
func (c *coverageTimes) quantile() time.Duration {
	if c.count == 0 {
		return 0
	}
	if c.stale {
		sorted := make([]time.Duration, 0, coverageTimeSamples)
		for i := range c.count {
			sorted = append(sorted, c.samples[(c.oldest()+i)%coverageTimeSamples])
		}
		slices.Sort(sorted)
		c.expected = sorted[int(expectedRunQuantile*float64(c.count-1))]
		c.stale = false
	}
	return c.expected
}
