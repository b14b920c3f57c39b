package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// leastRetryAfter is the least time after which a refused caller is to come back.
	minRetryAfter = 10 * time.Millisecond
	// retryAfterSpread is the share by which that time is longer at most, at random, so
	// that callers refused together do not come back together.
	retryAfterSpread = 1.0
)

// RetryIn returns in what time enough parts of a request have an upstream that is
// neither backed off after it shed calls nor ejected: 0 if they have one now, or if
// too few parts have an upstream at all, so that nothing is known.
func (f *Fleet) RetryIn(now time.Duration, replicas [][]*Upstream, coverage float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var waits []time.Duration
	for _, us := range replicas {
		wait := shortestTime(us, func(u *Upstream) time.Duration { return max(u.backoff.until-now, u.ejection.until-now, 0) })
		if wait != math.MaxInt64 {
			waits = append(waits, wait)
		}
	}
	need := max(int(math.Ceil(coverage*float64(len(replicas)))), 1)
	if len(waits) < need {
		return 0
	}
	slices.Sort(waits)
	return waits[need-1]
}

// shortestTime is the shortest of some times of upstreams, those that leave left out; the
// longest time there is if all leave.
func shortestTime(us []*Upstream, of func(*Upstream) time.Duration) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, u := range us {
		if !u.leaving {
			shortest = min(shortest, of(u))
		}
	}
	return shortest
}

// retryAfter is when the caller of a refused request of a class is to come back: after
// the excess of the work expected over what is allowed, and no sooner than one call takes.
func (f *Fleet) retryAfter(p *LatencyPool, excess time.Duration) time.Duration {
	base := max(excess, p.median(), minRetryAfter)
	return time.Duration(float64(base) * (1 + retryAfterSpread*f.random.Float64())).Round(time.Millisecond)
}
