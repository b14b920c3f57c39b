package policy

import (
	"slices"
	"time"

	"loomgap/tier/config"
)

const (
	// hedgeLeast is the least time after which a call is hedged.
	minHedgeDelay = 500 * time.Microsecond
	// hedgeRecheckDivisor divides the hedge delay: a hedge that was not possible is
	// considered again after that part of it.
	hedgeRecheckDivisor = 4
	// batchHedgeDelay is the fixed part of the extra time until a call of a batch is
	// hedged: the relay's progress report may be late where that host is busy.
	batchHedgeDelay = 15 * time.Millisecond
	// batchHedgeDivisor divides the hedge delay for the other part of that extra time.
	batchHedgeDivisor = 2
)

// HedgeSkipReason says what kept a call from being hedged.
type HedgeSkipReason string

const (
	// HedgeNoUpstream means that no other upstream of the part may be asked.
	HedgeNoUpstream HedgeSkipReason = "NoUpstream"
	// HedgeNoSlot means that this host's share of the other upstream is in use.
	HedgeNoSlot HedgeSkipReason = "NoSlot"
	// HedgeCold means that the other upstream has not warmed up.
	HedgeCold HedgeSkipReason = "Cold"
	// HedgeNoBudget means that the retry budget is spent, or that no further
	// attempt is allowed.
	HedgeNoBudget HedgeSkipReason = "NoBudget"
	// HedgeSuspected means that the request may be one that crashes upstreams, or that
	// no upstream has answered it and another call is hedged already.
	HedgeSuspected HedgeSkipReason = "Doubted"
)

// hedge makes a second call for a part whose first is slow, or notes why not.
func (r *Run) hedge(now time.Duration, i int, out []Action) []Action {
	p := &r.parts[i]
	u, obstacle := r.decideHedge(now, i)
	p.unhedged = obstacle
	if obstacle != "" {
		return out
	}
	p.hedged = true
	return r.addAttempt(now, i, u, out)
}

// decideHedge decides whether a part gets a second call, and at which upstream, or says
// why not. The hedge is taken from its budget. There is none into a queue.
func (r *Run) decideHedge(now time.Duration, i int) (*Upstream, HedgeSkipReason) {
	if r.suspected() || r.hedgesOneAtATime() && r.hedgeInProgress() {
		return nil, HedgeSuspected
	}
	u := r.hedgeTarget(now, i)
	switch {
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

// hedgeTarget is the upstream that may get the hedge of a part: the best eligible one
// that was not asked, else the same one again, else any that was not asked.
func (r *Run) hedgeTarget(now time.Duration, i int) *Upstream {
	if u := r.pick(now, i, onlyEligible); u != nil && u.hasSlot() {
		return u
	}
	if u := r.attempts[r.parts[i].active[0]].upstream; r.rules.hedgesSameUpstream() && u.hasSlot() && u.eligible(now) {
		return u
	}
	return r.pick(now, i, anyUpstream)
}

// hedgesOneAtATime reports whether no upstream has answered a gather yet. It has one
// hedge in progress at a time then: calls that all take long are slow for a reason that
// they share, and other upstreams may share it too. Without it, a request that crashes
// upstreams a while after they began crashes all replicas of all shards at its first
// attempt, before the first connection is lost.
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
	return a.phase != phaseQueued && now-a.sentAt >= a.hedgeAge
}

// hedgeTime is when the hedge of an attempt is considered next.
func (r *Run) hedgeTime(now time.Duration, a *attempt) time.Duration {
	if !r.hedges() {
		return r.request.Deadline
	}
	first := a.sentAt + a.hedgeAge
	if a.phase == phaseSent && first > now {
		return first
	}
	return now + max(a.hedgeAge/hedgeRecheckDivisor, minHedgeDelay)
}

// probe asks an outlier besides the chosen replica, so that its recovery is seen without
// anybody waiting for it. Only declared upstreams are outliers: the class pays.
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

// DelayHedge postpones the hedge of an attempt that is part of a batch: progress
// is reported for the whole batch at once.
func (r *Run) DelayHedge(n int) {
	a := &r.attempts[n]
	a.hedgeAge += a.hedgeAge/batchHedgeDivisor + batchHedgeDelay
}

// HedgeNow hedges attempts now that are known to take long.
func (r *Run) HedgeNow(now time.Duration, attempts []int) []Action {
	if r.finished {
		return nil
	}
	for _, n := range attempts {
		a := &r.attempts[n]
		a.hedgeAge = min(a.hedgeAge, now-a.sentAt)
	}
	return r.Wake(now)
}
