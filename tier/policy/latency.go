package policy

import (
	"cmp"
	"time"
)

// smoothing says how fast a smoothed latency follows new ones.
type smoothing struct {
	// weight is how much a new latency counts, 0 to 1; the first ones count more.
	weight float64
	// leap is how many times the smoothed latency a new one counts for at most.
	maxRatio time.Duration
}

// latency is how long an upstream's calls take, smoothed. It is compared with that of
// other upstreams, and multiplied by the calls ahead of a new one.
type latency struct {
	// smoothed is 0 before the first call.
	smoothed time.Duration
	// samples counts the latencies that were observed.
	samples int
}

// observe records how long a call took. It returns the time that the call counted for,
// and with which weight.
func (l *latency) observe(took time.Duration, s smoothing) (counted time.Duration, weight float64) {
	l.samples++
	if l.smoothed == 0 {
		l.smoothed = took
	}
	weight = max(s.weight, 1/float64(l.samples))
	counted = min(took, s.maxRatio*l.smoothed)
	l.smoothed += time.Duration(weight * float64(counted-l.smoothed))
	return counted, weight
}

func (l *latency) orDefault(other time.Duration) time.Duration {
	return cmp.Or(l.smoothed, other)
}
