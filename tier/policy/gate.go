package policy

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// lateHoldDivisor divides the time to the deadline to get how long a late request may
	// wait.
	lateHoldDivisor = 4
	// lateEnterShare is the share of that time within which the wait of a late request must
	// be expected to end when it arrives.
	lateEnterShare = 0.75
	// fullMemory is how long after a request found all places used its upstreams count as
	// short of room for the runs of others; several times the run of a gather.
	fullMemory = 500 * time.Millisecond
	// maxGateRanks is the number of ranks of which a gate keeps the last refusal.
	maxGateRanks = 64
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
