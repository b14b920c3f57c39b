package policy

import (
	"cmp"
	"time"
)

// smoothing sets how fast a smoothed latency follows new ones.
type smoothing struct {
	// weight is the weight of a new latency, 0 to 1. The first latencies weigh more.
	weight float64
	// maxRatio caps a new latency at a multiple of the smoothed one.
	maxRatio time.Duration
}

// latency is the smoothed call time of an upstream. It is compared with that of other
// upstreams and multiplied by the number of calls ahead of a new one.
type latency struct {
	// smoothed is 0 before the first call.
	smoothed time.Duration
	// samples counts the observed latencies.
	samples int
}

// observe records how long a call took. It returns the latency after the cap and the weight
// that was applied to it.
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
