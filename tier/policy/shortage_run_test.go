package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
)

// shortageFleet returns a fleet of a near and a far upstream for each group, with 2
// published slots each.
func shortageFleet(groups int) *Fleet {
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 2)), Overload: OverloadShortage})
	setRetryBudget(f, RetryBudget{Ratio: 1, Depth: 100, Window: time.Second})
	var shares []Share
	for g := range groups {
		shares = append(shares,
			Share{Name: "N" + string(rune('0'+g)), Slots: 9, PublishedSlots: 2, Listed: true, Near: true, Hall: "A"},
			Share{Name: "F" + string(rune('0'+g)), Slots: 9, PublishedSlots: 2, Listed: true, Hall: "B"})
	}
	f.Apply(0, shares)
	return f
}

// shortageRun begins a run during a shortage, or without one.
func shortageRun(t *testing.T, f *Fleet, now time.Duration, groups int, coverage float64, short bool) (*Run, []Action) {
	r := &config.Route{
		Name: "Find", TimeLimit: config.Duration(2 * time.Second), Objective: config.Duration(200 * time.Millisecond),
		Gather: &config.Gather{Coverage: coverage, Top: 1},
	}
	c := r.Class()
	near, far := f.RoutedLatencyPools("Find")
	routed := &RoutedConfig{MaxAttempts: 3, FarPool: far, Objective: 200 * time.Millisecond, Shortage: func() bool { return short }}
	var names [][]string
	for g := range groups {
		routed.Groups = append(routed.Groups, "G"+string(rune('0'+g)))
		names = append(names, []string{"N" + string(rune('0'+g)), "F" + string(rune('0'+g))})
	}
	run, err := NewRun(RunConfig{
		Fleet: f, Pool: near, Class: &c, Deadline: now + 2*time.Second, Replicas: f.Resolve(names),
		Repeatable: true, Routed: routed, Granted: func(int) {},
	})
	assert.NilError(t, err)
	actions, err := run.Begin(now)
	assert.NilError(t, err)
	return run, actions
}

// report makes an upstream report a load at a time.
func report(f *Fleet, now time.Duration, name string, l Load) {
	u := f.Find(name)
	u.slots.inUse++
	took := 10 * time.Millisecond
	if l.Slots > 0 {
		took += took * time.Duration(l.Waiting) / time.Duration(l.Slots)
	}
	f.Finish(now, Call{Upstream: u, Pool: f.LatencyPool("Any"), Outcome: CallOK, Took: took, Load: l})
	u.condition.slowness = 0
}

// TestChoiceDuringShortage guards against queueing near while a slot is free farther away,
// and against treating the share of the connections as capacity.
func TestChoiceDuringShortage(t *testing.T) {
	const now = time.Second
	full, free := Load{Running: 2, Waiting: 1, Slots: 2}, Load{Running: 1, Slots: 2}
	tests := []struct {
		name      string
		short     bool
		near, far Load
		age       time.Duration
		want      string
	}{
		{"a queue near and a free slot far", true, full, free, 100 * time.Millisecond, "F0"},
		{"a free slot near and one far", true, free, free, 100 * time.Millisecond, "N0"},
		{"the same queue near and far", true, full, full, 100 * time.Millisecond, "N0"},
		{"reports older than 300 ms", true, full, free, 400 * time.Millisecond, "F0"},
		{"reports too old", true, full, free, 2 * time.Second, "N0"},
		{"no shortage, reports older than 300 ms", false, full, free, 400 * time.Millisecond, "N0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := shortageFleet(1)
			report(f, now, "N0", tt.near)
			report(f, now, "F0", tt.far)
			_, actions := shortageRun(t, f, now+tt.age, 1, 1, tt.short)
			assert.Equal(t, sends(actions)[0].Upstream.Name, tt.want)
		})
	}
}

// TestOwnCallsCountPerPublishedSlot guards against a host that sends all its calls to one
// upstream while it hears nothing, because its share of the connections is large.
func TestOwnCallsCountPerPublishedSlot(t *testing.T) {
	f := shortageFleet(1)
	got := map[string]int{}
	for range 4 {
		_, actions := shortageRun(t, f, time.Second, 1, 1, true)
		got[sends(actions)[0].Upstream.Name]++
	}
	assert.DeepEqual(t, got, map[string]int{"N0": 2, "F0": 2})
}

// TestRelayedCallsCountAsOwn guards against forgetting the calls that a relay makes for this
// host.
func TestRelayedCallsCountAsOwn(t *testing.T) {
	f := shortageFleet(1)
	u := f.Find("F0")
	u.slots.inUse++
	f.HandOver(0, u)
	assert.Equal(t, u.slots.own(), 1)
	assert.Equal(t, u.slots.inUse, 0)
	f.Finish(0, Call{Upstream: u, Pool: f.LatencyPool("Any"), Outcome: CallOK, Relayed: true, RelayedLoad: Load{Running: 2, Waiting: 3, Slots: 2}})
	assert.Equal(t, u.slots.own(), 0)
	assert.Equal(t, u.occupancy.others, 5)
	assert.Equal(t, u.load.perSlot, 0.0, "the load of a relay changes nothing without a shortage")
}

// TestSlowerUpstreamGetsLessDuringShortage guards against equal numbers of calls for unequal
// upstreams.
func TestSlowerUpstreamGetsLessDuringShortage(t *testing.T) {
	f := shortageFleet(1)
	u := f.Find("N0")
	u.occupancy.slowness = 3
	_, actions := shortageRun(t, f, time.Second, 1, 1, true)
	assert.Equal(t, sends(actions)[0].Upstream.Name, "F0")
}

// TestHedgeIsNotSentIntoAQueue guards against hedges that wait behind other requests during
// a shortage, or at an upstream of which nothing recent is known.
func TestHedgeIsNotSentIntoAQueue(t *testing.T) {
	const now = time.Second
	tests := []struct {
		name  string
		short bool
		load  Load
		age   time.Duration
		want  HedgeSkipReason
	}{
		{"a fresh report of a free slot", true, Load{Running: 1, Slots: 2}, 0, ""},
		{"a fresh report of a queue", true, Load{Running: 2, Waiting: 1, Slots: 2}, 0, HedgeShortage},
		{"an old report of a free slot", true, Load{Running: 1, Slots: 2}, time.Second, HedgeShortage},
		{"no report", true, Load{}, 0, HedgeShortage},
		{"a queue, but no shortage", false, Load{Running: 2, Waiting: 1, Slots: 2}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := shortageFleet(1)
			r, actions := shortageRun(t, f, now, 1, 1, tt.short)
			assert.Equal(t, sends(actions)[0].Upstream.Name, "N0")
			wake := r.WakeAt()
			report(f, wake-tt.age, "F0", tt.load)
			hedges := sends(r.Wake(wake))
			assert.Equal(t, len(hedges) == 0, tt.want != "")
			assert.Equal(t, r.parts[0].hedgeSkipped, tt.want)
		})
	}
}

// TestPartShedTwiceIsGivenUpDuringShortage guards against calling full upstreams for a part
// that the coverage does not need, and against giving up a part that it needs.
func TestPartShedTwiceIsGivenUpDuringShortage(t *testing.T) {
	tests := []struct {
		name     string
		short    bool
		coverage float64
		want     bool
	}{
		{"not needed", true, 0.5, true},
		{"needed", true, 1, false},
		{"no shortage", false, 0.5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := shortageFleet(2)
			r, actions := shortageRun(t, f, time.Second, 2, tt.coverage, tt.short)
			first := sends(actions)[0]
			f.Finish(time.Second, Call{Upstream: first.Upstream, Pool: first.Pool, Outcome: CallShed})
			second := sends(r.Reply(time.Second, first.Attempt, CallShed))[0]
			f.Finish(time.Second, Call{Upstream: second.Upstream, Pool: second.Pool, Outcome: CallShed})
			r.Reply(time.Second, second.Attempt, CallShed)
			assert.Equal(t, r.parts[0].closed, tt.want)
		})
	}
}

// TestAlmostFinishedCallEndsDuringShortage guards against closing the connection of a call
// that needs less time than a new connection.
func TestAlmostFinishedCallEndsDuringShortage(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		short   bool
		elapsed time.Duration
		want    ActionKind
	}{
		{"almost finished", true, 16 * ms, ActionLinger},
		{"far from finished", true, 5 * ms, ActionCancel},
		{"longer than expected", true, 30 * ms, ActionCancel},
		{"no shortage", false, 16 * ms, ActionCancel},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := shortageFleet(1)
			r, actions := shortageRun(t, f, time.Second, 1, 1, tt.short)
			u := sends(actions)[0].Upstream
			u.latency.smoothed = 20 * ms
			u.load.perSlot = 1 // otherwise one call may linger anyway
			out := r.cancel(time.Second+tt.elapsed, 0, CallCancelled, nil)
			assert.Equal(t, out[0].Kind, tt.want)
		})
	}
}

// TestUrgentRankGoesFirstInSlotQueue guards against the order by deadline during a shortage,
// in which an urgent request with much time waits behind others.
func TestUrgentRankGoesFirstInSlotQueue(t *testing.T) {
	const ms = time.Millisecond
	u := &Upstream{kind: &listedKind, slots: slots{share: 1, maxSlots: 1, inUse: 1}, latency: latency{smoothed: 10 * ms}}
	w := func(rank int, objectiveAt, deadline time.Duration) *Waiter {
		return &Waiter{Upstream: u, Rank: rank, ObjectiveAt: objectiveAt, Deadline: deadline}
	}
	late := w(0, 105*ms, 4000*ms)
	urgent, urgentLater := w(0, 300*ms, 4000*ms), w(0, 310*ms, 3000*ms)
	plain := w(0, 0, 500*ms)
	low, lowLate := w(2, 200*ms, 400*ms), w(2, 50*ms, 300*ms)
	for _, x := range []*Waiter{lowLate, low, plain, urgentLater, late, urgent} {
		_, queued := u.acquireOrQueue(x)
		assert.Assert(t, queued)
	}
	for i, want := range []*Waiter{urgent, urgentLater, plain, late, low, lowLate} {
		u.slots.inUse--
		got := u.grant(100 * ms)
		assert.Equal(t, len(got), 1)
		assert.Assert(t, got[0] == want, "%d: rank %d, objective at %s", i, got[0].Rank, got[0].ObjectiveAt)
	}
}

// TestRunQueuesByRankOnlyDuringShortage guards against a changed order without a shortage.
func TestRunQueuesByRankOnlyDuringShortage(t *testing.T) {
	for _, short := range []bool{false, true} {
		f := shortageFleet(1)
		for _, n := range []string{"N0", "F0"} {
			u := f.Find(n)
			u.slots.inUse = u.slots.allowed()
		}
		r, _ := shortageRun(t, f, time.Second, 1, 1, short)
		w := r.attempts[0].waiter
		assert.Equal(t, w.ObjectiveAt > 0, short)
		if short {
			assert.Equal(t, w.ObjectiveAt, time.Second+200*time.Millisecond)
		}
	}
}
