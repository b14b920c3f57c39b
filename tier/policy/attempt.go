package policy

import (
	"slices"
	"time"

	"loomgap/tier/query"
)

// leaveQueues removes a part's other attempts from their queues once one of them has a
// slot. If another one is granted a slot concurrently, Granted releases it.
func (r *Run) leaveQueues(i, granted int) {
	for _, n := range slices.Clone(r.parts[i].active) {
		if a := &r.attempts[n]; n != granted && a.phase == phaseQueued {
			a.waiter.abandon()
			r.withdraw(n)
		}
	}
}

// withdraw undoes an attempt that was not sent: its upstream counts as not tried.
func (r *Run) withdraw(n int) {
	a := &r.attempts[n]
	a.phase = phaseDone
	p := &r.parts[a.part]
	p.active = removeFirst(p.active, n)
	p.tried = removeFirst(p.tried, a.upstream)
	p.tries--
}

// startAttempt starts the first attempt of a part, or the next one after a refusal. If no
// slot is free, the part queues at every eligible replica and uses the first slot granted,
// which costs no extra call.
func (r *Run) startAttempt(now time.Duration, i int, out []Action) []Action {
	u := r.pick(now, i, anyUpstream)
	if u == nil {
		r.markMissing(i, r.rules.missingReason(now, i, &r.parts[i]))
		return out
	}
	out = r.addAttempt(now, i, u, out)
	p := &r.parts[i]
	for !p.closed && len(p.active) > 0 && r.attempts[p.active[len(p.active)-1]].phase == phaseQueued {
		u = r.pick(now, i, onlyEligible)
		if u == nil {
			break
		}
		out = r.addAttempt(now, i, u, out)
	}
	return out
}

// addAttempt requests a slot at an upstream for a new attempt of a part. It sends the
// attempt if the slot is granted immediately; otherwise the attempt is queued there.
func (r *Run) addAttempt(now time.Duration, i int, u *Upstream, out []Action) []Action {
	p := &r.parts[i]
	n := len(r.attempts)
	w := &Waiter{Upstream: u, Deadline: r.request.Deadline, Granted: func() { r.request.Granted(n) }}
	if r.shortage {
		w.Rank, w.ObjectiveAt = r.request.Routed.Rank, r.objectiveAt()
	}
	u.slots.window.expire(now)
	granted, queued := u.acquireOrQueue(w)
	p.tries++
	p.tried = append(p.tried, u)
	if !granted && !queued {
		r.attempts = append(r.attempts, attempt{part: i, upstream: u, phase: phaseDone})
		if len(p.active) == 0 {
			r.markMissing(i, query.ReasonRefused)
		}
		return out
	}
	r.attempts = append(r.attempts, attempt{part: i, upstream: u, phase: phaseQueued, waiter: w, queuedAt: now})
	p.active = append(p.active, n)
	if granted {
		r.leaveQueues(i, n)
		return r.send(now, n, out)
	}
	return out
}

// objectiveAt returns when the answer of a routed request loses its full worth; above 0.
func (r *Run) objectiveAt() time.Duration {
	return max(r.times.admittedAt+r.request.Routed.Objective, 1)
}

// send sends an attempt that holds a slot.
func (r *Run) send(now time.Duration, n int, out []Action) []Action {
	a := &r.attempts[n]
	a.isolated = r.suspected() && !r.hasCalls()
	a.phase = phaseSent
	a.sentAt = now
	a.hedgeDelay = r.rules.hedgeDelay(a.upstream, r.request.Deadline-r.times.admittedAt)
	r.parts[a.part].ran++
	r.parts[a.part].sends++
	r.parts[a.part].arrivals++
	r.wakeBy(r.hedgeTime(now, a))
	send := Action{Kind: ActionSend, Attempt: n, Part: a.part, Upstream: a.upstream, Pool: r.rules.poolOf(a.upstream), Queued: now - a.queuedAt}
	if !r.parts[a.part].hedged {
		send.HedgeIn = a.hedgeDelay
	}
	return append(out, send)
}

// includePart includes a part in the answer and cancels its other attempts.
func (r *Run) includePart(now time.Duration, i int, out []Action) []Action {
	p := &r.parts[i]
	p.closed = true
	r.progress.included++
	r.progress.open--
	return r.cancel(now, i, CallCancelled, out)
}

func (r *Run) markMissing(i int, reason query.Reason) {
	p := &r.parts[i]
	p.reason, p.closed = reason, true
	r.progress.open--
}

// mayLinger reports whether an attempt that is no longer needed may continue: its upstream
// must be near, the caller still connected, and the request repeatable and not suspected.
// During a shortage, it also continues if it is almost finished.
func (r *Run) mayLinger(now time.Duration, a *attempt) bool {
	if !a.upstream.near || !r.request.Repeatable || r.callerGone || r.suspected() {
		return false
	}
	return r.shortage && r.almostFinished(now, a) || a.upstream.tryLinger()
}

// newConnectionTime is the time that a new connection to an upstream takes. Cancelling a
// call closes its connection, so ending a call that needs less time costs less.
const newConnectionTime = 6 * time.Millisecond

// almostFinished reports whether a call is expected to end before a new connection to its
// upstream could be made.
func (r *Run) almostFinished(now time.Duration, a *attempt) bool {
	remaining := a.upstream.latency.orDefault(r.rules.poolOf(a.upstream).median()) - (now - a.sentAt)
	return remaining >= 0 && remaining <= newConnectionTime
}

// cancel cancels all attempts of a part. A call that can show when its upstream responds
// again continues for LingerDuration.
func (r *Run) cancel(now time.Duration, i int, o CallOutcome, out []Action) []Action {
	p := &r.parts[i]
	for _, n := range p.active {
		a := &r.attempts[n]
		switch a.phase {
		case phaseQueued:
			a.waiter.abandon()
			a.phase = phaseDone
		case phaseSent:
			kind := ActionCancel
			if r.mayLinger(now, a) {
				kind = ActionLinger
			}
			out = append(out, Action{Kind: kind, Attempt: n, Part: i, Upstream: a.upstream, Outcome: o})
		default:
		}
	}
	p.active = nil
	return out
}
