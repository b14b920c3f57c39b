package policy

import "time"

const (
	// checkDivisor divides the objective of a waiting request to get the time between two
	// checks. The first one comes before a tenth of the objective, within which a request
	// that can't be served is to be refused.
	checkDivisor = 12
	// minCheckInterval bounds the work of checks for very short objectives.
	minCheckInterval = time.Millisecond
)

// wait puts a ticket into the queue.
func (g *Gate) wait(now time.Duration, t *Ticket, late bool) {
	g.pressed(now)
	t.state, t.late = ticketWaiting, late
	t.position = g.order(t, late)
	if t.settled {
		t.position = settledPosition(now, t, late)
	}
	t.checkAt = g.nextCheck(now, t)
	g.queue.insert(t)
}

// nextCheck returns when a waiting ticket is checked again.
func (g *Gate) nextCheck(now time.Duration, t *Ticket) time.Duration {
	next := now + max(t.demand.objective(t.enteredAt)/checkDivisor, minCheckInterval)
	if t.settled {
		return min(next, t.heldUntil())
	}
	return max(min(next, t.refuseBy), now+minCheckInterval)
}

// admitWaiting admits waiting requests while there are free places.
func (g *Gate) admitWaiting(now time.Duration) {
	g.earnShares(now)
	for g.queue.len() > 0 {
		t := g.nextForPlace(now)
		if t == nil {
			break
		}
		g.queue.remove(t)
		switch {
		case t.settled && now >= t.heldUntil():
			g.refuse(now, t, reasonWaitedTooLong)
		case !t.settled && !t.late && !g.inTime(now, t):
			g.moveToLate(now, t)
		case !t.settled && t.late && now > t.lateUntil:
			g.refuse(now, t, reasonWaitedTooLong)
		default:
			g.queue.counts(t.demand.Rank).observeWait(now, t)
			g.admitLimited(now, t)
		}
	}
	if g.queue.len() > 0 {
		g.pressed(now)
	}
}

// earnShares adds to the budgets of late requests and of the ranks that are outranked, which
// divide their share by what they ask: from one budget, the rank that asks most took it all.
func (g *Gate) earnShares(now time.Duration) {
	throughput := g.throughput()
	g.late.earn(now, throughput)
	ranks := g.queue.sortedRanks()
	if len(ranks) < 2 {
		return
	}
	outranked := ranks[1:]
	asked := 0.0
	for _, r := range outranked {
		asked += g.queue.ranks[r].arrived.sum(now, rankWindow)
	}
	for _, r := range outranked {
		c := g.queue.ranks[r]
		c.budget.share = lowRankShare * c.arrived.sum(now, rankWindow) / max(asked, 1)
		c.budget.earn(now, throughput)
	}
}

// nextForPlace returns the waiting ticket that gets the next place, or nil if there is none for
// it.
func (g *Gate) nextForPlace(now time.Duration) *Ticket {
	if g.hasPlace() {
		return g.nextToRun(now)
	}
	t := g.queue.waiting[0]
	if t.late || !g.hasPlaceFor(now, t.demand.Rank) {
		return nil
	}
	return t
}

// nextToRun returns the waiting ticket that may run next, or nil if the free places are kept
// for others. The queue must not be empty.
func (g *Gate) nextToRun(now time.Duration) *Ticket {
	t := g.queue.waiting[0]
	if !g.limited() {
		return t
	}
	if o := g.queue.firstOverdue(now); o != nil {
		return o
	}
	if i := g.queue.firstLate(); i > 0 && g.late.available() {
		t = g.queue.waiting[i]
	}
	if i := g.queue.firstOfLowRank(now); i > 0 {
		t = g.queue.waiting[i]
	}
	if t.late && !g.mayRunLate(now) {
		i := g.queue.firstInTime()
		if i < 0 {
			return nil
		}
		t = g.queue.waiting[i]
	}
	if g.reserved(now, t.demand.Rank) {
		return nil
	}
	return t
}

// moveToLate lets a ticket that can't meet its objective any more wait with the late ones,
// or refuses it if it has waited for too long.
func (g *Gate) moveToLate(now time.Duration, t *Ticket) {
	if now > t.lateUntil {
		g.refuse(now, t, reasonWaitedTooLong)
		return
	}
	g.wait(now, t, true)
}

// admitLimited admits a request while there is a limit.
func (g *Gate) admitLimited(now time.Duration, t *Ticket) {
	g.queue.counts(t.demand.Rank).count(now, t)
	if t.late || !t.settled && !g.inTime(now, t) {
		g.late.spend()
	}
	if c := g.queue.counts(t.demand.Rank); c.budget.share > 0 {
		c.budget.spend()
	}
	if t.demand.Caller.IsValid() {
		g.callers.admitted(now, t.demand.Caller)
	}
	g.admit(t)
}

func (g *Gate) admit(t *Ticket) {
	g.inFlight++
	t.state = ticketAdmitted
	close(t.decided)
}

func (g *Gate) refuse(now time.Duration, t *Ticket, reason string) {
	g.pressed(now)
	g.refused++
	g.noteRefusal(now, t.demand.Rank)
	in := g.bookReturn(now, t.demand)
	if t.demand.Caller.IsValid() {
		g.callers.refused(now, t.demand.Caller, now+in)
	}
	t.refusal = &Refusal{Reason: reason, RetryAfter: in}
	t.state = ticketRefused
	close(t.decided)
}

// noteRefusal records that a request of a rank was refused.
func (g *Gate) noteRefusal(now time.Duration, rank int) {
	if g.refusedAt == nil || len(g.refusedAt) >= maxGateRanks {
		g.refusedAt = map[int]time.Duration{}
	}
	g.refusedAt[rank] = now
}

// free frees the place of an admitted ticket.
func (g *Gate) free(t *Ticket) {
	t.state = ticketGone
	g.inFlight--
}
