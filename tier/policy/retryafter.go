package policy

import (
	"math"
	"slices"
	"time"
)

// RetryIn returns in what time enough parts of a request have an upstream that is
// neither resting after it shed calls nor ejected: 0 if they have one now, or if
// too few parts have an upstream at all, so that nothing is known.
func (f *Fleet) RetryIn(now time.Duration, replicas [][]*Upstream, coverage float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var waits []time.Duration
	for _, us := range replicas {
		if wait, ok := soonestFit(now, us); ok {
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

// soonestFit returns in what time the first of some upstreams may be asked again;
// false if none can be.
func soonestFit(now time.Duration, us []*Upstream) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, u := range us {
		if u.leaving {
			continue
		}
		wait := max(u.backoff.until-now, u.ejection.until-now, 0)
		if !found || wait < best {
			best, found = wait, true
		}
	}
	return best, found
}

// retryAfter is the excess of expected work, spread at random so that callers
// do not come back together.
func (f *Fleet) retryAfter(r *Run, excess time.Duration) time.Duration {
	base := max(excess, r.request.Pool.median(), leastRetryAfter)
	return time.Duration(float64(base) * (1 + f.random.Float64())).Round(time.Millisecond)
}
