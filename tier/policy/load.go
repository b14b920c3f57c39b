package policy

import "time"

// loadTTL is how long an upstream's report of its queue is valid. Its weight decreases with
// age.
const loadTTL = 300 * time.Millisecond

// Load is the load that an upstream reports.
type Load struct {
	// Running and Waiting count its calls, Slots the calls that it runs concurrently. Slots
	// is 0 if there is no report.
	Running, Waiting, Slots int
}

// queueReport is an upstream's latest report of its queue. Hosts share no state, so it shows
// a host the calls of all others.
type queueReport struct {
	// perSlot is the number of queued calls per slot.
	perSlot    float64
	reportedAt time.Duration
}

func (q *queueReport) update(now time.Duration, l Load) {
	if l.Slots > 0 {
		q.perSlot, q.reportedAt = float64(l.Waiting)/float64(l.Slots), now
	}
}

// expectedPerSlot returns how many queued calls per slot a new call is expected to find.
func (q *queueReport) expectedPerSlot(now time.Duration) float64 {
	age := now - q.reportedAt
	if age >= loadTTL {
		return 0
	}
	return q.perSlot * (1 - age.Seconds()/loadTTL.Seconds())
}
