package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// enterFor has a request of a rank arrive whose first attempt came some time ago.
func enterFor(g *Gate, now time.Duration, rank int, spent time.Duration) *Ticket {
	d := demandAt(now-spent, rank)
	d.Route, d.Spent = "Settled", spent
	return g.Enter(now, d)
}

// TestWaitingRequestIsRefusedEarlyOrNotAtAll guards against callers that are told to wait and
// are refused after most of their objective, because places become free more slowly than
// expected or because retries, which have an earlier objective, go before them.
func TestWaitingRequestIsRefusedEarlyOrNotAtAll(t *testing.T) {
	const ms = time.Millisecond
	g, held, now := newBusyGate(10, GateConfig{})
	start := now
	type waiting struct {
		t  *Ticket
		at time.Duration
	}
	var all []waiting
	refused := 0
	for step := range 120 {
		now = start + time.Duration(step)*ms
		fixPlaces(g, 10)
		spent := time.Duration(0)
		if step%3 == 0 {
			spent = 30 * ms
		}
		if step < 80 {
			all = append(all, waiting{enterFor(g, now, 0, spent), now}, waiting{enterFor(g, now, 0, 0), now})
		}
		if step%3 == 0 && len(held) > 0 {
			g.Leave(now, held[0], Completion{Took: 10 * ms, Covered: true})
			held = held[1:]
		}
		open := all[:0]
		for _, w := range all {
			if !decided(w.t) && now >= w.t.CheckAt() {
				g.Check(now, w.t)
			}
			switch {
			case !decided(w.t):
				open = append(open, w)
			case w.t.Admitted():
				held = append(held, w.t)
			default:
				refused++
				assert.Check(t, now-w.at <= 10*ms, "refused after %s, %s", now-w.at, w.t.Outlook().Decision)
			}
		}
		all = open
	}
	assert.Assert(t, refused > 50, "%d", refused)
}

// TestSettledRequestKeepsItsTurn guards against a request that is to be served and behind which
// others go on arriving with earlier objectives.
func TestSettledRequestKeepsItsTurn(t *testing.T) {
	const ms = time.Millisecond
	g, held, now := newBusyGate(10, GateConfig{})
	first := enterFor(g, now, 0, 0)
	now += 10 * ms
	g.Check(now, first)
	assert.Assert(t, !decided(first) && first.settled)
	later := enterFor(g, now, 0, 50*ms)
	g.Leave(now, held[0], Completion{Took: 10 * ms, Covered: true})
	assert.Assert(t, first.Admitted() && !decided(later))
}

// TestOverdueRequestGoesFirst guards against late requests that are to be served and are
// refused because the urgent ones take every place.
func TestOverdueRequestGoesFirst(t *testing.T) {
	const ms = time.Millisecond
	g, held, now := newBusyGate(10, GateConfig{})
	late := enterFor(g, now, 1, 200*ms)
	assert.Equal(t, late.Outlook().Decision, DecisionLate)
	now += 10 * ms
	g.Check(now, late)
	assert.Assert(t, !decided(late) && late.settled)
	now += 80 * ms
	fixPlaces(g, 10)
	urgent := enterFor(g, now, 0, 0)
	g.late.left = -1
	g.Leave(now, held[0], Completion{Took: 10 * ms, Covered: true})
	assert.Equal(t, urgent.Admitted(), true, "it is not overdue yet")
	now = late.overdueAt()
	fixPlaces(g, 10)
	g.room.whole, g.room.period.startedAt = 10, now
	var waiting []*Ticket
	for range 3 {
		waiting = append(waiting, enterFor(g, now, 0, 0))
	}
	g.late.left = -1
	for _, x := range held[1:3] {
		g.Leave(now, x, Completion{Took: 10 * ms, Covered: true})
	}
	assert.Assert(t, late.Admitted() && !decided(waiting[2]))
}

// TestTimeAtOtherHostsCounts guards against a refusal that would be early by the time at the
// gate, but comes late because hosts held the request before.
func TestTimeAtOtherHostsCounts(t *testing.T) {
	const ms = time.Millisecond
	g, _, now := newBusyGate(10, GateConfig{})
	enterFor(g, now, 0, 0)
	for range 60 {
		g.Enter(now, demandAt(now, 0))
	}
	d := demandAt(now, 0)
	d.Route, d.ObjectiveAt = "Settled", now+95*ms
	x := g.Enter(now, d)
	assert.Assert(t, x.refuseBy == now+5*ms && !x.settled, "%s", x.refuseBy-now)
	d.ObjectiveAt = now + 80*ms
	x = g.Enter(now, d)
	assert.Assert(t, decided(x) || x.settled, "it is refused or settled when it comes")
	d.ObjectiveAt = now + 40*ms
	x = g.Enter(now, d)
	assert.Equal(t, x.refuseBy, now+4*ms, "a shorter objective is not time spent")
}
