package policy

import (
	"slices"
	"time"

	"loomgap/tier/config"
)

const (
	// minHedgeDelay is the shortest delay after which a call is hedged.
	minHedgeDelay = 500 * time.Microsecond
	// hedgeRecheckDivisor divides the hedge delay to get the interval at which the run
	// reconsiders a hedge that was not possible.
	hedgeRecheckDivisor = 4
	// batchHedgeDelay is the fixed part of the extra hedge delay for calls in a batch. It
	// allows for late progress reports from a busy relay host.
	batchHedgeDelay = 15 * time.Millisecond
	// batchHedgeDivisor divides the hedge delay to get the proportional part of that extra
	// delay.
	batchHedgeDivisor = 2
)

// HedgeSkipReason says why a call was not hedged.
type HedgeSkipReason string

const (
	// HedgeNoUpstream means that no other upstream of the part may be called.
	HedgeNoUpstream HedgeSkipReason = "NoUpstream"
	// HedgeNoSlot means that this host has no free slot at the upstream for the hedge.
	HedgeNoSlot HedgeSkipReason = "NoSlot"
	// HedgeCold means that the upstream for the hedge is throttled while it warms up.
	HedgeCold HedgeSkipReason = "Cold"
	// HedgeNoBudget means that the retry budget is exhausted or that no further attempt is
	// allowed.
	HedgeNoBudget HedgeSkipReason = "NoBudget"
	// HedgeSuspected means that the request may crash upstreams, or that no upstream has
	// answered it yet and another call is already hedged.
	HedgeSuspected HedgeSkipReason = "Doubted"
	// HedgeShortage means that there is a shortage and no upstream of the part is known to
	// have a free slot.
	HedgeShortage HedgeSkipReason = "Shortage"
)

// hedge makes a second call for a part whose first call is slow, or records why it does
// not.
func (r *Run) hedge(now time.Duration, i int, out []Action) []Action {
	p := &r.parts[i]
	u, skipReason := r.decideHedge(now, i)
	p.hedgeSkipped = skipReason
	if skipReason != "" {
		return out
	}
	p.hedged = true
	return r.addAttempt(now, i, u, out)
}

// decideHedge returns the upstream for the second call of a part and charges the hedge to
// its budget, or returns why the part is not hedged. A hedge never waits in a queue.
func (r *Run) decideHedge(now time.Duration, i int) (*Upstream, HedgeSkipReason) {
	if r.suspected() || r.hedgesOneAtATime() && r.hedgeInProgress() {
		return nil, HedgeSuspected
	}
	u := r.hedgeTarget(now, i)
	switch {
	case u == nil && r.shortage:
		return nil, HedgeShortage
	case u == nil:
		return nil, HedgeNoUpstream
	case u.cold.throttled(now):
		return nil, HedgeCold
	case !u.hasSlot():
		return nil, HedgeNoSlot
	case !r.rules.payHedge(now, i, &r.parts[i]):
		return nil, HedgeNoBudget
	default:
		return u, ""
	}
}

// hedgeTarget returns the upstream that may get the hedge of a part: the best eligible one
// that was not tried, else the same one again, else any that was not tried.
//
// During a shortage, it is the best eligible one that was not tried and is known to have a
// free slot: a hedge that waits in a queue delays another request and its own.
func (r *Run) hedgeTarget(now time.Duration, i int) *Upstream {
	if r.shortage {
		return r.pickIf(now, i, func(u *Upstream) bool { return u.eligible(now) && u.hasSlot() && u.reportsFreeSlot(now) })
	}
	if u := r.pick(now, i, onlyEligible); u != nil && u.hasSlot() {
		return u
	}
	if u := r.attempts[r.parts[i].active[0]].upstream; r.rules.hedgesSameUpstream() && u.hasSlot() && u.eligible(now) {
		return u
	}
	return r.pick(now, i, anyUpstream)
}

// hedgesOneAtATime reports whether the run may have only one hedge in progress. This
// applies to a gather until the first upstream answers: calls that are all slow probably
// share a cause, which may affect other upstreams as well. Without the limit, a request
// that crashes upstreams after some processing time would crash all replicas of all shards
// on its first attempt, before the first connection breaks.
func (r *Run) hedgesOneAtATime() bool { return r.suspicion.open() && len(r.parts) > 1 }

func (r *Run) hedgeInProgress() bool {
	return slices.ContainsFunc(r.parts, func(p part) bool { return p.hedged && len(p.active) > 0 })
}

func (r *Run) hedges() bool {
	return r.request.Class.Hedge != config.HedgeNone && r.request.Repeatable
}

func (r *Run) hedgeDue(now time.Duration, p *part) bool {
	if p.hedged || len(p.active) == 0 || !r.hedges() {
		return false
	}
	a := &r.attempts[p.active[0]]
	return a.phase != phaseQueued && now-a.sentAt >= a.hedgeDelay
}

// hedgeTime returns when the hedge of an attempt is considered next.
func (r *Run) hedgeTime(now time.Duration, a *attempt) time.Duration {
	if !r.hedges() {
		return r.request.Deadline
	}
	first := a.sentAt + a.hedgeDelay
	if a.phase == phaseSent && first > now {
		return first
	}
	return now + max(a.hedgeDelay/hedgeRecheckDivisor, minHedgeDelay)
}

// probe calls an outlier in addition to the chosen replica, so that this host notices its
// recovery without delaying a request. Only declared upstreams can be outliers, so the
// hedge budget of the class pays.
func (r *Run) probe(now time.Duration, i int, out []Action) []Action {
	if !r.hedges() || len(r.parts[i].active) == 0 {
		return out
	}
	for _, u := range r.parts[i].replicas {
		if !u.outlier.probeDue(now) || u.leaving || u.ejection.active(now) || !u.hasSlot() {
			continue
		}
		if u == r.attempts[r.parts[i].active[0]].upstream || !r.fleet.class(r.request.Class.Name).hedges.take() {
			continue
		}
		u.outlier.probed(now)
		return r.addAttempt(now, i, u, out)
	}
	return out
}

// DelayHedge postpones the hedge of an attempt in a batch, since the relay host reports
// progress for the batch as a whole.
func (r *Run) DelayHedge(n int) {
	a := &r.attempts[n]
	a.hedgeDelay += a.hedgeDelay/batchHedgeDivisor + batchHedgeDelay
}

// HedgeNow hedges attempts that are known to be slow without waiting for their hedge delay.
func (r *Run) HedgeNow(now time.Duration, attempts []int) []Action {
	if r.finished {
		return nil
	}
	for _, n := range attempts {
		a := &r.attempts[n]
		a.hedgeDelay = min(a.hedgeDelay, now-a.sentAt)
	}
	return r.Wake(now)
}
