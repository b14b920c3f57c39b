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
		a.waiter.abandon()
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
	if p.hedged || len(p.live) == 0 || r.request.Class.Hedge == config.HedgeNone || !r.request.Repeatable {
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

// startAttempt gives a shard its first attempt, or its next after a refusal.
// Where no slot is free it waits for one at every fit replica, and the first to
// come is taken: that costs no call.
func (r *Run) startAttempt(now time.Duration, i int, out []Action) []Action {
	u := r.pick(now, i, false)
	if u == nil {
		r.markMissing(i, r.rules.absence(now, i, &r.parts[i]))
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
		if u.leaving || p.hasTried(u) || r.rules.barred(now, u) {
			continue
		}
		if r.request.Snapshot > 0 && u.status.window.Known && !u.status.window.holds(r.request.Snapshot) {
			continue
		}
		if fit && !u.eligible(now) {
			continue
		}
		s := r.score(now, u)
		if u.cold.bounded(now) {
			s += coldPenalty
		}
		if s < low {
			best, low = u, s
		}
	}
	return best
}

// score is how well an upstream suits a call now; the lowest is chosen.
func (r *Run) score(now time.Duration, u *Upstream) float64 {
	return r.chooser.Score(now, u, r.rules.poolOf(u), r.fleet.random) * r.rules.hallFactor(u)
}

func (r *Run) enter(now time.Duration, i int, u *Upstream, out []Action) []Action {
	p := &r.parts[i]
	n := len(r.attempts)
	w := &Waiter{Upstream: u, Deadline: r.request.Deadline, Granted: func() { r.request.Granted(n) }}
	granted, queued := u.enter(w)
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
	a.hedgeAge = r.rules.hedgeDelay(a.upstream, r.request.Deadline-r.times.begun)
	r.parts[a.part].ran++
	r.parts[a.part].sends++
	r.parts[a.part].arrivals++
	r.calls++
	r.wakeBy(r.hedgeTime(now, a))
	send := Action{Kind: ActionSend, Attempt: n, Part: a.part, Upstream: a.upstream, Pool: r.rules.poolOf(a.upstream)}
	if !r.parts[a.part].hedged {
		send.HedgeIn = a.hedgeAge
	}
	return append(out, send)
}

func (r *Run) include(i int, out []Action) []Action {
	p := &r.parts[i]
	p.included, p.closed = true, true
	r.progress.included++
	r.progress.open--
	return r.cancel(i, CallCancelled, out)
}

func (r *Run) markMissing(i int, reason query.Reason) {
	p := &r.parts[i]
	p.reason, p.closed = reason, true
	r.progress.open--
}

// linger reports whether an attempt that is not wanted any more may go on. One
// whose caller is gone may not.
func (r *Run) linger(a *attempt) bool {
	return r.rules.lingers(a.upstream) && r.request.Repeatable && !r.callerGone && !r.doubted() && a.upstream.linger()
}

// cancel gives up all attempts of a shard.
func (r *Run) cancel(i int, o CallOutcome, out []Action) []Action {
	p := &r.parts[i]
	for _, n := range p.live {
		a := &r.attempts[n]
		switch a.phase {
		case phaseQueued:
			a.waiter.abandon()
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
