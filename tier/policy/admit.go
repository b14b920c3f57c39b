package policy

import (
	"fmt"
	"math"
	"time"
)

const (
	// coverageExpected is the share of the parts that must be expected in time for a
	// request to be admitted, if its class asks for no less.
	admissionCoverage = 0.9
	// costWeight is the weight of the last request in the smoothed cost of a class.
	costWeight = 0.05
)

// Refusal is a request that was not run, with when to ask again.
type Refusal struct {
	Reason string
	// RetryAfter is above 0.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not run: %s; ask again in %s", r.Reason, r.RetryAfter)
}

// admit decides whether a request may begin; the fleet is locked. A class has a limit of
// requests in flight, and enough parts must be expected in that part of the time left
// which its worth for its cost allows.
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
	allowed := rule.allow(q.Deadline-now, c.worthPerCall(), f.maxWorthPerCall())
	inTime, shortest := q.expected(allowed)
	if float64(inTime) < min(class.Coverage, admissionCoverage)*parts {
		return &Refusal{Reason: "the work ahead does not fit the deadline", RetryAfter: f.retryAfter(q.Pool, shortest-allowed)}
	}
	c.inFlight++
	c.cost += costWeight * (parts - max(c.cost, 1))
	return nil
}

// expected counts the parts whose best upstream is expected to answer within the time
// allowed, and gives the shortest expected time of the others, 0 if there are none. A
// part without an upstream counts as in time: it is no overload, and the answer says
// that it is missing.
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

// Shares of the slack that expected work may fill.
const (
	// allowedLeast is the share for the requests of least worth per cost.
	minSlackShare = 0.2
	// allowedMost is the share for those of most worth per cost.
	maxSlackShare = 0.75
)

// admitAll refuses nothing: the baseline.
type admitAll struct{}

func (admitAll) allow(time.Duration, float64, float64) time.Duration { return math.MaxInt64 }

// admitDeadline refuses what cannot be done in time.
type admitDeadline struct{}

func (admitDeadline) allow(slack time.Duration, _, _ float64) time.Duration { return slack }

// admitWorth lets requests of more worth per cost count on more of their
// slack, so that under overload the least worth per cost is refused first.
type admitWorth struct{}

func (admitWorth) allow(slack time.Duration, density, top float64) time.Duration {
	rank := 1.0
	if top > 0 {
		rank = min(density/top, 1)
	}
	return time.Duration(float64(slack) * (minSlackShare + (maxSlackShare-minSlackShare)*rank))
}
