package pass

import (
	"context"
	"net/http"
	"time"

	"loomgap/tier/policy"
)

// This file is the stage of a request at the gate of its groups.

// limitsLoad reports whether requests pass a gate.
func (e *engine) limitsLoad() bool { return e.kernel.Settings.Overload == policy.OverloadShortage }

// findGate plans the request, finds its gate and returns it.
func (q *request) findGate() *gate {
	if q.gate == nil {
		q.makePlan()
		q.gate = q.engine.gateOf(q)
	}
	return q.gate
}

// demand describes the request to its gate.
func (q *request) demand() policy.Demand {
	return policy.Demand{
		Route: q.route.Name, Rank: q.route.Priority, Coverage: q.class.Coverage, Caller: q.in.identity.Caller,
		ObjectiveAt: q.times.startedAt + time.Duration(q.class.Patience) - q.spentBefore, DeadlineAt: q.times.deadline,
		Spent: q.spentBefore,
	}
}

// outlook returns what the gate would decide about the request now. It changes nothing.
func (q *request) outlook() policy.Outlook {
	return q.findGate().Outlook(q.engine.kernel.Now(), q.demand())
}

// isBusy reports whether the gate would refuse a request with the given outlook, or have it wait
// for longer than the round trip to the nearest other hall.
func (e *engine) isBusy(o policy.Outlook) bool {
	switch o.Decision {
	case policy.DecisionRun:
		return false
	case policy.DecisionWait, policy.DecisionLate:
		return o.Wait > e.hosts.nearestRoundTrip(*e.coordinators.candidates.Load(), e.kernel.Settings.Hall)
	default:
		return true
	}
}

// roomReporter returns a function that reports the room at the gate of the request. It reports
// nil without a shortage, and may be called concurrently with the request.
func (q *request) roomReporter() func() *roomReport {
	e := q.engine
	if !e.limitsLoad() {
		return func() *roomReport { return nil }
	}
	g := q.findGate()
	return func() *roomReport {
		s := g.State(e.kernel.Now())
		if !s.Limited {
			return nil
		}
		return &roomReport{InFlight: s.InFlight, Places: s.Places, Waiting: s.Waiting}
	}
}

// admit passes the request through the gate of its groups. It responds to a request that is
// refused or whose caller leaves, and returns false.
func (q *request) admit(ctx context.Context, w http.ResponseWriter) bool {
	e := q.engine
	if !e.limitsLoad() {
		return true
	}
	g := q.findGate()
	if e.isOpen(g) {
		return true
	}
	if !q.conn.MayWait() && e.isBusy(q.outlook()) {
		q.refuse(w, "large requests and those sent ahead do not wait for a place", retryAfterNoWait)
		return false
	}
	arrivedAt := e.kernel.Now()
	q.ticket = g.Enter(arrivedAt, q.demand())
	decided := q.awaitTicket(ctx)
	if !decided {
		g.Abandon(e.kernel.Now(), q.ticket)
	}
	q.admittedAt = e.kernel.Now()
	refusal := q.ticket.Refusal()
	q.recordDecision(q.ticket.Outlook(), refusal != nil, arrivedAt)
	switch {
	case !decided:
		q.log(outcomeCancelled, 0).Msg("request cancelled by caller")
		return false
	case refusal != nil:
		q.refuseAtGate(w, refusal)
		return false
	}
	return true
}

// awaitTicket waits until the gate has decided about the request. It returns false if the
// context ends before that.
func (q *request) awaitTicket(ctx context.Context) bool {
	t, k := q.ticket, q.engine.kernel
	for {
		select {
		case <-t.Decided():
			return true
		default:
		}
		timer := time.NewTimer(t.CheckAt() - k.Now())
		select {
		case <-t.Decided():
		case <-timer.C:
			q.gate.Check(k.Now(), t)
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// leaveGate frees the place of the request, if it has one.
func (q *request) leaveGate(covered bool) {
	if q.ticket == nil {
		return
	}
	now := q.engine.kernel.Now()
	q.gate.Leave(now, q.ticket, policy.Completion{Took: now - q.admittedAt, Covered: covered})
}

// shortage returns the function by which the run learns of a shortage; nil without a gate.
func (q *request) shortage() func() bool {
	if q.gate == nil {
		return nil
	}
	return func() bool { return q.gate.Shortage(q.engine.kernel.Now()) }
}

// noteStatedTime sets the time spent before this attempt from the time that the caller still
// waits. It counts up to the objective, beyond which it makes no difference.
func (q *request) noteStatedTime(stated time.Duration) {
	e := q.engine
	if e.limitsLoad() {
		q.spentBefore = min(e.stated.record(e.kernel.Now(), q.route.Name, stated)-stated, time.Duration(q.route.Objective))
	}
}
