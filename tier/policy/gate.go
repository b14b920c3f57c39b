package policy

import (
	"slices"
	"sync"
	"time"
)

// Gate admits requests for one set of groups.
type Gate struct {
	mu       sync.Mutex
	room     roomLimit
	queue    []*Ticket
	inFlight int
	grants   int
	// expected is the smoothed time from admission to coverage of each route.
	expected map[string]time.Duration
	counts   [4]int
	refused  uint64
	returnAt time.Duration
}

// Ticket is one request at one gate.
type Ticket struct {
	Demand   Demand
	admitted bool
	left     bool
	late     bool
	refusal  *Refusal
	decided  chan struct{}
	checkAt  time.Duration
	entered  time.Duration
	outlook  Outlook
}

func (t *Ticket) Admitted() bool           { return t.admitted }
func (t *Ticket) Decided() <-chan struct{} { return t.decided }
func (t *Ticket) Refusal() *Refusal        { return t.refusal }
func (t *Ticket) CheckAt() time.Duration   { return t.checkAt }

// Outlook returns what Enter decided about the request.
func (t *Ticket) Outlook() Outlook { return t.outlook }

// GateConfig configures a gate.
type GateConfig struct {
	// Base is this host's share of the places; at least 1.
	Base int
}

func NewGate(c GateConfig) *Gate {
	return &Gate{room: newRoomLimit(c.Base), expected: map[string]time.Duration{}}
}

func (g *Gate) SetBase(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.setBase(n)
}

func (g *Gate) admit(t *Ticket) {
	g.inFlight++
	if t.outlook.Decision == "" {
		t.outlook.Decision = DecisionRun
	}
	t.admitted = true
	close(t.decided)
}

func (g *Gate) refuse(now time.Duration, t *Ticket, reason string) {
	left := t.Demand.DeadlineAt - now
	at := max(g.returnAt, now+time.Duration(float64(len(g.queue))/g.room.throughput()*1e9))
	at += time.Duration(1e9 / g.room.throughput())
	g.returnAt = at
	g.refused++
	t.refusal = &Refusal{Reason: reason, RetryAfter: max(min(at-now, left/3), 20*time.Millisecond)}
	close(t.decided)
}

const (
	orderLateShare = 8
	orderLowShare  = 4
)

func (g *Gate) Enter(now time.Duration, d Demand) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{Demand: d, decided: make(chan struct{}), entered: now}
	g.room.setObjective(d.ObjectiveAt + d.Spent - now)
	g.room.tick(now, g.inFlight)
	limit, limited := g.room.places()
	if !limited || g.inFlight < limit && len(g.queue) == 0 {
		g.admit(t)
		g.admitNext(now)
		return t
	}
	g.room.period.used = true
	g.room.pressedAt = now
	rate := g.room.throughput()
	ahead := 0
	for _, o := range g.queue {
		if less(o, t) {
			ahead++
		}
	}
	wait := time.Duration(float64(ahead+1) / rate * 1e9)
	t.outlook = Outlook{Decision: DecisionWait, Wait: wait, Ahead: ahead}
	if now+wait+g.expected[d.Route] > d.ObjectiveAt {
		t.late = true
		ahead = 0
		for _, o := range g.queue {
			if o.late && less(o, t) {
				ahead++
			}
		}
		wait = time.Duration(float64(ahead+1) / rate * orderLateShare * 1e9)
		t.outlook = Outlook{Decision: DecisionLate, Wait: wait, Ahead: ahead}
		if wait > (d.DeadlineAt-now)/4 {
			g.refuse(now, t, "no room")
			return t
		}
	}
	t.checkAt = now + wait
	if !t.late {
		t.checkAt = d.ObjectiveAt - g.expected[d.Route]
	} else {
		t.checkAt = now + (d.DeadlineAt-now)/4
	}
	g.queue = append(g.queue, t)
	return t
}

func less(a, b *Ticket) bool {
	if a.Demand.Rank != b.Demand.Rank {
		return a.Demand.Rank < b.Demand.Rank
	}
	if a.late != b.late {
		return !a.late
	}
	return a.Demand.ObjectiveAt < b.Demand.ObjectiveAt
}

func (g *Gate) admitNext(now time.Duration) {
	for len(g.queue) > 0 {
		limit, limited := g.room.places()
		if limited && g.inFlight >= limit {
			return
		}
		slices.SortStableFunc(g.queue, func(a, b *Ticket) int {
			if less(a, b) {
				return -1
			}
			if less(b, a) {
				return 1
			}
			return 0
		})
		g.grants++
		i := 0
		if g.grants%orderLateShare == 0 {
			if j := slices.IndexFunc(g.queue, func(t *Ticket) bool { return t.late }); j >= 0 {
				i = j
			}
		} else if g.grants%orderLowShare == 0 {
			if j := slices.IndexFunc(g.queue, func(t *Ticket) bool { return t.Demand.Rank > g.queue[0].Demand.Rank }); j >= 0 {
				i = j
			}
		}
		t := g.queue[i]
		g.queue = slices.Delete(g.queue, i, i+1)
		if t.left {
			continue
		}
		g.admit(t)
	}
}

func (g *Gate) Check(now time.Duration, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.admitted || t.refusal != nil {
		return
	}
	g.room.tick(now, g.inFlight)
	g.admitNext(now)
	if t.admitted {
		return
	}
	if i := slices.Index(g.queue, t); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
	}
	g.refuse(now, t, "no room in time")
}

func (g *Gate) Abandon(now time.Duration, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.left = true
	if i := slices.Index(g.queue, t); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
	}
	if t.admitted {
		g.inFlight--
		g.admitNext(now)
	}
}

func (g *Gate) Leave(now time.Duration, t *Ticket, c Completion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.left {
		return
	}
	t.left = true
	g.inFlight--
	g.room.period.ended++
	if c.Covered {
		e := g.expected[t.Demand.Route]
		if e == 0 {
			e = c.Took
		}
		g.expected[t.Demand.Route] = e + (c.Took-e)/10
	}
	g.room.tick(now, g.inFlight)
	g.admitNext(now)
}

func (g *Gate) ObserveCall(now time.Duration, o CallOutcome, l Load, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.observeCall(o, l, took)
}

func (g *Gate) Shortage(time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, limited := g.room.places()
	return limited
}

// Decision is what a gate decided about a request.
type Decision string

const (
	// DecisionRun means that the request may start.
	DecisionRun Decision = "Run"
	// DecisionWait means that it waits and is expected to meet its objective.
	DecisionWait Decision = "Wait"
	// DecisionLate means that it waits and is expected to be answered after its objective.
	DecisionLate Decision = "Late"
	// DecisionRefuse means that it is refused.
	DecisionRefuse Decision = "Refuse"
)

// Outlook is a decision and what it is based on.
type Outlook struct {
	Decision Decision
	// Wait is the expected wait, Ahead the number of requests ahead.
	Wait  time.Duration
	Ahead int
}

// ShortageReason is the sign of a shortage.
type ShortageReason string

const (
	// ShortageQueues means that calls wait too long in the queues of the upstreams.
	ShortageQueues ShortageReason = "Queues"
	// ShortageShed means that upstreams shed too many calls.
	ShortageShed ShortageReason = "Shed"
	// ShortageHost means that this host takes too long.
	ShortageHost ShortageReason = "Host"
)

// GateState describes a gate for operators.
type GateState struct {
	// Base is this host's share of the places, Places the limit; 0 without one.
	Base, Places int
	Limited      bool
	Reason       ShortageReason
	// InFlight and Waiting count requests.
	InFlight, Waiting int
	WaitingByRank     map[int]int
	// Refused counts the requests refused since the gate exists.
	Refused uint64
	// PerSecond is the number of requests that leave in a second.
	PerSecond float64
	// Service is the service time of one call.
	Service time.Duration
}

// State describes the gate.
func (g *Gate) State(time.Duration) GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GateState{
		Base: g.room.base, Places: int(g.room.limit), Limited: g.room.limit > 0, Reason: g.room.reason,
		InFlight: g.inFlight, Waiting: len(g.queue), Refused: g.refused, PerSecond: g.room.perSecond, Service: g.room.service,
	}
}
