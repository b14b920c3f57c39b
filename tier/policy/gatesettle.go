package policy

import "time"

const (
	// refusalDivisor divides the objective to get the time within which a request is refused
	// or settled.
	refusalDivisor = 10
	// settledWaitFactor is how many times the expected wait must fit before the objective for
	// a request to be settled.
	settledWaitFactor = 1.5
	// overdueShare is the share of the time that a settled late request may wait after which
	// it goes before all others.
	overdueShare = 0.5
)

// refuseBy returns until when a refusal of a request that arrives now helps its caller. What it
// has already spent at hosts, since it arrived at the first one, counts. A request that has less
// than half of the longest objective is taken for one with a shorter objective.
func (g *Gate) refuseBy(now time.Duration, d *Demand) time.Duration {
	own := d.objective(now)
	times := g.times(d.Route)
	full := max(times.objective.value(), own)
	if full > 2*own {
		full = own
	}
	return now + own - full + full/refusalDivisor
}

// settle decides about a waiting ticket at refuseBy: it is refused, or it is served whatever
// comes after it. It reports whether the ticket still waits.
func (g *Gate) settle(now time.Duration, t *Ticket) bool {
	if t.settled || now < t.refuseBy {
		return true
	}
	g.queue.remove(t)
	if !g.certain(now, t, t.late) {
		g.refuse(now, t, reasonNoCapacity)
		return false
	}
	t.settled = true
	g.wait(now, t, t.late)
	return true
}

// certain reports whether a ticket that is not in the queue is expected to be served once it is
// settled, also if places become free more slowly than expected. The ticket of a caller that
// uses more than its share must find a place behind those that are not settled yet.
func (g *Gate) certain(now time.Duration, t *Ticket, late bool) bool {
	p := g.order(t, late)
	if !t.overShare {
		p = settledPosition(now, t, late)
	}
	if late {
		return t.returned() && now+g.longestLateWait(now, p) <= t.overdueAt()
	}
	factor := settledWaitFactor
	if now > t.refuseBy {
		factor = 1
	}
	return g.inTime(now+time.Duration(factor*float64(g.expectWaitAt(now, p).Wait)), t)
}

// settledPosition returns the position of a ticket that is settled now. What is settled later
// does not go before it.
func settledPosition(now time.Duration, t *Ticket, late bool) queuePosition {
	return queuePosition{rank: t.demand.Rank, late: late, settled: true, at: now, number: t.number}
}

// longestLateWait returns the expected wait in a position among the late requests, if they get
// no more than their share.
func (g *Gate) longestLateWait(now time.Duration, p queuePosition) time.Duration {
	_, least := g.shares(now, p)
	return g.untilFree(g.queue.lateBefore(p)+1, least)
}

// heldUntil returns until when a settled ticket waits.
func (t *Ticket) heldUntil() time.Duration {
	if t.late {
		return t.lateUntil
	}
	return t.enteredAt + t.hold()
}

// hold returns how long a settled ticket waits.
func (t *Ticket) hold() time.Duration {
	return max(t.demand.DeadlineAt-t.enteredAt, 0) / lateHoldDivisor
}

// overdueAt returns from when a settled ticket that is late goes before all others.
func (t *Ticket) overdueAt() time.Duration {
	return t.enteredAt + time.Duration(overdueShare*float64(t.lateUntil-t.enteredAt))
}

// judgeHeld decides about a request that must be settled when it comes, since hosts have held
// it for long. If a refusal does not help its caller any more, it is rather served late.
func (g *Gate) judgeHeld(now time.Duration, t *Ticket) Outlook {
	t.settled = true
	o := g.expectWait(now, t, false)
	o.Decision = DecisionWait
	if g.certain(now, t, false) || now > t.refuseBy && o.Wait <= time.Duration(lateEnterShare*float64(t.hold())) {
		return o
	}
	if g.certain(now, t, true) {
		o = g.expectWait(now, t, true)
		o.Decision = DecisionLate
		return o
	}
	t.settled = false
	return Outlook{Decision: DecisionRefuse}
}
