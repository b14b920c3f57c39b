package policy

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// checkDivisor divides the objective of a waiting request to get the time between two
	// checks. The first one comes before a tenth of the objective, within which a request
	// that can't be served is to be refused.
	checkDivisor = 12
	// minCheckInterval bounds the work of checks for very short objectives.
	minCheckInterval = time.Millisecond
	// lateHoldDivisor divides the time to the deadline to get how long a late request may
	// wait.
	lateHoldDivisor = 4
	// lateEnterShare is the share of that time within which the wait of a late request must
	// be expected to end when it arrives. At the full time, half of the last ones were
	// refused after all.
	lateEnterShare = 0.75
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
	// fullMemory is how long after a request found all places used its upstreams count as
	// short of room for the runs of others; several times the run of a gather.
	fullMemory = 500 * time.Millisecond
	// maxGateRanks is the number of ranks of which a gate keeps the last refusal.
	maxGateRanks = 64
	// maxRunShare bounds the expected time of a run, as a share of the objective.
	maxRunShare = 0.93
	// maxGateRoutes is the number of routes of which a gate keeps the time to coverage.
	maxGateRoutes = 64
)

// Reasons of refusals by a gate.
const (
	reasonNoCapacity    = "no capacity is expected in time"
	reasonWaitedTooLong = "no capacity became free in time"
)

// Gate admits the requests for one set of groups. While the set has a shortage of capacity,
// a limited number of requests runs, the others wait in the order of byObjective, and those
// that can't be answered in time are refused. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	room    roomLimit
	queue   gateQueue
	returns returnSchedule
	callers callerLedger
	order   queueOrder
	// late bounds the late requests that run.
	late shareBudget
	// inTimeAt is when a request that could meet its objective last came.
	inTimeAt time.Duration
	// fullAt is when a request last waited or was refused because all places were used; 0
	// for never.
	fullAt time.Duration
	// refusedAt is when a request of each rank was last refused, for at most maxGateRanks
	// ranks.
	refusedAt map[int]time.Duration
	// inFlight counts the tickets that are admitted and have not left.
	inFlight int
	// entered counts all tickets, refused those that were refused.
	entered, refused uint64
	// expected holds the time to coverage of each route, for at most maxGateRoutes routes.
	expected map[string]*coverageTimes
	// longest holds the longest times of the requests of each route, for at most maxGateRoutes
	// routes.
	longest map[string]*routeTimes
	// assignableAt is when the next place may be assigned to a refused caller.
	assignableAt time.Duration
	// holds are the times to coverage of all routes together.
	holds coverageTimes
}

// GateConfig configures a gate.
type GateConfig struct {
	// Base is this host's fair share of the places; at least 1.
	Base int
	// Random is the source of the jitter of Retry-After; nil for none. It is used with the
	// gate locked, so it may not be shared with other gates unless it is safe for concurrent
	// use.
	Random Random
	// Callers judges which callers use more than their share; nil for the usual rule. It is
	// used with the gate locked.
	Callers callerLedger
	// order is the order of the waiting requests; nil for byObjective.
	order queueOrder
}

// queueOrder returns the position of a ticket, given whether it can't meet its objective.
type queueOrder func(t *Ticket, late bool) queuePosition

// callerLedger records what callers use.
type callerLedger interface {
	// admitted records that a request of the caller was admitted during a shortage.
	admitted(now time.Duration, a netip.Addr)
	// refused records that the caller was told to retry no earlier than at the time until.
	refused(now time.Duration, a netip.Addr, until time.Duration)
	// overShare reports whether the caller uses more than its share.
	overShare(now time.Duration, a netip.Addr) bool
}

// ticketState is the state of a ticket.
type ticketState string

const (
	// ticketWaiting is the state of a ticket in the queue.
	ticketWaiting ticketState = "Waiting"
	// ticketAdmitted is the state of a ticket that holds a place.
	ticketAdmitted ticketState = "Admitted"
	// ticketRefused is the state of a ticket that was refused; it never changes.
	ticketRefused ticketState = "Refused"
	// ticketGone is the state of a ticket that left or was abandoned; it never changes.
	ticketGone ticketState = "Gone"
)

// Ticket is one request at one gate. It is decided at most once: an abandoned ticket that
// waited is never decided. It is safe for concurrent use.
type Ticket struct {
	gate    *Gate
	demand  Demand
	number  uint64
	outlook Outlook
	decided chan struct{}
	// enteredAt is when the request came to the gate.
	enteredAt time.Duration
	// overShare is true if the caller used more than its share then.
	overShare bool
	// lateUntil is when the ticket is refused if it is late and still waits.
	lateUntil time.Duration
	// refuseBy is until when a refusal helps the caller. The ticket is then refused or settled.
	refuseBy time.Duration

	// promised is true if the caller returns to a place that was assigned to it.
	promised bool

	// The fields from here on change while the ticket waits. They are guarded by the gate's
	// lock.

	state ticketState
	// late is true if the request can't meet its objective.
	late bool
	// settled is true once the ticket is to be served, even if it then waits for longer than
	// expected.
	settled  bool
	position queuePosition
	refusal  *Refusal
	checkAt  time.Duration
}

// Admitted reports whether the request was admitted, even if it has left since.
func (t *Ticket) Admitted() bool {
	select {
	case <-t.decided:
		return t.Refusal() == nil
	default:
		return false
	}
}

// Decided returns a channel that is closed when the request is admitted or refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Refusal returns the refusal of the request, or nil unless it was refused.
func (t *Ticket) Refusal() *Refusal {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.refusal
}

// CheckAt returns when Gate.Check is due. It moves on with each check that does not decide
// the ticket.
func (t *Ticket) CheckAt() time.Duration {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.checkAt
}

// Outlook returns what Enter decided.
func (t *Ticket) Outlook() Outlook { return t.outlook }

// returned reports whether the request is a retry that waited as long as a refused caller is
// told at least.
func (t *Ticket) returned() bool { return t.demand.Spent >= minReturnTime }

// NewGate returns a gate without a limit.
func NewGate(c GateConfig) *Gate {
	g := &Gate{
		room:     newRoomLimit(c.Base),
		queue:    gateQueue{ranks: map[int]*rankCounts{}},
		returns:  newReturnSchedule(c.Random),
		callers:  c.Callers,
		order:    c.order,
		expected: map[string]*coverageTimes{},
		longest:  map[string]*routeTimes{},
		late:     shareBudget{share: lateShare},
	}
	if g.callers == nil {
		g.callers = newCallerShares()
	}
	if g.order == nil {
		g.order = byObjective
	}
	return g
}

// SetBase sets this host's fair share of the places; it is at least 1.
func (g *Gate) SetBase(places int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.setBase(places)
}

// Enter decides about a request that arrives. Without a limit it is admitted.
func (g *Gate) Enter(now time.Duration, d Demand) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.setRouteNeed(d.Route, routeNeed{objective: d.objective(now), coverage: d.Coverage})
	g.noteTimes(now, &d)
	g.tick(now)
	g.admitWaiting(now)
	t := g.newTicket(now, d)
	g.entered++
	if !g.limited() {
		t.outlook.Decision = DecisionRun
		g.admit(t)
		return t
	}
	g.queue.counts(d.Rank).arrived.add(now, rankWindow, 1)
	if g.inTime(now, t) {
		g.inTimeAt = now
	}
	t.outlook = g.judge(now, t)
	switch t.outlook.Decision {
	case DecisionRun:
		g.admitLimited(now, t)
	case DecisionRefuse:
		g.refuse(now, t, reasonNoCapacity)
	default:
		g.wait(now, t, t.outlook.Decision == DecisionLate)
		g.displace(now, t)
	}
	return t
}

// Outlook returns what Enter would decide. It changes nothing.
func (g *Gate) Outlook(now time.Duration, d Demand) Outlook {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.limited() {
		return Outlook{Decision: DecisionRun}
	}
	return g.judge(now, g.newTicket(now, d))
}

// Check decides about a waiting request that can't be answered as expected any more: it is
// moved to the late requests or refused. A request that still can gets a new CheckAt.
func (g *Gate) Check(now time.Duration, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != ticketWaiting {
		return
	}
	g.tick(now)
	g.admitWaiting(now)
	if t.state != ticketWaiting {
		return
	}
	if g.keep(now, t) && g.settle(now, t) {
		t.checkAt = g.nextCheck(now, t)
	}
}

// Abandon removes the ticket of a caller that left. If it was admitted, its place is freed.
func (g *Gate) Abandon(now time.Duration, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case ticketWaiting:
		g.queue.remove(t)
		t.state = ticketGone
	case ticketAdmitted:
		g.free(t)
		g.tick(now)
		g.admitWaiting(now)
	default:
	}
}

// Leave frees the place of an admitted request and admits the next ones.
func (g *Gate) Leave(now time.Duration, t *Ticket, c Completion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != ticketAdmitted {
		return
	}
	g.recordRun(now, t.demand.Route, c)
	g.free(t)
	g.room.observeEnd(now, g.inFlight, c, t.demand.objective(t.enteredAt))
	g.admitWaiting(now)
}

// ObserveCall records the outcome of a call of an admitted request, from which a shortage is
// measured.
func (g *Gate) ObserveCall(_ time.Duration, o CallOutcome, l Load, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.observeCall(o, l, took)
}

// Shortage reports whether a shortage of capacity is measured and requests lately waited or
// were refused. Runs decide differently then. Without the second condition, slow upstreams
// under a load that all places serve were taken for a shortage, and answers came late.
func (g *Gate) Shortage(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limited() && g.fullAt > 0 && now-g.fullAt < fullMemory
}

// State describes the gate.
func (g *Gate) State(now time.Duration) GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tick(now)
	s := GateState{
		Base: g.room.base, Reason: g.room.reason, Service: g.room.service,
		InFlight: g.inFlight, Waiting: g.queue.len(), WaitingByRank: g.queue.waitingByRank(),
		Refused: g.refused, PerSecond: g.room.throughput(),
	}
	s.Places, s.Limited = g.room.places()
	if !s.Limited {
		s.Places, s.Reason = 0, ""
	}
	return s
}

func (g *Gate) newTicket(now time.Duration, d Demand) *Ticket {
	return &Ticket{
		gate: g, demand: d, number: g.entered + 1, enteredAt: now, decided: make(chan struct{}),
		lateUntil: now + lateHold(now, &d), refuseBy: g.refuseBy(now, &d),
		promised: g.promised(now, &d),
	}
}

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

// expectedRun returns the expected time of a run of a route, or 0 if it is not known.
func (g *Gate) expectedRun(route string) time.Duration {
	if c := g.expected[route]; c != nil {
		c.advance(g.room.now)
		return c.quantile()
	}
	return 0
}

// recordRun records the time of a run of a route.
func (g *Gate) recordRun(now time.Duration, route string, c Completion) {
	for _, times := range []*coverageTimes{g.coverageTimesOf(route), &g.holds} {
		times.advance(now)
		times.record(c)
	}
}

// coverageTimesOf returns the times of a route. It drops all if there are too many, since
// those of the routes in use are learnt again at once.
func (g *Gate) coverageTimesOf(route string) *coverageTimes {
	c := g.expected[route]
	if c != nil {
		return c
	}
	if len(g.expected) >= maxGateRoutes {
		clear(g.expected)
	}
	c = &coverageTimes{}
	g.expected[route] = c
	return c
}

// throughput returns the number of places that become free in a second; above 0. It is at
// least what the places allow by the time that requests hold them: the measured number says
// only what was asked for while places were free.
func (g *Gate) throughput() float64 {
	measured := g.room.throughput()
	g.holds.advance(g.room.now)
	hold := g.holds.quantile()
	n, limited := g.room.places()
	if !limited || hold == 0 {
		return measured
	}
	return max(measured, float64(n)/hold.Seconds())
}

// tick ends the period of the measurements if it is over. The counts of the ranks are those
// of one shortage.
func (g *Gate) tick(now time.Duration) {
	g.room.tick(now, g.inFlight)
	if !g.limited() && len(g.queue.ranks) > 0 {
		clear(g.queue.ranks)
	}
}

// pressed records that a request waits or is refused. If all places are used, the shortage
// goes on. Free places that are kept for others, or from late requests, do not prolong it.
func (g *Gate) pressed(now time.Duration) {
	if g.hasPlace() {
		return
	}
	g.room.period.used = true
	g.room.pressedAt, g.fullAt = now, now
}

func (g *Gate) limited() bool {
	_, limited := g.room.places()
	return limited
}

func (g *Gate) hasPlace() bool {
	n, limited := g.room.places()
	return !limited || g.inFlight < n
}

// hasPlaceFor reports whether there is a place for a request of a rank. The most urgent rank has
// one more than the others while its requests fit beside what the lower ranks get, so that it
// need not wait for a lower one to end, unless a lower rank waits for its share.
func (g *Gate) hasPlaceFor(now time.Duration, rank int) bool {
	if g.hasPlace() {
		return true
	}
	n, _ := g.room.places()
	if g.inFlight > n || !g.queue.isMostUrgent(rank) || g.queue.owesLowRank() {
		return false
	}
	return g.queue.arrivalRate(now, rank) <= (1-lowRankShare)*g.throughput()
}
