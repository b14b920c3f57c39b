package policy

import (
	"fmt"
	"math"
	"time"
)

// Bounds of token budgets and admission.
const (
	budgetStart      = 4.0
	budgetDepth      = 64.0
	coverageExpected = 0.9
	leastRetryAfter  = 10 * time.Millisecond
	costWeight       = 0.05
)

// classState is what the requests of a class share in one host.
type classState struct {
	hedges  budget
	retries budget
	// cost is the smoothed number of upstream calls of a request.
	cost float64
	// worth is the worth of a request as last configured.
	worth    float64
	inFlight int
}

func (f *Fleet) class(name string) *classState {
	c := f.classes[name]
	if c == nil {
		c = &classState{hedges: budget{budgetStart}, retries: budget{budgetStart}}
		f.classes[name] = c
	}
	return c
}

// ReasonQuarantined is the reason of a refusal of a request that crashes upstreams.
const ReasonQuarantined = "the request has crashed the upstreams that ran it"

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

// admit decides whether a run may begin; the fleet is locked.
func (f *Fleet) admit(r *Run, now time.Duration) error {
	c := f.class(r.request.Class.Name)
	c.worth = float64(r.request.Class.Worth)
	if c.inFlight >= r.request.Class.MaxInFlight {
		return &Refusal{Reason: "too many requests of class " + r.request.Class.Name + " in flight", RetryAfter: f.retryAfter(r, 0)}
	}
	need := min(r.request.Class.Coverage, coverageExpected)
	slack := r.request.Deadline - now
	allowed := r.admission.Allow(slack, c.worth/c.costOr(len(r.parts)), f.topDensity())
	inTime, shortest := r.expected(allowed)
	if float64(inTime) < need*float64(len(r.parts)) {
		return &Refusal{Reason: "the work ahead does not fit the deadline", RetryAfter: f.retryAfter(r, shortest-allowed)}
	}
	c.inFlight++
	c.cost += costWeight * (float64(len(r.parts)) - c.costOr(len(r.parts)))
	return nil
}

func (c *classState) costOr(n int) float64 {
	if c.cost == 0 {
		c.cost = float64(n)
	}
	return max(c.cost, 1)
}

func (f *Fleet) topDensity() float64 {
	top := 0.0
	for _, c := range f.classes {
		top = max(top, c.worth/max(c.cost, 1))
	}
	return top
}

// expected counts the parts whose best replica is expected to answer within
// the time allowed, and gives the shortest expected time of the others.
func (r *Run) expected(allowed time.Duration) (inTime int, shortest time.Duration) {
	shortest = math.MaxInt64
	for i := range r.parts {
		best := time.Duration(math.MaxInt64)
		for _, u := range r.parts[i].replicas {
			if !u.leaving {
				best = min(best, u.wait(r.request.Pool)+u.latency.or(r.request.Pool.median()))
			}
		}
		switch {
		case best <= allowed:
			inTime++
		case len(r.parts[i].replicas) == 0:
			// A lost shard is no overload: the answer says that it is missing.
			inTime++
		default:
			shortest = min(shortest, best)
		}
	}
	if shortest == math.MaxInt64 {
		shortest = 0
	}
	return inTime, shortest
}
