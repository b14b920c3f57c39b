package policy

import (
	"math"
	"slices"
	"time"

	"loomgap/tier/query"
)

const (
	// isolatedTimeoutFactor multiplies the hedge delay to get the timeout after which an
	// isolated call is replaced, so that one unresponsive upstream does not block a request
	// until its deadline.
	isolatedTimeoutFactor = 4
	// maxIsolatedTimeouts is the number of isolated calls that may time out before the run
	// ends. The limit is low because their upstreams may still crash later, unnoticed.
	maxIsolatedTimeouts = 2
)

func (r *Run) startOrDefer(now time.Duration, i int, out []Action) []Action {
	if r.suspected() {
		r.deferPart(i)
		return out
	}
	return r.startAttempt(now, i, out)
}

func (r *Run) deferPart(i int) {
	p := &r.parts[i]
	p.deferred, p.hedged = true, false
	r.suspicion.deferred++
}

// startDeferred starts deferred parts: all of them if the request is not suspected,
// otherwise one at a time.
func (r *Run) startDeferred(now time.Duration, out []Action) []Action {
	for r.suspicion.deferred > 0 && (!r.suspected() || !r.hasAttempts()) {
		i := r.bestDeferred(now)
		p := &r.parts[i]
		p.deferred = false
		r.suspicion.deferred--
		if p.retryDue && !r.rules.payRetry(now, i, p, CallBroken) {
			r.markMissing(i, query.ReasonSuspected)
			continue
		}
		p.retryDue = false
		out = r.startAttempt(now, i, out)
	}
	return out
}

// bestDeferred returns the deferred part whose upstream has the earliest expected answer.
// At least one part must be deferred.
func (r *Run) bestDeferred(now time.Duration) int {
	best, lowest := -1, math.Inf(1)
	for i := range r.parts {
		if !r.parts[i].deferred {
			continue
		}
		score := math.MaxFloat64
		if u := r.pick(now, i, onlyEligible); u != nil {
			score = r.score(now, u)
		}
		if best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	return best
}

// deferGranted defers the part of an attempt that was granted a slot if the request became
// suspected while the attempt was queued and another call is in progress.
func (r *Run) deferGranted(n int) bool {
	a := &r.attempts[n]
	if !r.suspected() || !r.hasCalls() {
		return false
	}
	r.leaveQueues(a.part, n)
	r.withdraw(n)
	r.deferPart(a.part)
	return true
}

// isolate cancels the calls in progress once the request becomes suspected, since they
// would crash their upstreams too, and defers their parts. A part without attempts left
// keeps its calls.
func (r *Run) isolate(now time.Duration, out []Action) []Action {
	if !r.suspected() || r.suspicion.reported {
		return out
	}
	for i := range r.parts {
		p := &r.parts[i]
		if p.closed || !r.hasCall(p) || !r.rules.attemptsLeft(p) {
			continue
		}
		for _, n := range p.active {
			p.tried = removeFirst(p.tried, r.attempts[n].upstream)
		}
		out = r.postpone(now, i, CallCancelled, out)
	}
	return out
}

// isolatedTimedOut reports whether an isolated attempt is so slow that it must be replaced.
func (r *Run) isolatedTimedOut(now time.Duration, a *attempt) bool {
	return a.isolated && now-a.sentAt >= isolatedTimeoutFactor*a.hedgeDelay && r.suspected()
}

// replaceIsolated cancels the isolated call of a part so that another one is made. It ends
// the run after maxIsolatedTimeouts such calls.
func (r *Run) replaceIsolated(now time.Duration, i int, out []Action) []Action {
	r.suspicion.isolatedTimeouts++
	if r.suspicion.isolatedTimeouts >= maxIsolatedTimeouts {
		return r.finish(now, out)
	}
	if r.rules.attemptsLeft(&r.parts[i]) {
		return r.postpone(now, i, CallLate, out)
	}
	out = r.cancel(now, i, CallLate, out)
	r.markMissing(i, query.ReasonLate)
	return out
}

// postpone cancels the calls of a part and defers it for another attempt.
func (r *Run) postpone(now time.Duration, i int, o CallOutcome, out []Action) []Action {
	p := &r.parts[i]
	out = r.cancel(now, i, o, out)
	p.retryDue = true
	r.deferPart(i)
	return out
}

// hasAttempts reports whether a call of the run is in progress or waits for a slot.
func (r *Run) hasAttempts() bool {
	return slices.ContainsFunc(r.parts, func(p part) bool { return len(p.active) > 0 })
}

func (r *Run) hasCalls() bool {
	return slices.ContainsFunc(r.parts, func(p part) bool { return r.hasCall(&p) })
}
