package policy

import "time"

const (
	// outlierEnterRatio is the multiple of the median latency of its service above which an
	// upstream becomes an outlier.
	outlierEnterRatio = 3
	// outlierExitRatio is the multiple of the median to which the latency must fall before
	// an upstream stops being an outlier. It is well below outlierEnterRatio because
	// cancelled calls understate the latency of a slow upstream, which would otherwise
	// return to rotation again and again.
	outlierExitRatio = 1.5
	// minOutlierExcess is the minimum difference between the latency of an outlier and the
	// median. For calls that take microseconds, a multiple of the median is noise.
	minOutlierExcess = time.Millisecond
	// minProbeInterval is the minimum time between two probes of an outlier.
	minProbeInterval = 100 * time.Millisecond
)

// outlier marks an upstream whose calls take much longer than those of its service. Apart
// from probes, it is called only if its shard has no other upstream.
type outlier struct {
	// marked is set when the latency exceeds outlierEnterRatio medians and cleared when it
	// has fallen to outlierExitRatio medians.
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
