package policy

import (
	"math"
	"slices"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/query"
)

// leaveQueues takes a shard's other attempts out of their queues once one has
// its slot. If another is being granted just now, Granted frees its slot.
func (r *Run) leaveQueues(i, granted int) {
	p := &r.parts[i]
	for _, n := range slices.Clone(p.live) {
		a := &r.attempts[n]
		if n == granted || a.phase != phaseQueued {
			continue
		}
		p.remove(n)
		r.fleet.abandon(a.waiter)
		a.phase = phaseDone
		p.tries--
		p.forget(a.upstream)
	}
}

func (r *Run) wakePart(now time.Duration, i int, out []Action) []Action {
	p := &r.parts[i]
	if p.retryAt > 0 && now >= p.retryAt {
		p.retryAt = 0
		return r.startOrHold(now, i, out)
	}
	if p.hedged || len(p.live) == 0 || r.config.Hedge == config.HedgeNone || !r.repeatable {
		return out
	}
	a := &r.attempts[p.live[0]]
	if a.phase == phaseQueued || now-a.sentAt < a.hedgeAge {
		return out
	}
	if a.alone && now-a.sentAt >= aloneFactor*a.hedgeAge && r.doubted() {
		return r.leaveAlone(now, i, out)
	}
	return r.hedge(now, i, out)
}

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
	case !r.takeHedge(i):
		return HedgeNoBudget
	default:
		return ""
	}
}

// sameAgain returns the upstream of the shard's one live attempt, if it is fit.
func (r *Run) sameAgain(now time.Duration, i int) *Upstream {
	u := r.attempts[r.parts[i].live[0]].upstream
	if r.routed != nil || !u.free() || !u.fit(now) {
		return nil
	}
	return u
}

// probe asks a slow replica besides the chosen one, so that its recovery is
// seen without anybody waiting for it.
func (r *Run) probe(now time.Duration, i int, out []Action) []Action {
	if !r.repeatable || r.config.Hedge == config.HedgeNone || len(r.parts[i].live) == 0 || r.routed != nil {
		return out
	}
	for _, u := range r.parts[i].replicas {
		if !u.outlier.probeDue(now) || u.leaving || u.ejection.active(now) || !u.free() {
			continue
		}
		if u == r.attempts[r.parts[i].live[0]].upstream || !r.fleet.class(r.class).hedges.take() {
			continue
		}
		u.outlier.probed(now)
		return r.enter(now, i, u, out)
	}
	return out
}

// startAttempt gives a shard its first attempt, or its next after a refusal.
// Where no slot is free it waits for one at every fit replica, and the first to
// come is taken: that costs no call.
func (r *Run) startAttempt(now time.Duration, i int, out []Action) []Action {
	u := r.pick(now, i, false)
	if u == nil {
		r.markMissing(i, r.absence(now, i))
		return out
	}
	out = r.enter(now, i, u, out)
	p := &r.parts[i]
	for !p.closed && len(p.live) > 0 && r.attempts[p.live[len(p.live)-1]].phase == phaseQueued {
		u = r.pick(now, i, true)
		if u == nil {
			break
		}
		out = r.enter(now, i, u, out)
	}
	return out
}

// pick chooses a replica that is not tried yet; with fit, only one that is
// fit.
func (r *Run) pick(now time.Duration, i int, fit bool) *Upstream {
	p := &r.parts[i]
	var best *Upstream
	low := math.Inf(1)
	for _, u := range p.replicas {
		if u.leaving || p.hasTried(u) || r.coldBarred(now, u) {
			continue
		}
		if r.snapshot > 0 && u.status.window.Known && !u.status.window.holds(r.snapshot) {
			continue
		}
		if fit && !u.fit(now) {
			continue
		}
		s := r.chooser.Score(now, u, r.poolOf(u), r.fleet.random) * r.hallFactor(u)
		if u.cold.bounded(now) {
			s += coldPenalty
		}
		if s < low {
			best, low = u, s
		}
	}
	return best
}

// absence is why a part has no upstream to ask.
func (r *Run) absence(now time.Duration, i int) query.Reason {
	for _, u := range r.parts[i].replicas {
		if r.coldBarred(now, u) {
			return query.ReasonCold
		}
	}
	if r.routed != nil && len(r.routed.Absent) > i && r.routed.Absent[i] != "" {
		return r.routed.Absent[i]
	}
	return query.ReasonUnreachable
}

func (r *Run) enter(now time.Duration, i int, u *Upstream, out []Action) []Action {
	p := &r.parts[i]
	n := len(r.attempts)
	w := &Waiter{Upstream: u, Deadline: r.deadline, Granted: func() { r.granted(n) }}
	granted, queued := r.fleet.enter(w)
	p.tries++
	p.tried = append(p.tried, u)
	if !granted && !queued {
		r.attempts = append(r.attempts, attempt{part: i, upstream: u, phase: phaseDone})
		if len(p.live) == 0 {
			r.markMissing(i, query.ReasonRefused)
		}
		return out
	}
	r.attempts = append(r.attempts, attempt{part: i, upstream: u, phase: phaseQueued, waiter: w})
	p.live = append(p.live, n)
	if granted {
		r.leaveQueues(i, n)
		return r.send(now, n, out)
	}
	return out
}

func (r *Run) send(now time.Duration, n int, out []Action) []Action {
	a := &r.attempts[n]
	a.alone = r.doubted() && !r.sending()
	a.phase = phaseSent
	a.sentAt = now
	a.hedgeAge = r.hedgeDelay(a.upstream)
	r.parts[a.part].ran++
	r.parts[a.part].sends++
	r.parts[a.part].arrivals++
	r.calls++
	r.wakeBy(r.hedgeTime(now, a))
	send := Action{Kind: ActionSend, Attempt: n, Part: a.part, Upstream: a.upstream, Pool: r.poolOf(a.upstream)}
	if !r.parts[a.part].hedged {
		send.HedgeIn = a.hedgeAge
	}
	return append(out, send)
}

func (r *Run) include(i int, out []Action) []Action {
	p := &r.parts[i]
	p.included, p.closed = true, true
	r.included++
	r.open--
	return r.cancel(i, CallCancelled, out)
}

func (r *Run) markMissing(i int, reason query.Reason) {
	p := &r.parts[i]
	p.reason, p.closed = reason, true
	r.open--
}

// cancel gives up all attempts of a shard.
func (r *Run) cancel(i int, o CallOutcome, out []Action) []Action {
	p := &r.parts[i]
	for _, n := range p.live {
		a := &r.attempts[n]
		switch a.phase {
		case phaseQueued:
			r.fleet.abandon(a.waiter)
			a.phase = phaseDone
		case phaseSent:
			if r.linger(a) {
				out = append(out, Action{Kind: ActionLinger, Attempt: n, Part: i, Upstream: a.upstream, Outcome: o, For: LingerFor})
				continue
			}
			out = append(out, Action{Kind: ActionCancel, Attempt: n, Part: i, Upstream: a.upstream, Outcome: o})
		default:
		}
	}
	p.live = nil
	return out
}

// failed decides what follows a failed attempt.
func (r *Run) failed(now time.Duration, i int, o CallOutcome) []Action {
	p := &r.parts[i]
	if !r.repeatable && !o.NotRun() {
		r.unknown = true
		r.markMissing(i, reasonOf(o))
		return nil
	}
	if len(p.live) > 0 {
		return nil
	}
	if !r.attemptsLeft(i) || !r.mayRetry(i, o) {
		r.markMissing(i, reasonOf(o))
		return nil
	}
	if r.pick(now, i, true) != nil || o != CallShed && r.pick(now, i, false) != nil {
		return r.startOrHold(now, i, nil)
	}
	if o != CallShed {
		r.markMissing(i, reasonOf(o))
		return nil
	}
	// No other replica is fit: after a pause a shedding one may take it.
	p.tried = nil
	p.retryAt = now + time.Duration(float64(r.pool.Median())*(0.5+r.fleet.random.Float64()))
	r.wakeBy(p.retryAt)
	return nil
}

func reasonOf(o CallOutcome) query.Reason {
	switch o {
	case CallUnreachable, CallBroken, CallCrashed, CallLost, CallFailed:
		return query.ReasonUnreachable
	case CallSnapshotGone:
		return query.ReasonSnapshotGone
	case CallMoved:
		return query.ReasonMoved
	case CallGarbage:
		return query.ReasonGarbage
	case CallLate, CallCancelled, CallNotSent, CallStalled:
		return query.ReasonLate
	default:
		return query.ReasonRefused
	}
}

func (r *Run) hedgeTime(now time.Duration, a *attempt) time.Duration {
	if r.config.Hedge == config.HedgeNone || !r.repeatable {
		return r.deadline
	}
	first := a.sentAt + a.hedgeAge
	if a.phase == phaseSent && first > now {
		return first
	}
	return now + max(a.hedgeAge/4, hedgeLeast)
}

func (p *part) remove(n int) {
	for i, m := range p.live {
		if m == n {
			p.live = append(p.live[:i], p.live[i+1:]...)
			return
		}
	}
}

func (p *part) forget(u *Upstream) {
	for i, t := range p.tried {
		if t == u {
			p.tried = append(p.tried[:i], p.tried[i+1:]...)
			return
		}
	}
}

func (p *part) hasTried(u *Upstream) bool {
	for _, t := range p.tried {
		if t == u {
			return true
		}
	}
	return false
}
