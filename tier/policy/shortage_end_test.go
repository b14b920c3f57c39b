package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShortageEndsWhileLateRequestsWait guards against a limit that stays because late requests
// wait for their share or are refused, although half of the places are free.
func TestShortageEndsWhileLateRequestsWait(t *testing.T) {
	g := NewGate(GateConfig{Base: 1})
	fixPlaces(g, 10)
	const ms = time.Millisecond
	const start = 10 * time.Second
	now := start
	g.room.pressedAt = now
	type entry struct {
		t  *Ticket
		at time.Duration
	}
	var open []*entry
	for i := range 5000 {
		now += ms
		var keep []*entry
		for _, e := range open {
			if !decided(e.t) && now >= e.t.CheckAt() {
				g.Check(now, e.t)
			}
			if decided(e.t) && e.t.Refusal() != nil {
				continue
			}
			if decided(e.t) && e.at == 0 {
				e.at = now
			}
			if e.at > 0 && now-e.at >= 20*ms {
				g.Leave(now, e.t, Completion{Took: 20 * ms, Covered: true})
				continue
			}
			keep = append(keep, e)
		}
		open = keep
		if !g.limited() {
			assert.Assert(t, now-start <= shortageEnd+2*roomPeriod, "%s", now-start)
			return
		}
		assert.Assert(t, g.inFlight <= 8)
		if i%4 != 0 {
			continue
		}
		d := Demand{Route: "in time", ObjectiveAt: now + 100*ms, DeadlineAt: now + time.Second}
		switch k := (i / 4) % 4; {
		case k < 2:
			d = Demand{Route: "late", ObjectiveAt: now - 20*ms, DeadlineAt: now + time.Second, Spent: 100 * ms}
		case k == 2:
			d.Route, d.Rank = "low", 1
		}
		open = append(open, &entry{t: g.Enter(now, d)})
	}
	t.Fatal("the shortage did not end")
}
