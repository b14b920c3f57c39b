package policy

import (
	"time"

	"loomgap/tier/config"
)

// hedgeLeast is the least time after which a call is hedged. Not measured.
const hedgeLeast = 500 * time.Microsecond

// batchHedgeDelay is the least extra time until a call of a batch is hedged: the relay's
// progress report may be late where that host is busy. Measured: without extra time there
// are 27% extra calls; 15 ms alone, not half the delay besides, is level.
const batchHedgeDelay = 15 * time.Millisecond

// hedge asks another replica too, if it has a free slot and the budget allows.
// Where no other replica is fit, the same one is asked a second time: a call
// that straggles says little about the next call to the same upstream.
func (r *Run) hedge(now time.Duration, i int, out []Action) []Action {
	if r.doubted() || r.unanswered() && r.hedging() {
		r.parts[i].unhedged = HedgeDoubted
		return out
	}
	u := r.pick(now, i, true)
	if u == nil || !u.free() {
		u = r.sameAgain(now, i)
	}
	if u == nil {
		u = r.pick(now, i, false)
	}
	p := &r.parts[i]
	p.unhedged = r.hedgeObstacle(now, i, u)
	if p.unhedged != "" {
		return out
	}
	p.hedged = true
	return r.enter(now, i, u, out)
}

// HedgeObstacle says what kept a call from being hedged.
type HedgeObstacle string

// The obstacles to a hedge.
const (
	// HedgeNoUpstream means that no other upstream of the shard is listed.
	HedgeNoUpstream HedgeObstacle = "NoUpstream"
	// HedgeNoSlot means that this host's share of the other upstream is in use.
	HedgeNoSlot HedgeObstacle = "NoSlot"
	// HedgeCold means that the other upstream has not warmed up.
	HedgeCold HedgeObstacle = "Cold"
	// HedgeNoBudget means that the retry budget is spent, or that no further
	// attempt is allowed.
	HedgeNoBudget HedgeObstacle = "NoBudget"
	// HedgeDoubted means that the request may be one that crashes upstreams, or that
	// no upstream has answered it and another call is hedged already.
	HedgeDoubted HedgeObstacle = "Doubted"
)

// hedgeObstacle takes a hedge of a part from its budget, or says why not.
func (r *Run) hedgeObstacle(now time.Duration, i int, u *Upstream) HedgeObstacle {
	switch {
	case u == nil:
		return HedgeNoUpstream
	case u.cold.bounded(now):
		return HedgeCold
	case !u.free():
		return HedgeNoSlot
	case !r.rules.payHedge(i, &r.parts[i]):
		return HedgeNoBudget
	default:
		return ""
	}
}

// sameAgain returns the upstream of the shard's one live attempt, if it is fit.
func (r *Run) sameAgain(now time.Duration, i int) *Upstream {
	u := r.attempts[r.parts[i].live[0]].upstream
	if !r.rules.hedgesAtSame() || !u.free() || !u.eligible(now) {
		return nil
	}
	return u
}

func (r *Run) hedgeTime(now time.Duration, a *attempt) time.Duration {
	if r.request.Class.Hedge == config.HedgeNone || !r.request.Repeatable {
		return r.request.Deadline
	}
	first := a.sentAt + a.hedgeAge
	if a.phase == phaseSent && first > now {
		return first
	}
	return now + max(a.hedgeAge/4, hedgeLeast)
}

// probe asks a slow replica besides the chosen one, so that its recovery is
// seen without anybody waiting for it.
func (r *Run) probe(now time.Duration, i int, out []Action) []Action {
	if !r.request.Repeatable || r.request.Class.Hedge == config.HedgeNone || len(r.parts[i].live) == 0 || !r.rules.probes() {
		return out
	}
	for _, u := range r.parts[i].replicas {
		if !u.outlier.probeDue(now) || u.leaving || u.ejection.active(now) || !u.free() {
			continue
		}
		if u == r.attempts[r.parts[i].live[0]].upstream || !r.fleet.class(r.request.Class.Name).hedges.take() {
			continue
		}
		u.outlier.probed(now)
		return r.enter(now, i, u, out)
	}
	return out
}

// DelayHedge postpones the hedge of an attempt that is part of a batch: progress
// is reported for the whole batch at once.
func (r *Run) DelayHedge(n int) {
	a := &r.attempts[n]
	a.hedgeAge += a.hedgeAge/2 + batchHedgeDelay
}

// Overdue hedges attempts now that are known to take long.
func (r *Run) Overdue(now time.Duration, attempts []int) []Action {
	if r.finished {
		return nil
	}
	for _, n := range attempts {
		a := &r.attempts[n]
		a.hedgeAge = min(a.hedgeAge, now-a.sentAt)
	}
	return r.Wake(now)
}
