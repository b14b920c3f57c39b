package pass

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"loomgap/tier/policy"
)

// The times after which a refused request may be sent again, and when each applies:
//
//	retryNoConfig         no configuration yet
//	what is left of it    the request is quarantined
//	policy.Refusal        the run was not admitted
//	retryNoUpstream       too few groups have an upstream
//	retryUpstream         calls were made, and no upstream ran any
//
// Whatever the reason, refuse spreads the time by retrySpread.
const (
	// retryNoConfig is for a host that has no configuration yet; it reads the platform at
	// once when it starts.
	retryAfterNoConfig = 300 * time.Millisecond
	// retryNoUpstream is for groups without an upstream: one that is gone is replaced
	// within about a second.
	retryAfterNoUpstream = 200 * time.Millisecond
	// retryLeast is the least time after calls were refused, so that a caller does not
	// meet the same queue: an upstream that shed a call gets nothing for 5 ms at first.
	// With times from 20 ms on in place of 200 ms, the worth was level and callers were
	// served sooner.
	minRetryAfter = 20 * time.Millisecond
	// retrySpread is the fraction by which the time is made longer at random, at most, so
	// that callers refused together do not come back together.
	retryJitter = 0.5
)

// quarantined refuses a request that crashes upstreams, and reports whether it did.
func (q *request) refuseQuarantined(w http.ResponseWriter) bool {
	k := q.engine.kernel
	verdict, left := k.Fleet.Verdict(k.Now(), q.in.subject)
	if verdict != policy.VerdictQuarantined {
		return false
	}
	q.refuse(w, policy.ReasonQuarantined, left)
	return true
}

// retryUpstream returns in what time upstreams are expected to take the request: when
// enough of those that shed calls or failed may be called again, if that is known.
func (q *request) retryAfterUpstreams() time.Duration {
	k := q.engine.kernel
	if left := k.Fleet.RetryIn(k.Now(), q.plan.replicas, q.class.Coverage); left > 0 {
		return max(left, minRetryAfter)
	}
	return retryAfterNoUpstream
}

// refuse answers that the request did not run, and when to send it again: from the time
// given on.
func (q *request) refuse(w http.ResponseWriter, reason string, after time.Duration) {
	after += rand.N(time.Duration(retryJitter * float64(after)))
	q.log(outcomeNotRun, http.StatusServiceUnavailable).Str("Reason", reason).
		Int64("RetryMillis", after.Milliseconds()).Msg("request refused")
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}
