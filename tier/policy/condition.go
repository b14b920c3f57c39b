package policy

import "time"

const (
	// reportSlow is how many times slower than comparable upstreams one must be to be
	// reported.
	minReportedSlowness = 3
	// reportFaults is the share of calls without a usable answer from which on an upstream
	// is reported.
	minReportedFaults = 0.25
	// reportFresh is the greatest age of the last call to an upstream that is reported: one
	// that all hosts avoid is tried again once reports end.
	maxReportedAge = 3 * time.Second
	// conditionLife is how long a report is believed: one comes with each batch that the
	// other hall answers.
	conditionTTL = 3 * time.Second
	// faultWeight is how much one call counts in the share of faults.
	faultWeight = 0.1
	// staleAfter is for how long what this host saw counts in full.
	fullWeightAge = time.Second
	// staleFull is the age from which on it counts for staleLeast.
	minWeightAge = 5 * time.Second
	// staleLeast is the part that what this host saw counts for when it is old, so that an
	// upstream which was slow is asked again.
	minObservationWeight = 0.5
)

// Condition is a host's report of an upstream of its own hall that does worse
// than others.
type Condition struct {
	Upstream string
	// Slowness is how many times as long its calls take as comparable ones, 0 or more.
	Slowness int `json:",omitempty"`
	// FaultPercent is the share of its calls that bring no usable answer, 0 to 100.
	FaultPercent int `json:",omitempty"`
}

// hallConditions is the last report about the upstreams of one hall.
type hallConditions struct {
	// reported holds the upstreams that do worse than others; the rest do well.
	reported map[string]Condition
	// at is when the report came; never before the first.
	at time.Duration
}

// condition is how slow and how faulty an upstream is, by this host's own calls and
// by the reports of its hall.
type condition struct {
	// slowness is the smoothed ratio of its calls' time to the median of
	// comparable calls; 0 before the first call. Unlike the latency it does not depend on
	// which routes' calls it had last.
	slowness float64
	// faults is the smoothed share of calls that brought no usable answer, 0 to 1.
	faults float64
	// seenAt is when this host's last call to it ended.
	observedAt time.Duration
	// hall is the report about its hall; nil if there can be none.
	hall *hallConditions
}

// observeOutcome records how a call ended. Outcomes that say nothing about the upstream
// leave the share of faults as it is.
func (c *condition) observeOutcome(now time.Duration, o CallOutcome) {
	c.observedAt = now
	switch {
	case o == CallOK:
		c.faults -= faultWeight * c.faults
	case o == CallShed || o.isFailure() && o != CallLate:
		c.faults += faultWeight * (1 - c.faults)
	}
}

func (c *condition) observeRatio(ratio, weight float64) {
	if c.slowness == 0 {
		c.slowness = ratio
	}
	c.slowness += weight * (ratio - c.slowness)
}

// worthReporting reports whether this host saw lately that the upstream does worse
// than others.
func (c *condition) worthReporting(now time.Duration) bool {
	return now-c.observedAt <= maxReportedAge && (c.slowness > minReportedSlowness || c.faults > minReportedFaults)
}

// expected is how slow and how faulty the upstream of a name is expected to be. What
// this host saw itself counts for less as it gets old; a report that does not mention
// the upstream bounds it by what would have been reported.
func (c *condition) expected(now time.Duration, name string) (slowness, faults float64) {
	fresh := freshness(now - c.observedAt)
	slowness, faults = fresh, fresh*c.faults
	if c.slowness > 0 {
		slowness *= c.slowness
	}
	if c.hall == nil || now-c.hall.at > conditionTTL {
		return slowness, faults
	}
	r, worse := c.hall.reported[name]
	if !worse {
		return min(slowness, minReportedSlowness), min(faults, minReportedFaults)
	}
	return max(slowness, float64(r.Slowness)), max(faults, float64(r.FaultPercent)/100)
}

// freshness is how much of what this host saw counts after some time, staleLeast to 1.
func freshness(age time.Duration) float64 {
	if age <= fullWeightAge {
		return 1
	}
	passed := min(float64(age-fullWeightAge)/float64(minWeightAge-fullWeightAge), 1)
	return 1 - (1-minObservationWeight)*passed
}
