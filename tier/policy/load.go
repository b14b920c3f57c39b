package policy

import "time"

// loadLife is how long an upstream's report of its queue is believed; it counts for less
// as it gets older.
const loadTTL = 300 * time.Millisecond

// Load is what an upstream reports about its work.
type Load struct {
	// Running and Waiting count its calls, Slots those that it runs at a time; 0
	// slots for no report.
	Running, Waiting, Slots int
}

// queueReport is an upstream's last report of its own queue. Hosts share no state:
// it shows the calls of all others.
type queueReport struct {
	// perSlot is the calls in the queue for each of its slots.
	perSlot float64
	at      time.Duration
}

func (q *queueReport) update(now time.Duration, l Load) {
	if l.Slots > 0 {
		q.perSlot, q.at = float64(l.Waiting)/float64(l.Slots), now
	}
}

// ahead is how many calls for each slot a new one is expected to find in the queue.
func (q *queueReport) expectedPerSlot(now time.Duration) float64 {
	age := now - q.at
	if age >= loadTTL {
		return 0
	}
	return q.perSlot * (1 - age.Seconds()/loadTTL.Seconds())
}
