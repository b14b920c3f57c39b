package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simStream is a stream of requests to a gate.
type simStream struct {
	name      string
	rank      int
	perSecond float64
	// burst multiplies perSecond between burstFrom and burstUntil; 0 for no burst.
	burst                 float64
	burstFrom, burstUntil time.Duration
	objective, timeLimit  time.Duration
	// returns is true if callers retry once as they were told, impatient if they retry at
	// once, three times.
	returns, impatient bool
}

// simLoad is a load of a server that runs as many requests at a time as it has places.
type simLoad struct {
	places  int
	service time.Duration
	streams []simStream
	lasts   time.Duration
	order   queueOrder
	// pauseFrom is when the host stops for pauseFor.
	pauseFrom, pauseFor time.Duration
}

// simResult counts the requests of a stream, by their first attempt, that arrived within the
// measured time.
type simResult struct {
	asked, onTime, late, refused int
	// refusedAfter are the times from an attempt to its refusal as shares of the objective.
	refusedAfter []float64
	// longestWait is the longest time in the queue.
	longestWait time.Duration
	// returned counts the retries that came as they were told, served those that were
	// answered.
	returned, returnedServed int
}

func (r *simResult) served() float64 { return float64(r.onTime+r.late) / float64(max(r.asked, 1)) }

// simRequest is a request of a simulation.
type simRequest struct {
	stream   *simStream
	result   *simResult
	caller   netip.Addr
	firstAt  time.Duration
	attempt  int
	service  time.Duration
	ticket   *Ticket
	enterAt  time.Duration
	measured bool
}

type simEvent struct {
	at     time.Duration
	number int
	do     func(now time.Duration)
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }

func (q simEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].number, q[j].number)) < 0
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }

func (q *simEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs a load against a gate in virtual time.
type simulation struct {
	load    simLoad
	random  *rand.Rand
	gate    *Gate
	events  simEvents
	number  int
	open    []*simRequest
	results map[string]*simResult
	// measureFrom and measureUntil bound the first attempts that are counted.
	measureFrom, measureUntil time.Duration
}

// Seeds of the simulations and the delay of a caller that retries at once.
const (
	simSeed  = 7
	simRetry = 3 * time.Millisecond
)

func simulate(l simLoad, from, until time.Duration) map[string]*simResult {
	s := &simulation{
		load: l, random: rand.New(rand.NewPCG(simSeed, 0)), results: map[string]*simResult{},
		measureFrom: from, measureUntil: until,
	}
	s.gate = NewGate(GateConfig{Base: l.places, Random: rand.New(rand.NewPCG(simSeed, 1)), order: l.order})
	for i := range l.streams {
		x := &s.load.streams[i]
		s.results[x.name] = &simResult{}
		s.schedule(0, func(now time.Duration) { s.arrive(now, x) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		fixPlaces(s.gate, l.places)
		e.do(s.resumeAt(e.at))
		s.settle(s.resumeAt(e.at))
	}
	return s.results
}

// fixPlaces sets the limit of a gate, so that a test of the gate does not depend on how the
// limit is found.
func fixPlaces(g *Gate, places int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.limit = float64(places)
}

// resumeAt returns when an event is handled, which is after a pause of the host.
func (s *simulation) resumeAt(at time.Duration) time.Duration {
	until := s.load.pauseFrom + s.load.pauseFor
	if at >= s.load.pauseFrom && at < until {
		return until
	}
	return at
}

func (s *simulation) schedule(at time.Duration, do func(now time.Duration)) {
	s.number++
	heap.Push(&s.events, simEvent{at: at, number: s.number, do: do})
}

func (s *simulation) arrive(now time.Duration, x *simStream) {
	if now >= s.load.lasts {
		return
	}
	rate := x.perSecond
	if x.burst > 0 && now >= x.burstFrom && now < x.burstUntil {
		rate *= x.burst
	}
	if rate > 0 && now > 0 {
		s.start(now, x)
	}
	s.schedule(now+time.Duration(s.random.ExpFloat64()/max(rate, 0.001)*1e9), func(now time.Duration) { s.arrive(now, x) })
}

func (s *simulation) start(now time.Duration, x *simStream) {
	q := &simRequest{
		stream: x, result: s.results[x.name], firstAt: now,
		measured: now >= s.measureFrom && now < s.measureUntil,
		caller:   netip.AddrFrom4([4]byte{10, byte(s.number >> 16), byte(s.number >> 8), byte(s.number)}),
	}
	// Half of the service time is constant, half exponential.
	q.service = time.Duration(float64(s.load.service) * (0.5 + 0.5*s.random.ExpFloat64()))
	if q.measured {
		q.result.asked++
	}
	s.enter(now, q)
}

func (s *simulation) enter(now time.Duration, q *simRequest) {
	q.attempt++
	q.enterAt = now
	q.ticket = s.gate.Enter(now, Demand{
		Route: q.stream.name, Rank: q.stream.rank, Caller: q.caller, Spent: now - q.firstAt,
		ObjectiveAt: q.firstAt + q.stream.objective, DeadlineAt: q.firstAt + q.stream.timeLimit,
	})
	switch {
	case !decided(q.ticket):
		s.open = append(s.open, q)
		s.scheduleCheck(q, q.ticket)
	case q.ticket.Admitted():
		s.run(now, q)
	default:
		s.refuse(now, q)
	}
}

func (s *simulation) scheduleCheck(q *simRequest, t *Ticket) {
	s.schedule(t.CheckAt(), func(now time.Duration) {
		if q.ticket == t && !decided(t) {
			s.gate.Check(now, t)
			s.scheduleCheck(q, t)
		}
	})
}

func decided(t *Ticket) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

// settle starts the requests that were admitted and answers those that were refused.
func (s *simulation) settle(now time.Duration) {
	if s.gate.queue.len() == len(s.open) {
		return
	}
	var rest []*simRequest
	var refused []*simRequest
	for _, q := range s.open {
		switch {
		case !decided(q.ticket):
			rest = append(rest, q)
		case q.ticket.Admitted():
			s.run(now, q)
		default:
			refused = append(refused, q)
		}
	}
	s.open = rest
	for _, q := range refused {
		s.refuse(now, q)
	}
}

func (s *simulation) run(now time.Duration, q *simRequest) {
	if q.measured {
		q.result.longestWait = max(q.result.longestWait, now-q.enterAt)
	}
	s.schedule(now+q.service, func(end time.Duration) {
		s.gate.Leave(end, q.ticket, Completion{Took: end - now, Covered: true})
		s.answer(end, q)
	})
}

func (s *simulation) answer(now time.Duration, q *simRequest) {
	if !q.measured {
		return
	}
	took := now - q.firstAt
	switch {
	case took <= q.stream.objective:
		q.result.onTime++
	case took <= q.stream.timeLimit:
		q.result.late++
	default:
		q.result.refused++
		return
	}
	if q.attempt > 1 && q.stream.returns {
		q.result.returnedServed++
	}
}

func (s *simulation) refuse(now time.Duration, q *simRequest) {
	if q.measured {
		q.result.refusedAfter = append(q.result.refusedAfter, float64(now-q.enterAt)/float64(q.stream.objective))
		q.result.longestWait = max(q.result.longestWait, now-q.enterAt)
	}
	after := q.ticket.Refusal().RetryAfter
	left := q.firstAt + q.stream.timeLimit - now
	switch {
	case q.stream.returns && q.attempt == 1 && after <= left/2:
		if q.measured {
			q.result.returned++
		}
		s.schedule(now+after+simRetry, func(now time.Duration) { s.enter(now, q) })
	case q.stream.impatient && q.attempt < 4:
		s.schedule(now+simRetry, func(now time.Duration) { s.enter(now, q) })
	case q.measured:
		q.result.refused++
	}
}

func total(rs map[string]*simResult) *simResult {
	all := &simResult{}
	for _, r := range rs {
		all.asked += r.asked
		all.onTime += r.onTime
		all.late += r.late
		all.refused += r.refused
		all.returned += r.returned
		all.returnedServed += r.returnedServed
		all.refusedAfter = append(all.refusedAfter, r.refusedAfter...)
		all.longestWait = max(all.longestWait, r.longestWait)
	}
	return all
}

// quantileOf returns a quantile of the values, or 0 if there are none.
func quantileOf(vs []float64, q float64) float64 {
	if len(vs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(vs))
	return sorted[int(q*float64(len(sorted)-1))]
}

func table(rs map[string]*simResult) string {
	var out strings.Builder
	for _, n := range slices.Sorted(func(yield func(string) bool) {
		for n := range rs {
			if !yield(n) {
				return
			}
		}
	}) {
		r := rs[n]
		fmt.Fprintf(&out, "%-10s asked %5d onTime %5d late %4d refused %5d; returned %4d served %4d; refused after p50 %.3f p95 %.3f p99 %.3f max %.3f of the objective; longest wait %s\n",
			n, r.asked, r.onTime, r.late, r.refused, r.returned, r.returnedServed,
			quantileOf(r.refusedAfter, 0.5), quantileOf(r.refusedAfter, 0.95), quantileOf(r.refusedAfter, 0.99), quantileOf(r.refusedAfter, 1), r.longestWait)
	}
	return out.String()
}

// rankedStreams are streams of three ranks at a rate in total, of which rank 0 has a
// third.
func rankedStreams(perSecond float64) []simStream {
	return []simStream{
		{name: "urgent", rank: 0, perSecond: perSecond * 0.3, objective: 80 * time.Millisecond, timeLimit: 500 * time.Millisecond, returns: true},
		{name: "middle", rank: 1, perSecond: perSecond * 0.5, objective: 150 * time.Millisecond, timeLimit: 800 * time.Millisecond, returns: true},
		{name: "low", rank: 2, perSecond: perSecond * 0.2, objective: 300 * time.Millisecond, timeLimit: 2 * time.Second, returns: true},
	}
}

// simKept is the share of the requests that must be served as promised where a rank keeps
// its objective or a count stays level; the rest is the tail of the service times.
const simKept = 0.95

// Capacity of the server of the simulations: 8 places at 20 ms, 400 requests a second.
const (
	simPlaces   = 8
	simService  = 20 * time.Millisecond
	simCapacity = 400.0
)

// TestNoShortageEveryRequestRuns guards against control that changes decisions while there
// is enough capacity.
func TestNoShortageEveryRequestRuns(t *testing.T) {
	g := NewGate(GateConfig{Base: 1})
	var ts []*Ticket
	for i := range 1000 {
		now := time.Duration(i) * time.Millisecond
		d := Demand{Route: "R", Rank: i % 3, ObjectiveAt: now - time.Second, DeadlineAt: now}
		assert.DeepEqual(t, g.Outlook(now, d), Outlook{Decision: DecisionRun})
		x := g.Enter(now, d)
		assert.Assert(t, x.Admitted())
		assert.Assert(t, x.Refusal() == nil)
		assert.DeepEqual(t, x.Outlook(), Outlook{Decision: DecisionRun})
		ts = append(ts, x)
	}
	s := g.State(time.Second)
	assert.Equal(t, s.InFlight, 1000)
	assert.Equal(t, s.Waiting, 0)
	assert.Equal(t, s.Refused, uint64(0))
	assert.Assert(t, !s.Limited && s.Places == 0 && !g.Shortage(time.Second))
	for _, x := range ts {
		g.Leave(time.Second, x, Completion{Took: time.Millisecond, Covered: true})
	}
	assert.Equal(t, g.State(time.Second).InFlight, 0)
}

// TestTwiceTheCapacityUrgentRankKeepsItsObjective guards against an order that makes urgent
// requests wait for others.
func TestTwiceTheCapacityUrgentRankKeepsItsObjective(t *testing.T) {
	rs := simulate(simLoad{places: 2 * simPlaces, service: simService, streams: rankedStreams(4 * simCapacity), lasts: 6 * time.Second}, time.Second, 5*time.Second)
	t.Logf("\n%s", table(rs))
	u := rs["urgent"]
	assert.Assert(t, float64(u.onTime) >= simKept*float64(u.asked), "%d of %d", u.onTime, u.asked)
}

// stepStreams are streams at the knee of the load curve, multiplied from the second to the
// seventh second. A third of the callers retry at once.
func stepStreams(factor float64) []simStream {
	var out []simStream
	for _, x := range rankedStreams(simCapacity) {
		x.burst, x.burstFrom, x.burstUntil = factor, 2*time.Second, 7*time.Second
		y := x
		x.perSecond *= 2.0 / 3
		y.perSecond /= 3
		y.name, y.returns, y.impatient = x.name+"!", false, true
		out = append(out, x, y)
	}
	return out
}

// TestSevenTimesTheCapacityForFiveSeconds guards against congestion collapse: fewer answers
// within the objective than at the knee, late refusals, and requests that wait in vain.
func TestSevenTimesTheCapacityForFiveSeconds(t *testing.T) {
	knee := total(simulate(simLoad{places: simPlaces, service: simService, streams: stepStreams(1), lasts: 10 * time.Second}, 2*time.Second, 7*time.Second))
	rs := simulate(simLoad{places: simPlaces, service: simService, streams: stepStreams(7), lasts: 10 * time.Second}, 2*time.Second, 7*time.Second)
	all := total(rs)
	t.Logf("within the objective %d, at the knee %d\n%s", all.onTime, knee.onTime, table(rs))
	// lateShare of the admissions go to late requests by design.
	assert.Assert(t, float64(all.onTime) >= (1-lateShare)*float64(knee.onTime), "%d, %d at the knee", all.onTime, knee.onTime)
	inTime := 0
	for _, x := range all.refusedAfter {
		if x <= 0.1 {
			inTime++
		}
	}
	share := float64(inTime) / float64(len(all.refusedAfter))
	t.Logf("%.4f of %d refusals within a tenth of the objective", share, len(all.refusedAfter))
	assert.Assert(t, share >= simKept, "%.4f", share)
	for n, r := range rs {
		limit := limitOf(n)
		assert.Assert(t, r.longestWait <= limit/lateHoldDivisor, "%s: %s", n, r.longestWait)
	}
}

// limitOf returns the time limit of a stream of stepStreams.
func limitOf(name string) time.Duration {
	for _, x := range rankedStreams(1) {
		if strings.HasPrefix(name, x.name) {
			return x.timeLimit
		}
	}
	return 0
}

// TestOneRankAloneAtEightTimes guards against a rank that takes the capacity of the others.
func TestOneRankAloneAtEightTimes(t *testing.T) {
	for flooded := range 3 {
		t.Run(fmt.Sprint("rank ", flooded), func(t *testing.T) {
			streams := rankedStreams(0.8 * simCapacity)
			streams[flooded].perSecond *= 8
			rs := simulate(simLoad{places: simPlaces, service: simService, streams: streams, lasts: 5 * time.Second}, time.Second, 4*time.Second)
			t.Logf("\n%s", table(rs))
			assertNoRankStarves(t, rs)
			if u := rs["urgent"]; flooded > 0 {
				assert.Assert(t, float64(u.onTime) >= simKept*float64(u.asked), "%d of %d", u.onTime, u.asked)
			}
		})
	}
}

// assertNoRankStarves checks that each rank is served at no less than a quarter of the rate
// of all.
func assertNoRankStarves(t *testing.T, rs map[string]*simResult) {
	t.Helper()
	all := total(rs).served()
	for n, r := range rs {
		assert.Assert(t, r.served() >= all/4, "%s: %.3f, all %.3f", n, r.served(), all)
	}
}

// TestNoRankStarvesInUnevenMixes guards against turns for lower ranks that are too few, or
// that go to one of them.
func TestNoRankStarvesInUnevenMixes(t *testing.T) {
	for _, mix := range [][3]float64{{6, 2, 2}, {3, 1, 8}, {3, 8, 1}, {12, 0.5, 0.5}, {1, 6, 6}} {
		t.Run(fmt.Sprint(mix), func(t *testing.T) {
			streams := rankedStreams(1)
			for i := range streams {
				streams[i].perSecond = mix[i] * simCapacity
			}
			rs := simulate(simLoad{places: simPlaces, service: simService, streams: streams, lasts: 4 * time.Second}, time.Second, 3*time.Second)
			t.Logf("\n%s", table(rs))
			assertNoRankStarves(t, rs)
		})
	}
}

// TestOrdersAtOneAndAFifthTwiceAndSevenTimes compares the order of admission with others, to guard
// against an order that answers fewer requests within their objective.
func TestOrdersAtOneAndAFifthTwiceAndSevenTimes(t *testing.T) {
	byDeadline := func(t *Ticket, _ bool) queuePosition {
		return queuePosition{at: t.demand.DeadlineAt, number: t.number}
	}
	byArrival := func(t *Ticket, _ bool) queuePosition { return queuePosition{at: t.enteredAt, number: t.number} }
	lastFirst := func(t *Ticket, _ bool) queuePosition {
		return queuePosition{at: -t.enteredAt, number: -t.number}
	}
	orders := []struct {
		name  string
		order queueOrder
	}{{"by rank and objective", byObjective}, {"by time limit", byDeadline}, {"first come first served", byArrival}, {"last come first served", lastFirst}}
	for _, factor := range []float64{1.2, 2, 7} {
		t.Run(fmt.Sprintf("%.1f times", factor), func(t *testing.T) {
			var onTime, urgent, served []float64
			lasts := time.Duration((2 + 4/factor) * float64(time.Second))
			for _, o := range orders {
				rs := simulate(simLoad{places: simPlaces, service: simService, streams: rankedStreams(factor * simCapacity), lasts: lasts, order: o.order}, time.Second, lasts-time.Second)
				all, u := total(rs), rs["urgent"]
				onTime, urgent = append(onTime, float64(all.onTime)), append(urgent, float64(u.onTime)/float64(u.asked))
				served = append(served, u.served())
				t.Logf("%-25s within the objective %5d, late %5d, refused %5d; urgent within the objective %.3f; served %.3f, %.3f, %.3f",
					o.name, all.onTime, all.late, all.refused, urgent[len(urgent)-1], u.served(), rs["middle"].served(), rs["low"].served())
			}
			// The chosen order gives late requests their share.
			assert.Check(t, onTime[0] >= (1-lateShare)*slices.Max(onTime), "%v", onTime)
			assert.Check(t, urgent[0] >= simKept*slices.Max(urgent), "%v", urgent)
			assert.Check(t, served[0] >= simKept*slices.Max(served), "%v", served)
		})
	}
}

// newBusyGate returns a gate whose places are all taken, with the tickets that hold them.
// 1,000 requests have left in the last second, 1 ms apart, after 10 ms each.
func newBusyGate(places int, c GateConfig) (*Gate, []*Ticket, time.Duration) {
	c.Base = places
	g := NewGate(c)
	now := time.Duration(0)
	d := Demand{Route: "R", ObjectiveAt: time.Minute, DeadlineAt: time.Minute}
	for range 1000 {
		now += time.Millisecond
		g.Leave(now, g.Enter(now, d), Completion{Took: 10 * time.Millisecond, Covered: true})
	}
	var held []*Ticket
	for range places {
		held = append(held, g.Enter(now, d))
	}
	fixPlaces(g, places)
	return g, held, now
}

// demandAt is a request with an objective of 100 ms and a time limit of 1 s.
func demandAt(now time.Duration, rank int) Demand {
	return Demand{Route: "R", Rank: rank, ObjectiveAt: now + 100*time.Millisecond, DeadlineAt: now + time.Second}
}

// TestFullGateDecidesByExpectedWait guards against requests that wait although they can't be
// answered, and against refusals of those that can, even if late.
func TestFullGateDecidesByExpectedWait(t *testing.T) {
	g, held, now := newBusyGate(10, GateConfig{})
	counts := map[Decision]int{}
	for range 400 {
		d := demandAt(now, 0)
		o := g.Outlook(now, d)
		x := g.Enter(now, d)
		assert.DeepEqual(t, o, x.Outlook())
		counts[o.Decision]++
		assert.Equal(t, x.Refusal() != nil, o.Decision == DecisionRefuse)
		assert.Assert(t, !x.Admitted())
		if x.Refusal() == nil {
			assert.Assert(t, x.CheckAt() > now && x.CheckAt() <= now+100*time.Millisecond/8)
		}
	}
	ranks := len(g.queue.ranks)
	g.Outlook(now, demandAt(now, 7))
	assert.Equal(t, len(g.queue.ranks), ranks)
	s := g.State(now)
	assert.Equal(t, s.Waiting, counts[DecisionWait]+counts[DecisionLate])
	assert.Equal(t, s.WaitingByRank[0], s.Waiting)
	assert.Equal(t, s.Refused, uint64(counts[DecisionRefuse]))
	// 1,000 places a second: 90 of them before the last start that meets the objective. Late
	// first attempts get a sixteenth of the places for three quarters of a tenth of the
	// objective.
	assert.Assert(t, counts[DecisionWait] >= 75 && counts[DecisionWait] <= 95, "%v", counts)
	assert.Assert(t, counts[DecisionLate] <= 1, "%v", counts)
	late := 0
	for range 400 {
		d := demandAt(now-200*time.Millisecond, 0)
		d.Spent = 200 * time.Millisecond
		if g.Enter(now, d).Outlook().Decision == DecisionLate {
			late++
		}
	}
	// Those that returned get a sixteenth of the places for three quarters of a quarter of
	// 0.8 s.
	assert.Assert(t, late >= 7 && late <= 10, "%d", late)
	s = g.State(now)
	g.Leave(now, held[0], Completion{Took: 10 * time.Millisecond, Covered: true})
	assert.Equal(t, g.State(now).Waiting, s.Waiting-1)
	assert.Equal(t, g.State(now).InFlight, 10)
}

// TestPausedHostRefusesWhatIsPast guards against requests that start after a pause although
// nobody waits for their answer any more.
func TestPausedHostRefusesWhatIsPast(t *testing.T) {
	g, held, now := newBusyGate(10, GateConfig{})
	var ts []*Ticket
	for range 50 {
		ts = append(ts, g.Enter(now, demandAt(now, 0)))
	}
	now += 5 * time.Second
	g.Leave(now, held[0], Completion{Took: 5 * time.Second, Covered: true})
	for _, x := range ts {
		g.Check(now, x)
		assert.Assert(t, decided(x) && !x.Admitted())
		assert.Assert(t, x.Refusal().RetryAfter >= minReturnTime)
	}
	assert.Equal(t, g.State(now).Waiting, 0)
	assert.Equal(t, g.State(now).InFlight, 9)
	assert.Assert(t, g.Enter(now, demandAt(now, 0)).Admitted(), "a new request finds the free place")
}

// TestPauseOfASecondAtTwiceTheCapacity guards against a queue that stays long and late after
// the host was paused.
func TestPauseOfASecondAtTwiceTheCapacity(t *testing.T) {
	l := simLoad{places: simPlaces, service: simService, streams: rankedStreams(2 * simCapacity), lasts: 6 * time.Second}
	steady := total(simulate(l, 3500*time.Millisecond, 5*time.Second))
	l.pauseFrom, l.pauseFor = 2*time.Second, time.Second
	after := total(simulate(l, 3500*time.Millisecond, 5*time.Second))
	t.Logf("within the objective %d, without a pause %d", after.onTime, steady.onTime)
	assert.Assert(t, float64(after.onTime) >= 0.9*float64(steady.onTime))
}

// TestLateRequestIsHeldForAQuarterOfItsTime guards against late requests that wait for their
// time limit.
func TestLateRequestIsHeldForAQuarterOfItsTime(t *testing.T) {
	g, _, now := newBusyGate(10, GateConfig{})
	d := demandAt(now, 0)
	d.ObjectiveAt, d.Spent = now, 100*time.Millisecond
	x := g.Enter(now, d)
	assert.Equal(t, x.Outlook().Decision, DecisionLate)
	for at := x.CheckAt(); !decided(x); at = x.CheckAt() {
		assert.Assert(t, at <= now+250*time.Millisecond, "%s", at-now)
		fixPlaces(g, 5)
		g.Check(at, x)
	}
	assert.Assert(t, x.Refusal() != nil)
}

// TestLateFirstAttemptIsRefusedEarly guards against refusals that come too late for another
// attempt to help: 3.3 objectives after the request, while late first attempts waited for a
// quarter of their time limit.
func TestLateFirstAttemptIsRefusedEarly(t *testing.T) {
	g, _, now := newBusyGate(10, GateConfig{})
	var ts []*Ticket
	for range 400 {
		ts = append(ts, g.Enter(now, demandAt(now, 0)))
	}
	late := slices.DeleteFunc(ts, func(x *Ticket) bool { return x.Outlook().Decision != DecisionLate })
	fixPlaces(g, 5)
	for _, x := range late {
		for at := x.CheckAt(); !decided(x); at = x.CheckAt() {
			assert.Assert(t, at <= now+20*time.Millisecond, "%s", at-now)
			g.Check(at, x)
		}
	}
}

// TestCallerReturningAsToldGoesFirst guards against callers that retry as they were told and
// find that requests which came later are admitted before them.
func TestCallerReturningAsToldGoesFirst(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name  string
		spent time.Duration
		late  bool
	}{
		{"within its objective", 60 * ms, false},
		{"after its objective", 200 * ms, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, held, now := newBusyGate(10, GateConfig{})
			var earlier []*Ticket
			for range 20 {
				earlier = append(earlier, g.Enter(now, demandAt(now, 0)))
			}
			if tt.late {
				earlier = []*Ticket{enterLate(t, g, now)}
			}
			d := demandAt(now-tt.spent, 0)
			d.Spent = tt.spent
			x := g.Enter(now, d)
			assert.Equal(t, x.Outlook().Decision == DecisionLate, tt.late)
			g.Leave(now, held[0], Completion{Took: 10 * ms, Covered: true})
			assert.Assert(t, x.Admitted())
			for _, o := range earlier {
				assert.Assert(t, !decided(o))
			}
		})
	}
}

// enterLate has first attempts arrive until one waits as a late one, and returns it.
func enterLate(t *testing.T, g *Gate, now time.Duration) *Ticket {
	t.Helper()
	for range 1000 {
		d := demandAt(now, 0)
		d.ObjectiveAt = now + 300*time.Millisecond
		if x := g.Enter(now, d); x.Outlook().Decision == DecisionLate {
			return x
		}
	}
	t.Fatal("no late request waits")
	return nil
}

// TestCallersReturningAsToldAfterABurstOfThreeTimes guards against a schedule of returns at
// times when there is no place: refused callers come back to be refused again. The excess of
// the burst fits into the longest time that callers are told.
func TestCallersReturningAsToldAfterABurstOfThreeTimes(t *testing.T) {
	streams := rankedStreams(0.5 * simCapacity)
	for i := range streams {
		streams[i].burst, streams[i].burstFrom, streams[i].burstUntil = 3, 2*time.Second, 2200*time.Millisecond
	}
	rs := simulate(simLoad{places: simPlaces, service: simService, streams: streams, lasts: 5 * time.Second}, 2*time.Second, 2200*time.Millisecond)
	all := total(rs)
	t.Logf("\n%s", table(rs))
	assert.Assert(t, float64(all.returnedServed) >= 0.75*float64(all.returned), "%d of %d", all.returnedServed, all.returned)
}

// TestCallerLeavesWhileWaitingOrAdmitted guards against places and queue entries that are
// kept for callers that left.
func TestCallerLeavesWhileWaitingOrAdmitted(t *testing.T) {
	g, held, now := newBusyGate(2, GateConfig{})
	gone, next := g.Enter(now, demandAt(now, 0)), g.Enter(now, demandAt(now, 0))
	g.Abandon(now, gone)
	g.Abandon(now, gone)
	assert.Equal(t, g.State(now).Waiting, 1)
	g.Abandon(now, held[0])
	assert.Assert(t, next.Admitted(), "the place of the caller that left is free")
	assert.Assert(t, !decided(gone))
	g.Check(now, gone)
	g.Leave(now, held[0], Completion{})
	g.Abandon(now, held[0])
	assert.Assert(t, !decided(gone))
	assert.Equal(t, g.State(now).InFlight, 2)
	g.Abandon(now, next)
	g.Leave(now, held[1], Completion{})
	assert.Equal(t, g.State(now).InFlight, 0)
}

// TestTicketIsDecidedOnce guards against a ticket that is admitted and refused, or counted
// twice, when events race. A second decision would close its channel twice.
func TestTicketIsDecidedOnce(t *testing.T) {
	g, held, started := newBusyGate(4, GateConfig{Random: rand.New(rand.NewPCG(simSeed, 2))})
	var clock atomic.Int64
	clock.Store(int64(started))
	now := func() time.Duration { return time.Duration(clock.Add(int64(20 * time.Microsecond))) }
	for _, x := range held {
		g.Leave(now(), x, Completion{Took: time.Millisecond, Covered: true})
	}
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := range 500 {
				fixPlaces(g, 4)
				x := g.Enter(now(), demandAt(now(), i%3))
				var inner sync.WaitGroup
				inner.Go(func() { g.Check(now(), x) })
				inner.Go(func() { g.Check(x.CheckAt(), x) })
				if (i+w)%5 == 0 {
					inner.Go(func() { g.Abandon(now(), x) })
				}
				inner.Wait()
				if x.Admitted() {
					assert.Check(t, x.Refusal() == nil)
				}
				g.Leave(now(), x, Completion{Took: time.Millisecond, Covered: true})
				g.Abandon(now(), x)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, g.State(now()).InFlight, 0)
	assert.Equal(t, g.State(now()).Waiting, 0)
}

// ledgerOf is a ledger with one caller that uses more than its share.
type ledgerOf struct {
	over  netip.Addr
	calls []string
}

var _ callerLedger = (*ledgerOf)(nil)

func (l *ledgerOf) admitted(time.Duration, netip.Addr) { l.calls = append(l.calls, "admitted") }

func (l *ledgerOf) refused(now time.Duration, _ netip.Addr, until time.Duration) {
	l.calls = append(l.calls, fmt.Sprint("refused ", until > now))
}

func (l *ledgerOf) overShare(_ time.Duration, a netip.Addr) bool { return a == l.over }

// TestCallerOverItsShareGoesLast guards against a caller with many requests that makes the
// others wait, and against a refusal for that reason alone.
func TestCallerOverItsShareGoesLast(t *testing.T) {
	l := &ledgerOf{over: netip.MustParseAddr("192.0.2.1")}
	g, held, now := newBusyGate(2, GateConfig{Callers: l})
	enter := func(a string) *Ticket {
		d := demandAt(now, 0)
		d.Caller = netip.MustParseAddr(a)
		now += time.Microsecond
		return g.Enter(now, d)
	}
	over, steady := enter("192.0.2.1"), enter("192.0.2.2")
	g.Leave(now, held[0], Completion{Took: time.Millisecond, Covered: true})
	assert.Assert(t, steady.Admitted() && !decided(over))
	g.Leave(now, held[1], Completion{Took: time.Millisecond, Covered: true})
	assert.Assert(t, over.Admitted())
	assert.DeepEqual(t, l.calls, []string{"admitted", "admitted"})
	for x := enter("192.0.2.2"); x.Refusal() == nil; x = enter("192.0.2.2") {
		assert.Assert(t, len(l.calls) == 2)
	}
	assert.DeepEqual(t, l.calls, []string{"admitted", "admitted", "refused true"})
}

// TestOrderOfWaitingRequests guards against faults in the sorted queue, by comparing it with
// a queue that is sorted at each step.
func TestOrderOfWaitingRequests(t *testing.T) {
	r := rand.New(rand.NewPCG(simSeed, 3))
	q := gateQueue{ranks: map[int]*rankCounts{}}
	var all []*Ticket
	for i := range 5000 {
		if len(all) > 0 && r.IntN(5) < 2 {
			j := r.IntN(len(all))
			q.remove(all[j])
			all = slices.Delete(all, j, j+1)
		} else {
			x := &Ticket{number: uint64(i), overShare: r.IntN(4) == 0, demand: Demand{
				Rank: r.IntN(4), ObjectiveAt: time.Duration(r.IntN(50)), Spent: time.Duration(r.IntN(2)) * time.Second,
			}}
			x.late = r.IntN(2) == 0
			x.position = byObjective(x, x.late)
			q.insert(x)
			all = append(all, x)
		}
		slices.SortFunc(all, func(a, b *Ticket) int { return a.position.compare(b.position) })
		assert.Assert(t, slices.Equal(q.waiting, all))
		if len(all) == 0 || i%50 != 0 {
			continue
		}
		assertCounts(t, &q, all, r.IntN(len(all)))
	}
}

// assertCounts compares the searches in the queue with counts of its tickets.
func assertCounts(t *testing.T, q *gateQueue, all []*Ticket, i int) {
	t.Helper()
	x := all[i]
	late, like := 0, x
	byRank := map[int]int{}
	for j, o := range all {
		if o.late && j < i {
			late++
		}
		if o.demand.Rank == x.demand.Rank && o.late == x.late {
			like = o
		}
		byRank[o.demand.Rank]++
	}
	assert.Equal(t, q.before(x.position), i)
	assert.Equal(t, q.lateBefore(x.position), late)
	assert.Assert(t, q.lastLike(x) == like)
	assert.DeepEqual(t, q.waitingByRank(), byRank)
	first := slices.IndexFunc(all, func(o *Ticket) bool { return o.late })
	assert.Equal(t, q.firstLate(), max(first, 0))
}

// TestSharesOfLowerRanksAndLateRequests guards against lower ranks or late requests that get
// fewer admissions than their share, or more while more urgent requests wait.
func TestSharesOfLowerRanksAndLateRequests(t *testing.T) {
	g, held, now := newBusyGate(10, GateConfig{})
	n := uint64(0)
	for rank := range 3 {
		for range 2000 {
			n++
			late := rank == 0 && n%2 == 0
			x := &Ticket{gate: g, number: n, demand: demandAt(now, rank), state: ticketWaiting, late: late, decided: make(chan struct{})}
			x.demand.ObjectiveAt, x.demand.DeadlineAt, x.lateUntil = now+time.Hour, now+time.Hour, now+time.Hour
			x.position = byObjective(x, late)
			g.queue.insert(x)
			g.queue.counts(rank).arrived.add(now, rankWindow, 1)
		}
	}
	all := slices.Clone(g.queue.waiting)
	g.inTimeAt = now
	for _, x := range held {
		g.free(x)
	}
	for range 800 {
		now += time.Millisecond
		g.inTimeAt = now
		g.mu.Lock()
		g.admitWaiting(now)
		for _, x := range all {
			if x.state == ticketAdmitted {
				g.free(x)
				x.state = "Counted"
			}
		}
		g.inFlight = 9
		g.mu.Unlock()
	}
	byRank, late := map[int]int{}, 0
	for _, x := range all {
		if x.state != "Counted" {
			continue
		}
		byRank[x.demand.Rank]++
		if x.late {
			late++
		}
	}
	// Within one admission of the start of each budget, which is empty.
	near := func(got, want, off int) {
		assert.Check(t, got >= want-off && got <= want+off, "%v, %d late", byRank, late)
	}
	near(byRank[1], 100, 2)
	near(byRank[2], 100, 2)
	near(late, 50, 2)
}

// TestExpectedRunIsTheQuantileOfTheLatestRuns guards against an expected time that follows a
// change too slowly, or the shortest runs only.
func TestExpectedRunIsTheQuantileOfTheLatestRuns(t *testing.T) {
	const ms = time.Millisecond
	c := coverageTimes{}
	assert.Equal(t, c.quantile(), time.Duration(0))
	for range 1000 {
		c.record(Completion{Took: 10 * ms, Covered: true})
	}
	assert.Equal(t, c.quantile(), 10*ms)
	for i := range coverageTimeSamples {
		c.record(Completion{Took: time.Duration(i+1) * 10 * ms, Covered: true})
	}
	assert.Equal(t, c.quantile(), 250*ms)
	c.record(Completion{Took: 20 * ms})
	assert.Equal(t, c.quantile(), 250*ms, "a run that failed early says nothing")
	for range coverageTimeSamples {
		c.record(Completion{Took: 400 * ms})
	}
	assert.Equal(t, c.quantile(), 400*ms, "a run without coverage would have taken longer")
}

// TestGateMemoryIsBounded guards against a gate that keeps the times of all routes ever seen.
func TestGateMemoryIsBounded(t *testing.T) {
	g := NewGate(GateConfig{Base: 1})
	for i := range 1000 {
		x := g.Enter(0, Demand{Route: fmt.Sprint(i)})
		g.Leave(0, x, Completion{Took: time.Millisecond, Covered: true})
	}
	assert.Assert(t, len(g.expected) <= maxGateRoutes)
}

func BenchmarkEnterWithoutShortage(b *testing.B) {
	g := NewGate(GateConfig{Base: 1})
	d := Demand{Route: "R", ObjectiveAt: time.Second, DeadlineAt: time.Second}
	for b.Loop() {
		g.Leave(0, g.Enter(0, d), Completion{Took: time.Millisecond, Covered: true})
	}
}

// BenchmarkEnterWithThousandsWaiting measures an admission and an arrival while 4,000
// requests of two ranks wait.
func BenchmarkEnterWithThousandsWaiting(b *testing.B) {
	g, _, now := newBusyGate(10, GateConfig{})
	d := Demand{Route: "R", ObjectiveAt: now + time.Hour, DeadlineAt: now + time.Hour}
	var ts []*Ticket
	for i := range 4000 {
		d.Rank = i % 2
		ts = append(ts, g.Enter(now, d))
	}
	assert.Equal(b, g.State(now).Waiting, 4000)
	for b.Loop() {
		g.Abandon(now, ts[0])
		ts = append(ts[1:], g.Enter(now, d))
	}
}
