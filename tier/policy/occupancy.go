package policy

import "time"

const (
	// occupancyTTL is how long a report of an upstream's calls is used during a shortage.
	// It is longer than loadTTL because queues last during a shortage, and because a host
	// whose requests are limited calls each upstream only a few times in a second.
	occupancyTTL = time.Second
	// occupancyWeight is the weight of one call in the smoothed slowness.
	occupancyWeight = 0.2
	// maxOccupancyRatio caps the slowness of one call, so that a pause of the upstream does
	// not exclude it for long.
	maxOccupancyRatio = 8
)

// occupancy is what is known about the calls of all hosts at an upstream and about its
// service time. It serves decisions during a shortage only.
type occupancy struct {
	// slots is the number of slots last reported; 0 before the first report.
	slots int
	// others counts the calls of other hosts, running and waiting, at the last report.
	others int
	// reportedAt is when the last report arrived.
	reportedAt time.Duration
	// slowness is the smoothed ratio of the service time, without the wait in the queue, to
	// the median of comparable calls; 0 while unknown.
	slowness float64
}

// update records a report. own counts the calls of this host that are still in progress.
func (o *occupancy) update(now time.Duration, l Load, own int) {
	if l.Slots == 0 {
		return
	}
	o.slots, o.others, o.reportedAt = l.Slots, max(l.Running+l.Waiting-own, 0), now
}

// observe records the time of a call that found the calls of the report ahead of it.
func (o *occupancy) observe(took, median time.Duration, l Load) {
	if l.Slots == 0 || median == 0 {
		return
	}
	ratio := min(serviceTime(took, l).Seconds()/median.Seconds(), maxOccupancyRatio)
	if o.slowness == 0 {
		o.slowness = ratio
	}
	o.slowness += occupancyWeight * (ratio - o.slowness)
}

// serviceTime estimates the time of a call without its wait in the queue of the upstream,
// from the number of calls that waited when it ended: on average, as many calls wait when
// a call ends as when it arrived.
func serviceTime(took time.Duration, l Load) time.Duration {
	return time.Duration(float64(took) / (1 + float64(l.Waiting)/float64(l.Slots)))
}

// expectedOthers returns how many calls of other hosts a new call is expected to find. It
// decreases with the age of the report, so that an upstream is tried again.
func (o *occupancy) expectedOthers(now time.Duration) float64 {
	age := now - o.reportedAt
	if o.slots == 0 || age >= occupancyTTL {
		return 0
	}
	return float64(o.others) * (1 - age.Seconds()/occupancyTTL.Seconds())
}

// fresh reports whether the last report is as recent as one that is used without a shortage.
func (o *occupancy) fresh(now time.Duration) bool { return o.slots > 0 && now-o.reportedAt < loadTTL }
