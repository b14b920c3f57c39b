package policy

import "time"

const (
	// minReportedSlowness is how many times slower than comparable upstreams an upstream
	// must be to be reported.
	minReportedSlowness = 3
	// minReportedFaults is the share of calls without a usable answer above which an
	// upstream is reported.
	minReportedFaults = 0.25
	// maxReportedAge is how long after its last call an upstream is still reported. Once
	// the reports end, hosts call an upstream again that all of them avoided.
	maxReportedAge = 3 * time.Second
	// conditionTTL is how long a report is valid. Each answer to a batch from the other
	// hall carries a new report.
	conditionTTL = 3 * time.Second
	// faultWeight is the weight of one call in the smoothed share of faults.
	faultWeight = 0.1
	// fullWeightAge is the age up to which this host's own observations have full weight.
	fullWeightAge = time.Second
	// minWeightAge is the age from which they have only minObservationWeight.
	minWeightAge = 5 * time.Second
	// minObservationWeight is the weight of old observations. It is below 1 so that hosts
	// call an upstream again that used to be slow.
	minObservationWeight = 0.5
)

// Condition is a host's report that an upstream of its own hall performs worse than others.
type Condition struct {
	Upstream string
	// Slowness is the ratio of the upstream's call time to that of comparable calls, 0 or
	// more.
	Slowness int `json:",omitempty"`
	// FaultPercent is the share of calls without a usable answer, 0 to 100.
	FaultPercent int `json:",omitempty"`
}

// hallConditions is the latest report about the upstreams of one hall.
type hallConditions struct {
	// reported holds the upstreams that perform worse than others; the rest perform well.
	reported map[string]Condition
	// reportedAt is when the report arrived; set to never until the first report.
	reportedAt time.Duration
}

// condition tracks how slow and how faulty an upstream is, based on this host's own calls
// and on the reports of the upstream's hall.
type condition struct {
	// slowness is the smoothed ratio of the upstream's call times to the median of
	// comparable calls; 0 before the first call. Unlike the latency, it does not depend on
	// the routes of the most recent calls.
	slowness float64
	// faults is the smoothed share of calls without a usable answer, 0 to 1.
	faults float64
	// observedAt is when this host's last call to the upstream ended.
	observedAt time.Duration
	// hall is the report about the upstream's hall; nil if there can be none.
	hall *hallConditions
}

// observeOutcome records how a call ended. Outcomes that say nothing about the upstream
// leave the share of faults unchanged.
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

// worthReporting reports whether this host recently observed that the upstream performs
// worse than others.
func (c *condition) worthReporting(now time.Duration) bool {
	return now-c.observedAt <= maxReportedAge && (c.slowness > minReportedSlowness || c.faults > minReportedFaults)
}

// expected returns the expected slowness and share of faults of the named upstream. The
// weight of this host's own observations decreases with age. If the report of the hall does
// not mention the upstream, the result is at most the thresholds for reporting.
func (c *condition) expected(now time.Duration, name string) (slowness, faults float64) {
	fresh := freshness(now - c.observedAt)
	slowness, faults = fresh, fresh*c.faults
	if c.slowness > 0 {
		slowness *= c.slowness
	}
	if c.hall == nil || now-c.hall.reportedAt > conditionTTL {
		return slowness, faults
	}
	r, worse := c.hall.reported[name]
	if !worse {
		return min(slowness, minReportedSlowness), min(faults, minReportedFaults)
	}
	return max(slowness, float64(r.Slowness)), max(faults, float64(r.FaultPercent)/100)
}

// freshness returns the weight of this host's observations by age, from
// minObservationWeight to 1.
func freshness(age time.Duration) float64 {
	if age <= fullWeightAge {
		return 1
	}
	elapsed := min(float64(age-fullWeightAge)/float64(minWeightAge-fullWeightAge), 1)
	return 1 - (1-minObservationWeight)*elapsed
}
