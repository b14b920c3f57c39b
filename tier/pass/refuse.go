package pass

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"loomgap/tier/policy"
)

// The Retry-After times of refused requests:
//
//	retryAfterNoConfig         there is no configuration yet
//	retryAfterRouteFault       the configuration of the route cannot be applied
//	the remaining quarantine   the request is quarantined
//	policy.Refusal             the gate or the run did not admit the request
//	retryAfterNoUpstream       too few groups have an upstream
//	retryAfterNoWait           the request is large or was sent ahead, and would wait at the gate
//	retryAfterUpstreams        calls were made, and no upstream ran any
//	retryAfterStop             the host stops before the request may end
//
// refuse adds jitter to each of them. refuseAtGate does not, since the gate assigns the times
// one after the other with a jitter of its own.
const (
	// retryAfterNoConfig applies on a host without a configuration, which reads the
	// platform as soon as it starts.
	retryAfterNoConfig = 300 * time.Millisecond
	// retryAfterRouteFault applies until an operator corrects the configuration.
	retryAfterRouteFault = 5 * time.Second
	// retryAfterNoUpstream applies to groups without an upstream. A lost upstream is
	// replaced within about a second.
	retryAfterNoUpstream = 200 * time.Millisecond
	// retryAfterNoWait applies to large requests and those that were sent ahead. They do not wait at
	// the gate, where ordinary requests would wait behind them.
	retryAfterNoWait = time.Second
	// retryAfterStop leaves time for a new connection, which goes to another host.
	retryAfterStop = 50 * time.Millisecond
	// minRetryAfter is the minimum after calls were refused, so that a retry does not meet
	// the same queue.
	minRetryAfter = 20 * time.Millisecond
	// retryAfterJitter is the largest random extension of a time, as a share of it, so that
	// callers that were refused together do not retry together.
	retryAfterJitter = 0.5
)

// refuseQuarantined refuses the request if it is quarantined for crashing upstreams, and
// reports whether it did.
func (q *request) refuseQuarantined(w http.ResponseWriter) bool {
	k := q.engine.kernel
	verdict, left := k.Fleet.Verdict(k.Now(), q.in.identity)
	if verdict != policy.VerdictQuarantined {
		return false
	}
	q.refuse(w, policy.ReasonQuarantined, left)
	return true
}

// retryAfterUpstreams returns the time until enough of the upstreams that shed calls or
// failed may be called again, or a default if that is unknown.
func (q *request) retryAfterUpstreams() time.Duration {
	k := q.engine.kernel
	if left := k.Fleet.RetryIn(k.Now(), q.plan.replicas, q.class.Coverage); left > 0 {
		return max(left, minRetryAfter)
	}
	return retryAfterNoUpstream
}

// refuse responds that the request did not run and may be retried after the given time,
// extended by jitter.
func (q *request) refuse(w http.ResponseWriter, reason string, after time.Duration) {
	q.respondNotRun(w, reason, after+rand.N(time.Duration(retryAfterJitter*float64(after))))
}

// refuseAtGate responds that the gate refused the request.
func (q *request) refuseAtGate(w http.ResponseWriter, r *policy.Refusal) {
	q.respondNotRun(w, r.Reason, r.RetryAfter)
}

// respondNotRun responds that the request did not run and may be retried after the given time.
func (q *request) respondNotRun(w http.ResponseWriter, reason string, after time.Duration) {
	q.log(outcomeNotRun, http.StatusServiceUnavailable).Str("Reason", reason).
		Int64("RetryMillis", after.Milliseconds()).Msg("request refused")
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}
