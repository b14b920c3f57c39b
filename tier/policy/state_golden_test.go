package policy

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestRegisteredNames pins the names of choosers and admission rules that a configuration
// document may use.
func TestRegisteredNames(t *testing.T) {
	assert.DeepEqual(t, slices.Sorted(maps.Keys(choosers)), []string{"First", "LeastLatency", "LeastTime", "Random"})
	assert.DeepEqual(t, slices.Sorted(maps.Keys(admissions)), []string{"Deadline", "None", "Worth"})
}

// TestConditionOnTheWire pins the encoding in which hosts exchange conditions.
func TestConditionOnTheWire(t *testing.T) {
	tests := []struct {
		condition Condition
		want      string
	}{
		{Condition{Upstream: "U"}, `{"Upstream":"U"}`},
		{Condition{Upstream: "U", Slowness: 4, FaultPercent: 30}, `{"Upstream":"U","Slowness":4,"FaultPercent":30}`},
	}
	for _, tt := range tests {
		got, err := json.Marshal(tt.condition)
		assert.NilError(t, err)
		assert.Equal(t, string(got), tt.want)
	}
}

// tracer drives a fleet with either kind of upstream through random events and records its
// state.
type tracer struct {
	fleet  *Fleet
	random *rand.Rand
	now    time.Duration
	pool   *LatencyPool
	shares []Share
}

func newTracer(random *rand.Rand, now time.Duration, listed bool) *tracer {
	t := &tracer{random: random, now: now}
	t.fleet = NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(3, 5))})
	for i := range 4 {
		t.shares = append(t.shares, Share{
			Name: fmt.Sprint("U", i), Slots: 1 + i, MaxSlots: 2 + 2*i, Listed: listed,
			Hall: string(rune('A' + i%2)), Near: i%2 == 0,
		})
	}
	t.fleet.Apply(t.now, t.shares)
	t.pool = t.fleet.LatencyPool("Data")
	if listed {
		t.pool, _ = t.fleet.RoutedLatencyPools("Find")
	}
	t.fleet.SetColdOwners("Self", map[string]string{"U0": "Self", "U1": "Other", "U2": "Self"})
	return t
}

var tracedOutcomes = []CallOutcome{
	CallOK, CallOK, CallOK, CallOK, CallOK, CallOK, CallOK, CallOK, CallOK, CallOK, CallOK, CallOK,
	CallCancelled, CallCancelled, CallLate, CallShed, CallShed, CallUnreachable, CallBroken, CallCrashed,
	CallStalled, CallNotSent, CallBarred, CallLost, CallFailed, CallMalformed, CallSnapshotGone, CallMoved,
}

// apply changes a random share: cold entries, evacuations, numbers of slots.
func (t *tracer) apply() {
	s := &t.shares[t.random.IntN(len(t.shares))]
	s.Slots = 1 + t.random.IntN(4)
	s.MaxSlots = s.Slots + t.random.IntN(4)
	s.Leaving = t.random.IntN(8) == 0
	s.Cold = Cold{
		Remaining: time.Duration(t.random.IntN(3)) * time.Second, Revision: uint64(t.random.IntN(5)),
		Warmup: time.Duration(t.random.IntN(2)) * time.Second, Calls: t.random.IntN(12), Evacuated: t.random.IntN(6) == 0,
	}
	NotifyGranted(t.fleet.Apply(t.now, t.shares))
	t.fleet.SetColdOwners("Self", map[string]string{"U0": "Self", "U1": "Other", "U2": "Self"})
}

func (t *tracer) inUse(u *Upstream) int {
	for _, s := range t.fleet.State(t.now) {
		if s.Name == u.Name {
			return s.InUse
		}
	}
	return 0
}

func (t *tracer) finish(u *Upstream) string {
	c := Call{
		Upstream: u, Pool: t.pool, Outcome: tracedOutcomes[t.random.IntN(len(tracedOutcomes))],
		Took:    time.Duration(t.random.ExpFloat64() * float64(10*time.Millisecond)),
		Relayed: t.random.IntN(4) == 0, Lingering: t.random.IntN(5) == 0, NewConnReset: t.random.IntN(30) == 0,
	}
	if t.random.IntN(3) == 0 {
		c.Load = Load{Running: t.random.IntN(4), Waiting: t.random.IntN(4), Slots: 4}
	}
	if u.Name == "U3" {
		c.Took *= 6
	}
	if !c.Relayed && t.inUse(u) <= 0 {
		return "none in use"
	}
	granted := t.fleet.Finish(t.now, c)
	NotifyGranted(granted)
	return fmt.Sprint("finish ", c.Outcome, len(granted))
}

func (t *tracer) step() string {
	t.now += time.Duration(t.random.ExpFloat64() * float64(8*time.Millisecond))
	u := t.fleet.Find(fmt.Sprint("U", t.random.IntN(4)))
	what := t.random.IntN(24)
	switch {
	case what < 8:
		granted, queued := t.fleet.AcquireOrQueue(&Waiter{Upstream: u, Deadline: t.now + time.Duration(t.random.IntN(60))*time.Millisecond, Granted: func() {}})
		return fmt.Sprint("enter ", granted, queued)
	case what < 16:
		return t.finish(u)
	case what == 16:
		if t.inUse(u) > 0 {
			NotifyGranted(t.fleet.ReleaseSlot(t.now, u))
		}
		return "free"
	case what < 19:
		t.fleet.RecordSent(t.now, u)
		return fmt.Sprint("sent ", t.fleet.Stalled(t.now, u))
	case what == 19:
		return fmt.Sprint("linger ", t.fleet.TryLinger(u))
	case what == 20:
		t.fleet.RecordStatus(t.now, u, SnapshotRange{Oldest: 1, Newest: uint64(t.random.IntN(5)), Known: t.random.IntN(2) == 0}, t.random.IntN(40) == 0)
		return fmt.Sprint("note ", t.fleet.NotReportedSince(t.now-100*time.Millisecond, 2))
	case what == 21:
		reported := []Condition{{Upstream: u.Name, Slowness: t.random.IntN(8), FaultPercent: t.random.IntN(100)}}
		t.fleet.SetConditions(t.now, string(rune('A'+t.random.IntN(2))), reported[:t.random.IntN(2)])
		return fmt.Sprint("conditions ", len(t.fleet.Conditions(t.now)))
	case what == 22:
		return fmt.Sprint("cold ", t.fleet.AdmitCold(t.now, u), t.fleet.DestinationOf(t.now, u), t.fleet.ThrottledUpstreams(t.now))
	default:
		if t.random.IntN(10) == 0 {
			t.apply()
		}
		return "apply"
	}
}

// state returns all inputs of decisions about the upstreams.
func (t *tracer) state() string {
	var out []string
	all := t.fleet.State(t.now)
	slices.SortFunc(all, func(a, b UpstreamState) int { return strings.Compare(a.Name, b.Name) })
	for _, s := range all {
		u := t.fleet.Find(s.Name)
		r := rand.New(rand.NewPCG(1, 1))
		out = append(out, fmt.Sprintf("%v fit %v free %v wait %v least %.9g listed %.9g first %.9g",
			s, u.eligible(t.now), u.hasSlot(), u.expectedWait(t.pool),
			leastTime{}.score(t.now, u, t.pool, r), leastLatency{}.score(t.now, u, t.pool, r), first{}.score(t.now, u, t.pool, r)))
	}
	return strings.Join(out, "\n")
}

// TestStateOfUpstreams replays random events for both kinds of upstream and compares the
// inputs of decisions after each step with a golden file.
func TestStateOfUpstreams(t *testing.T) {
	const (
		steps = 20000
		// The fleet is replaced regularly because upstreams that left for good would end
		// the test.
		steadySteps = 1000
		// written is the number of steps between written states; the digest covers every
		// step.
		written = 200
	)
	for _, listed := range []bool{false, true} {
		t.Run(fmt.Sprint(listed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 11))
			x := newTracer(random, time.Second, listed)
			h := fnv.New64a()
			var lines strings.Builder
			for i := range steps {
				what, state := x.step(), x.state()
				_, _ = fmt.Fprintln(h, what, state)
				if i%written == 0 {
					fmt.Fprintf(&lines, "step %d %s %016x\n%s\n", i, what, h.Sum64(), state)
				}
				if i%steadySteps == steadySteps-1 {
					x = newTracer(random, x.now, listed)
				}
			}
			fmt.Fprintf(&lines, "all %016x\n", h.Sum64())
			golden.Assert(t, lines.String(), fmt.Sprintf("upstreams-%v.txt", listed))
		})
	}
}
