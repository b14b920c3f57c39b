package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// minRetryAfter is the shortest time after which a refused caller may retry.
	minRetryAfter = 10 * time.Millisecond
	// retryAfterJitter is the largest random extension of that time, as a share of it. It
	// spreads the retries of callers that were refused together.
	retryAfterJitter = 1.0
)

// RetryIn returns how long it takes until enough parts of a request have an upstream that
// is neither in backoff nor ejected. It returns 0 if they have one now, or if too few parts
// have an upstream at all, in which case the time is unknown.
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

// shortestTime returns the minimum of a time over the upstreams that are not leaving, or
// the largest possible time if all are leaving.
func shortestTime(us []*Upstream, of func(*Upstream) time.Duration) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, u := range us {
		if !u.leaving {
			shortest = min(shortest, of(u))
		}
	}
	return shortest
}

// retryAfter returns when the caller of a refused request may retry. It covers the excess
// of the expected work over the allowed work, and at least the duration of one call.
func (f *Fleet) retryAfter(p *LatencyPool, excess time.Duration) time.Duration {
	base := max(excess, p.median(), minRetryAfter)
	return time.Duration(float64(base) * (1 + retryAfterJitter*f.random.Float64())).Round(time.Millisecond)
}
