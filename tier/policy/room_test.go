package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowThird is the load of the design: upstreams with 2 slots and a queue of 12, of which
// three in ten take three times as long.
func slowThird() shortageConfig {
	return shortageConfig{
		hosts: 6, halls: 3, parts: 20, replicas: 3, slots: 2, queue: 12, service: 20 * time.Millisecond,
		slowShare: 0.3, slowFactor: 3, farDelay: 5 * time.Millisecond, objective: 300 * time.Millisecond, coverage: 0.95,
		overload: OverloadShortage,
	}
}

// TestLimitConvergesToCapacityWithThreeInTenSlow guards against limits that leave slots idle
// because some upstreams are slow, and against limits that fill the queues. The limit falls
// to 0.8 of the places in use, so that the slots of the bottleneck stay at least 0.8 busy.
//
// The requests that are in flight at the start end by their deadline of 2 s.
func TestLimitConvergesToCapacityWithThreeInTenSlow(t *testing.T) {
	const settle, span = 2500 * time.Millisecond, 3 * time.Second
	tests := []struct {
		name  string
		start float64
	}{{"from below", 1}, {"from above", 40}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := slowThird()
			c.startLimit = tt.start
			m := newShortageModel(t, c)
			f := m.measure(settle, span)
			t.Log(m.report(span))
			assert.Check(t, m.throughput(span) >= placesDecrease, "throughput")
			assert.Check(t, timeQuantile(f.took, 0.8) <= c.objective, "the 0.8 quantile is within the objective")
			assert.Check(t, f.shedShare() < 0.01, "hardly any calls are shed")
			assert.Check(t, m.limited() == c.hosts)
		})
	}
}

// TestLimitFollowsShedCallsWithoutLoadReports guards against unlimited requests to upstreams
// that report no load: the limit then follows the shed calls.
func TestLimitFollowsShedCallsWithoutLoadReports(t *testing.T) {
	const settle, span = 2 * time.Second, 3 * time.Second
	c := slowThird()
	c.noReports, c.startLimit = true, 40
	m := newShortageModel(t, c)
	f := m.measure(settle, span)
	t.Log(m.report(span))
	assert.Check(t, f.shedShare() <= shortageShedShare)
	assert.Check(t, m.throughput(span) >= placesDecrease)
}

// TestFaultsBelowTheKneeAreNoShortage guards against refusing requests because upstreams are
// dark, fail, pause or shed for a fault of their own, although others have room.
func TestFaultsBelowTheKneeAreNoShortage(t *testing.T) {
	third := func(u *modelUpstream) bool { return strings.HasSuffix(u.name, "-0") }
	tests := []struct {
		name  string
		fault func(u *modelUpstream)
	}{
		{"a third is dark", func(u *modelUpstream) { u.hangs = third(u) }},
		{"a third fails", func(u *modelUpstream) { u.fails = third(u) }},
		{"three groups are dark", func(u *modelUpstream) { u.hangs = u.part < 3 }},
		{"three groups fail", func(u *modelUpstream) { u.fails = u.part < 3 }},
		{"one upstream sheds all", func(u *modelUpstream) { u.shedAll = u.name == "U3-0" }},
		{"one group sheds all", func(u *modelUpstream) { u.shedAll = u.part == 3 }},
		{"a third pauses", func(u *modelUpstream) {
			if third(u) {
				u.pausedUntil = 1500 * time.Millisecond
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := slowThird()
			c.slowShare, c.fault, c.offered = 0, tt.fault, 20
			m := newShortageModel(t, c)
			for at := 100 * time.Millisecond; at <= 3*time.Second; at += 100 * time.Millisecond {
				m.runUntil(at)
				assert.Assert(t, m.limited() == 0, "%s: %s", at, m.report(at))
			}
		})
	}
}

// TestNothingChangesBelowTheKnee guards against control that changes decisions without a
// shortage: at half the capacity the figures with and without it are identical.
func TestNothingChangesBelowTheKnee(t *testing.T) {
	var figures [2]*modelFigures
	for i, o := range []OverloadControl{OverloadNone, OverloadShortage} {
		c := slowThird()
		c.overload = o
		m := newShortageModel(t, c)
		m.config.offered = m.capacity() / 2 / float64(c.hosts)
		figures[i] = m.measure(0, 2*time.Second)
	}
	assert.DeepEqual(t, figures[0].took, figures[1].took)
	assert.DeepEqual(t, figures[0].waits, figures[1].waits)
	assert.Equal(t, figures[0].calls, figures[1].calls)
	assert.Assert(t, figures[0].ended > 100)
}

// TestDeadHostsFreeTheirShare guards against places that stay with hosts that died: the
// others grow into them without messages.
func TestDeadHostsFreeTheirShare(t *testing.T) {
	const span = 2 * time.Second
	c := slowThird()
	c.startLimit = 4
	m := newShortageModel(t, c)
	m.measure(2*time.Second, span)
	for _, h := range m.hosts[:c.hosts/2] {
		h.dead = true
	}
	m.measure(m.now+2*time.Second, span)
	t.Log(m.report(span))
	assert.Assert(t, m.throughput(span) >= placesDecrease)
}

// TestHostShortage guards against treating late answers of a few requests as a shortage, and
// against overlooking a host whose own processor or link is short.
func TestHostShortage(t *testing.T) {
	const objective = 100 * time.Millisecond
	tests := []struct {
		name       string
		inFlight   int
		took, call time.Duration
		covered    bool
		want       ShortageReason
	}{
		{"late, and far more than the base in flight", 9, 2 * objective, objective, true, ShortageHost},
		{"late, but other upstreams answer fast", 9, 2 * objective, objective / 10, true, ""},
		{"late, and about the base in flight", 4, 2 * objective, objective, true, ""},
		{"in time", 9, objective, objective, true, ""},
		{"not covered", 9, 2 * objective, objective, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRoomLimit(4)
			r.setRouteNeed("Find", routeNeed{objective: objective})
			for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
				r.observe(now, CallEnd{Upstream: "U", Outcome: CallOK, Took: tt.call})
				r.observeEnd(now, tt.inFlight, Completion{Took: tt.took, Covered: tt.covered}, objective)
			}
			_, limited := r.places()
			assert.Equal(t, limited, tt.want != "")
			assert.Equal(t, r.reason, tt.want)
		})
	}
}

// TestShortageStartsAndEnds guards against a limit below the requests in flight at the start,
// against one below the base, and against a shortage that does not end.
func TestShortageStartsAndEnds(t *testing.T) {
	const ms = time.Millisecond
	r := newRoomLimit(4)
	r.setRouteNeed("Find", routeNeed{objective: 100 * ms})
	busy := CallEnd{Upstream: "U", Outcome: CallOK, Load: Load{Running: 2, Waiting: 8, Slots: 2}, Took: 100 * ms}
	now := time.Duration(0)
	step := func(inFlight int, used bool) {
		now += roomPeriod
		for range minPressureCalls {
			r.observe(now, busy)
		}
		if used {
			r.period.used, r.pressedAt = true, now
		}
		r.tick(now, inFlight)
	}
	step(4, false)
	_, limited := r.places()
	assert.Assert(t, !limited, "no more than the base is in flight")
	step(30, true)
	n, limited := r.places()
	assert.Assert(t, limited && n == 30, "%d", n)
	for range 50 {
		step(30, true)
	}
	n, _ = r.places()
	assert.Equal(t, n, 4, "never below the base")
	pressed := r.pressedAt
	for limited {
		step(4, false)
		_, limited = r.places()
	}
	assert.Equal(t, now-pressed, shortageEnd+roomPeriod)
}

// TestWholePlacesAddUpToLimit guards against rounding a limit of 1.5 to 1 or 2 for good.
func TestWholePlacesAddUpToLimit(t *testing.T) {
	r := newRoomLimit(1)
	r.limit = 1.5
	sum := 0
	for range 100 {
		r.setWhole()
		n, _ := r.places()
		sum += n
	}
	assert.Equal(t, sum, 150)
}

// TestObjectiveOfPausedHost guards against an objective that one request with little time
// left lowers for good.
func TestObjectiveOfPausedHost(t *testing.T) {
	r := newRoomLimit(1)
	r.setRouteNeed("Find", routeNeed{objective: 300 * time.Millisecond})
	r.setRouteNeed("Find", routeNeed{objective: -time.Second})
	r.setRouteNeed("Find", routeNeed{objective: time.Millisecond})
	assert.Equal(t, r.objective, 300*time.Millisecond)
	r.setRouteNeed("Get", routeNeed{objective: 120 * time.Millisecond})
	assert.Equal(t, r.objective, 120*time.Millisecond)
	r.setObjective(-time.Second)
	assert.Equal(t, r.objective, 120*time.Millisecond)
}

// TestThroughputIsNotTheDemand guards against taking a lull in the demand for a loss of
// capacity, after which waiting requests would seem hopeless.
func TestThroughputIsNotTheDemand(t *testing.T) {
	r := newRoomLimit(1)
	r.limit, r.pressedAt = 10, time.Second
	now := time.Second
	period := func(ended int, used bool) {
		r.period.ended, r.period.used = ended, used
		now += roomPeriod
		r.tick(now, 1)
	}
	for range 20 {
		period(10, true)
	}
	full := r.throughput()
	period(1, false)
	assert.Equal(t, r.throughput(), full, "unused places say nothing about the capacity")
	for range 20 {
		period(5, true)
	}
	assert.Assert(t, r.throughput() < 0.6*full, "%f", r.throughput())
}

// TestStepBeyondCapacityServesAsAtTheKnee guards against a collapse when the offered load
// steps to a multiple of the capacity. After the first second, the slots stay as busy as the
// limit lets them, and the 0.8 quantile of the run time, by which the gate judges requests,
// is within the objective.
func TestStepBeyondCapacityServesAsAtTheKnee(t *testing.T) {
	const span = 2 * time.Second
	for _, times := range []float64{2, 7} {
		t.Run(fmt.Sprint(times, " times the capacity"), func(t *testing.T) {
			m := newShortageModel(t, slowThird())
			m.config.offered = times * m.capacity() / float64(len(m.hosts))
			f := m.measure(time.Second, span)
			t.Log(m.report(span))
			assert.Check(t, m.throughput(span) >= placesDecrease)
			assert.Check(t, timeQuantile(f.took, 0.8) <= m.config.objective && f.metShare() >= 0.8)
			assert.Check(t, f.shedShare() < 0.01)
		})
	}
}
