package policy

import "time"

const (
	// nextPlace is the expected time until the next place is free, in intervals between two
	// places that become free.
	nextPlace = 0.5
	// minShare bounds the share of the places that a class of requests is expected to get,
	// since waits are divided by it.
	minShare = 0.01
	// firstLateHoldDivisor divides the objective to get how long a first attempt that is
	// late may wait: within a tenth of the objective a request is served or refused.
	firstLateHoldDivisor = 10
	// lateIdleTime is how long no request that can meet its objective must have come before
	// late requests may take all places.
	lateIdleTime = 100 * time.Millisecond
	// reservationTime is how long after the refusal of an urgent request free places are
	// kept for requests of its rank. The next one is expected within that time.
	reservationTime = 100 * time.Millisecond
	// maxRunShare bounds the expected time of a run, as a share of the objective.
	maxRunShare = 0.93
)

// judge decides about a request that is not in the queue.
func (g *Gate) judge(now time.Duration, t *Ticket) Outlook {
	if g.mayRun(now, t) {
		return Outlook{Decision: DecisionRun}
	}
	t.overShare = t.demand.Caller.IsValid() && g.callers.overShare(now, t.demand.Caller)
	if t.promised && g.queue.settledLate() < g.maxPromised(t) {
		return g.keepPromise(now, t)
	}
	if now >= t.refuseBy {
		return g.judgeHeld(now, t)
	}
	if o := g.expectWait(now, t, false); now+o.Wait <= g.waitUntil(now, t, o.Ahead, standingEnterShare) {
		o.Decision = DecisionWait
		return o
	}
	return g.judgeLate(now, t)
}

// lateHold returns how long a late request may wait. A first attempt waits only briefly, since
// a refusal helps the caller only if it comes early. One that returned is served if
// possible, since no caller is told to return twice.
func lateHold(now time.Duration, d *Demand) time.Duration {
	if d.Spent >= minReturnTime {
		return max(d.DeadlineAt-now, 0) / lateHoldDivisor
	}
	return d.objective(now) / firstLateHoldDivisor
}

// mayRun reports whether a request that is not in the queue may run at once. One that can
// meet its objective goes before late ones that wait for their share.
func (g *Gate) mayRun(now time.Duration, t *Ticket) bool {
	if !g.hasPlaceFor(now, t.demand.Rank) {
		return false
	}
	if !g.inTime(now, t) {
		return g.hasPlace() && g.queue.len() == 0 && g.mayRunLate(now)
	}
	if g.reserved(now, t.demand.Rank) {
		return false
	}
	first := g.queue.firstInTime()
	return first < 0 || g.queue.waiting[first].demand.Rank > t.demand.Rank
}

// mayRunLate reports whether a late request may run now. If no request that can meet its
// objective has come for lateIdleTime, late ones may take all places.
func (g *Gate) mayRunLate(now time.Duration) bool {
	return g.late.available() || now-g.inTimeAt >= lateIdleTime
}

// reserved reports whether free places are kept for ranks more urgent than a given one,
// because a request of such a rank was refused lately. The lower ranks keep their share.
func (g *Gate) reserved(now time.Duration, rank int) bool {
	if g.queue.hasBudget(rank) {
		return false
	}
	for r, at := range g.refusedAt {
		if r < rank && now-at < reservationTime {
			return true
		}
	}
	return false
}

// judgeLate decides about a late request that is not in the queue and did not wait as a late
// one.
func (g *Gate) judgeLate(now time.Duration, t *Ticket) Outlook {
	o := g.expectWait(now, t, true)
	o.Decision = DecisionRefuse
	if float64(o.Wait) <= lateEnterShare*float64(t.lateUntil-now) {
		o.Decision = DecisionLate
	}
	return o
}

// displace decides again about the last requests of the rank of a ticket that was put before
// them: it may have taken the place that they were expected to get.
func (g *Gate) displace(now time.Duration, t *Ticket) {
	for last := g.queue.lastLike(t); last != t && !g.keep(now, last); {
		last = g.queue.lastLike(t)
	}
}

// keep reports whether a waiting request can still be answered as expected. One that can't
// is moved to the late requests or refused.
func (g *Gate) keep(now time.Duration, t *Ticket) bool {
	if g.fits(now, t) {
		return true
	}
	g.queue.remove(t)
	if !t.late && g.judgeLate(now, t).Decision == DecisionLate {
		g.wait(now, t, true)
		return false
	}
	g.refuse(now, t, reasonWaitedTooLong)
	return false
}

// fits reports whether a waiting request is expected to be admitted in time. The bounds are
// wider than when it arrived, so that it is not refused for a small change of the
// expectation.
func (g *Gate) fits(now time.Duration, t *Ticket) bool {
	if t.settled {
		return now < t.heldUntil()
	}
	o := g.expectWait(now, t, t.late)
	if t.late {
		return now+o.Wait <= t.lateUntil
	}
	return g.inTime(now+o.Wait, t) && now <= g.waitUntil(now, t, o.Ahead, standingCutShare)
}

// inTime reports whether a request that starts at a time is expected to meet its objective.
func (g *Gate) inTime(startAt time.Duration, t *Ticket) bool {
	return startAt+g.runTime(t) <= t.demand.dueAt()
}

// runTime returns the expected time of the run of a request. It is at most
// maxRunShare of the objective: with a longer one, all requests would count as late, and
// none would run in time from which the estimate could recover.
func (g *Gate) runTime(t *Ticket) time.Duration {
	objective := t.demand.objective(t.enteredAt)
	return min(g.expectedRun(t.demand.Route), time.Duration(maxRunShare*float64(objective)))
}

// waitUntil returns until when a request may wait to meet its objective. While the queue of
// its rank stands, that is a share of the time until it would have to start: a long queue
// serves no more requests than a short one, but later.
func (g *Gate) waitUntil(now time.Duration, t *Ticket, ahead int, share float64) time.Duration {
	startBy := t.demand.dueAt() - g.runTime(t)
	if ahead == 0 || !g.queue.standing(now, t.demand.Rank) {
		return startBy
	}
	return t.enteredAt + time.Duration(share*float64(startBy-t.enteredAt))
}

// expectWait returns the expected wait of a ticket in the position that it has, or would
// have, in the queue.
func (g *Gate) expectWait(now time.Duration, t *Ticket, late bool) Outlook {
	if t.settled {
		return g.expectWaitAt(now, settledPosition(now, t, late))
	}
	return g.expectWaitAt(now, g.order(t, late))
}

// expectWaitAt returns the expected wait in a position of the queue.
func (g *Gate) expectWaitAt(now time.Duration, p queuePosition) Outlook {
	ahead := g.queue.before(p)
	own := ahead - g.queue.beforeRank(p.rank)
	if p.late {
		own = g.queue.lateBefore(p)
	}
	if !p.late && own == 0 && g.queue.hasBudget(p.rank) {
		return Outlook{Wait: g.untilFree(0, 1), Ahead: ahead}
	}
	share, least := g.shares(now, p)
	wait := max(g.untilFree(own, share), g.untilFree(ahead, 1))
	return Outlook{Wait: min(wait, g.untilFree(own, least)), Ahead: ahead}
}

// shares returns the share of the places that become free which a class of requests can
// expect, and the share that the order guarantees.
func (g *Gate) shares(now time.Duration, p queuePosition) (expected, least float64) {
	s := g.queue.sharesAhead(now, p)
	behind := g.queue.sharesBehind(p)
	switch {
	case p.late:
		least = lateShare * (1 - s.lateAhead)
	case s.outranked:
		least = lowRankShare / float64(g.lowRanks(p.rank))
	default:
		least = 1 - behind
	}
	least = max(least, minShare)
	return max(1-s.ahead-behind, least), least
}

// lowRanks counts the ranks that share the budget of lower ranks with a rank.
func (g *Gate) lowRanks(rank int) int {
	count := 1
	g.queue.eachRank(func(r, first, _, _ int) bool {
		if first > 0 && r != rank {
			count++
		}
		return true
	})
	return count
}

// untilFree returns the expected time until a place is free for a request, if the share of
// the places that become free goes to it and the requests ahead of it.
func (g *Gate) untilFree(ahead int, share float64) time.Duration {
	return time.Duration((float64(ahead) + nextPlace) / (share * g.throughput()) * float64(time.Second))
}
