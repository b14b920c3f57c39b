package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallerReturningAsToldIsServedAtAnotherGate guards against callers that come back at the
// time that one gate has assigned to them, to another one that knows nothing of it, and are
// refused again, since others that were told no such time wait there.
func TestCallerReturningAsToldIsServedAtAnotherGate(t *testing.T) {
	const ms = time.Millisecond
	type gateAt struct {
		g    *Gate
		held []*Ticket
	}
	var gates [2]gateAt
	var now time.Duration
	for i := range gates {
		gates[i].g, gates[i].held, now = newBusyGate(10, GateConfig{})
	}
	// demand is a request of a route with an objective of 100 ms and a time limit of 3 s.
	demand := func(at, spent time.Duration) Demand {
		return Demand{Route: "Told", ObjectiveAt: at - spent + 100*ms, DeadlineAt: at - spent + 3*time.Second, Spent: min(spent, 100*ms)}
	}
	told := time.Duration(0)
	for range 300 {
		gates[1].g.Enter(now, demand(now, 0))
		x := gates[0].g.Enter(now, demand(now, 0))
		if r := x.Refusal(); r != nil && told == 0 {
			told = r.RetryAfter
		}
	}
	assert.Assert(t, told >= 100*ms && told <= 700*ms, "%s", told)
	now += told + 6*ms
	g := gates[1].g
	fixPlaces(g, 10)
	g.room.whole, g.room.period.startedAt = 10, now
	for range 40 {
		g.Enter(now, demand(now, 950*ms))
	}
	x := g.Enter(now, demand(now, told+6*ms))
	assert.Equal(t, x.Outlook().Decision, DecisionLate)
	for !decided(x) && len(gates[1].held) > 0 {
		now = max(x.CheckAt(), now+ms)
		fixPlaces(g, 10)
		g.room.whole, g.room.period.startedAt = 10, now
		for range 5 {
			g.Enter(now, demand(now, 0))
		}
		g.Check(now, x)
		g.Leave(now, gates[1].held[0], Completion{Took: 10 * ms, Covered: true})
		gates[1].held = gates[1].held[1:]
	}
	assert.Assert(t, x.Admitted())
}

// TestNoPlaceIsAssigned tells a caller that returns to its place from others: one that retries
// at once, one that was told the longest time, and one that comes for the first time.
func TestNoPlaceIsAssigned(t *testing.T) {
	const ms = time.Millisecond
	g, _, now := newBusyGate(10, GateConfig{})
	at := func(spent time.Duration) Demand {
		return Demand{Route: "Told", ObjectiveAt: now - spent + 100*ms, DeadlineAt: now - spent + 3*time.Second, Spent: min(spent, 100*ms)}
	}
	first := at(0)
	g.Enter(now, first)
	for spent, want := range map[time.Duration]bool{
		0: false, 30 * ms: false, 99 * ms: false, 101 * ms: true, 500 * ms: true, 700 * ms: true, 910 * ms: false, 2 * time.Second: false,
	} {
		d := at(spent)
		assert.Equal(t, g.promised(now, &d), want, "%s", spent)
	}
}
