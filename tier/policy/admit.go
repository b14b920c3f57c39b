package policy

import (
	"fmt"
	"math"
	"time"
)

const (
	// admissionCoverage is the share of the parts that must be expected in time before a
	// request is admitted, unless its class requires less.
	admissionCoverage = 0.9
	// costWeight is the weight of the latest request in the smoothed cost of a class.
	costWeight = 0.05
)

// Refusal is the error for a request that was not run. It says when to retry.
type Refusal struct {
	Reason string
	// RetryAfter is always positive.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not run: %s; ask again in %s", r.Reason, r.RetryAfter)
}

// admit decides whether a request may start. The class must be below its limit of requests
// in flight, and enough parts must be expected within the share of the remaining time that
// the admission rule allows. The fleet must be locked.
func (f *Fleet) admit(now time.Duration, q *RunConfig, rule admission) error {
	class, parts := q.Class, float64(len(q.Replicas))
	c := f.class(class.Name)
	c.worth = float64(class.Worth)
	if c.inFlight >= class.MaxInFlight {
		return &Refusal{Reason: "too many requests of class " + class.Name + " in flight", RetryAfter: f.retryAfter(q.Pool, 0)}
	}
	if c.cost == 0 {
		c.cost = parts
	}
	allowed := rule.allowedWork(q.Deadline-now, c.worthPerCall(), f.maxWorthPerCall())
	inTime, shortest := q.expected(allowed)
	if float64(inTime) < min(class.Coverage, admissionCoverage)*parts {
		return &Refusal{Reason: "the work ahead does not fit the deadline", RetryAfter: f.retryAfter(q.Pool, shortest-allowed)}
	}
	c.inFlight++
	c.cost += costWeight * (parts - max(c.cost, 1))
	return nil
}

// expected counts the parts whose best upstream is expected to answer within the allowed
// time, and returns the shortest expected time of the other parts, or 0 if there are none.
// A part without an upstream counts as in time: it does not indicate overload, and the
// answer reports it as missing.
func (q *RunConfig) expected(allowed time.Duration) (inTime int, shortest time.Duration) {
	shortest = math.MaxInt64
	for _, upstreams := range q.Replicas {
		best := shortestTime(upstreams, func(u *Upstream) time.Duration {
			return u.expectedWait(q.Pool) + u.latency.orDefault(q.Pool.median())
		})
		if best <= allowed || len(upstreams) == 0 {
			inTime++
		} else {
			shortest = min(shortest, best)
		}
	}
	if shortest == math.MaxInt64 {
		shortest = 0
	}
	return inTime, shortest
}

func init() {
	admissions["None"] = admitAll{}
	admissions["Deadline"] = admitDeadline{}
	admissions["Worth"] = admitWorth{}
}

// Shares of the remaining time that the expected work of a request may fill.
const (
	// minTimeShare applies to the requests with the lowest worth per call.
	minTimeShare = 0.2
	// maxTimeShare applies to the requests with the highest worth per call.
	maxTimeShare = 0.75
)

// admitAll admits every request.
type admitAll struct{}

func (admitAll) allowedWork(time.Duration, float64, float64) time.Duration { return math.MaxInt64 }

// admitDeadline refuses requests that are not expected to finish before their deadline.
type admitDeadline struct{}

func (admitDeadline) allowedWork(remaining time.Duration, _, _ float64) time.Duration {
	return remaining
}

// admitWorth grants requests with a higher worth per call a larger share of their remaining
// time, so that overload sheds the requests with the lowest worth per call first.
type admitWorth struct{}

func (admitWorth) allowedWork(remaining time.Duration, worthPerCall, highest float64) time.Duration {
	relativeWorth := 1.0
	if highest > 0 {
		relativeWorth = min(worthPerCall/highest, 1)
	}
	return time.Duration(float64(remaining) * (minTimeShare + (maxTimeShare-minTimeShare)*relativeWorth))
}
