package policy

import "time"

const (
	// outlierFrom is how many medians of its service the latency of an upstream must exceed
	// to make it an outlier.
	outlierEnterRatio = 3
	// outlierUntil is how many medians the latency must come down to until the
	// upstream is no outlier. It is well below outlierFrom: calls that are hedged and
	// cancelled show a slow upstream less slow than it is, and without the gap it
	// would be trusted again and again.
	outlierExitRatio = 1.5
	// outlierLeast is by how much the latency must exceed the median besides: where calls
	// take microseconds, three medians are noise.
	minOutlierExcess = time.Millisecond
	// probeEvery is the least time between two probes of one outlier.
	minProbeInterval = 100 * time.Millisecond
)

// outlier marks an upstream whose calls take much longer than those of its service.
// It is called only if its shard has no other, and probed beside chosen calls.
type outlier struct {
	// marked is true from when the latency exceeds outlierFrom medians until it has
	// come down to outlierUntil.
	marked bool
	// nextProbe is the earliest time of the next probe.
	nextProbe time.Duration
}

func (o *outlier) update(latency, median time.Duration) {
	if o.marked {
		o.marked = float64(latency) > outlierExitRatio*float64(median)
		return
	}
	o.marked = latency > outlierEnterRatio*median && latency-median > minOutlierExcess
}

func (o *outlier) probeDue(now time.Duration) bool { return o.marked && now >= o.nextProbe }

func (o *outlier) probed(now time.Duration) { o.nextProbe = now + minProbeInterval }
