package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPressure guards against signs of a shortage from upstreams that do not answer, from
// some of the upstreams of each group, or from single groups, and against overlooking
// queues, shed calls and waits on this host. There are 20 groups of 3 upstreams with 2 slots.
func TestPressure(t *testing.T) {
	const ms = time.Millisecond
	answer := func(waiting int) CallEnd {
		l := Load{Running: 2, Waiting: waiting, Slots: 2}
		return CallEnd{Outcome: CallOK, Load: l, Took: 20 * ms * time.Duration(2+waiting) / 2}
	}
	idle, full := answer(0), answer(12)
	shed, unreported := CallEnd{Outcome: CallShed, Load: full.Load}, CallEnd{Outcome: CallOK, Took: 20 * ms}
	queued := idle
	queued.Queued = 80 * ms
	ended := func(o CallOutcome) CallEnd { return CallEnd{Outcome: o, Took: time.Second} }
	// in returns bad for the upstreams that match and good for the others.
	in := func(bad, good CallEnd, match func(part, replica int) bool) func(part, replica int) CallEnd {
		return func(part, replica int) CallEnd {
			if match(part, replica) {
				return bad
			}
			return good
		}
	}
	everywhere := func(int, int) bool { return true }
	firstOfEach := func(_, replica int) bool { return replica == 0 }
	twoOfEach := func(_, replica int) bool { return replica < 2 }
	groups := func(n int) func(int, int) bool { return func(part, _ int) bool { return part < n } }
	tests := []struct {
		name string
		call func(part, replica int) CallEnd
		age  time.Duration
		want ShortageReason
	}{
		{"idle", in(idle, idle, everywhere), 0, ""},
		{"queues everywhere", in(full, idle, everywhere), 0, ShortageQueues},
		{"queues at two upstreams of each group", in(full, idle, twoOfEach), 0, ""},
		{"queues at one group, which the coverage does not need", in(full, idle, groups(1)), 0, ""},
		{"queues at two groups", in(full, idle, groups(2)), 0, ShortageQueues},
		{"queues a second ago", in(full, idle, everywhere), pressureRetention + ms, ""},
		{"waits on this host", in(queued, idle, everywhere), 0, ShortageQueues},
		{"sheds everywhere", in(shed, idle, everywhere), 0, ShortageShed},
		{"one upstream of each group sheds", in(shed, idle, firstOfEach), 0, ""},
		{"one group sheds for a fault of its own", in(shed, idle, groups(1)), 0, ""},
		{"two groups shed", in(shed, idle, groups(2)), 0, ShortageShed},
		{"sheds without load reports", in(ended(CallShed), unreported, everywhere), 0, ShortageShed},
		{"one upstream of each group sheds without load reports", in(ended(CallShed), unreported, firstOfEach), 0, ""},
		{"no load reports", in(unreported, idle, everywhere), 0, ""},
		{"all fail", in(ended(CallFailed), idle, everywhere), 0, ""},
		{"all hang", in(ended(CallLate), idle, everywhere), 0, ""},
		{"all are cancelled", in(ended(CallCancelled), idle, everywhere), 0, ""},
		{"all are unreachable", in(ended(CallUnreachable), idle, everywhere), 0, ""},
		{"all are stalled", in(ended(CallStalled), idle, everywhere), 0, ""},
		{"two of each group are dark, the others idle", in(ended(CallLate), idle, twoOfEach), 0, ""},
		{"two of each group are dark, the others full", in(ended(CallLate), full, twoOfEach), 0, ShortageQueues},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s roomPressure
			now := time.Minute
			for range 10 {
				now += ms
				for p := range 20 {
					for r := range 3 {
						c := tt.call(p, r)
						c.Part, c.Upstream, c.Coverage = p, fmt.Sprint("U", r), 0.95
						s.observe(now, &c)
					}
				}
			}
			assert.Equal(t, s.short(now+tt.age, routeNeed{objective: 300 * ms}, 20*ms), tt.want)
		})
	}
}

// TestPressureNeedsCalls guards against a shortage shown by one or two calls.
func TestPressureNeedsCalls(t *testing.T) {
	var s roomPressure
	for range minPressureCalls {
		assert.Equal(t, s.short(time.Second, routeNeed{objective: time.Millisecond}, time.Millisecond), ShortageReason(""))
		s.observe(time.Second, &CallEnd{Upstream: "U", Outcome: CallOK, Load: Load{Waiting: 9, Slots: 1}, Took: time.Second})
	}
	assert.Equal(t, s.short(time.Second, routeNeed{objective: time.Millisecond}, time.Millisecond), ShortageQueues)
}

// TestPressureForgetsUpstreams guards against growing memory while upstreams come and go.
func TestPressureForgetsUpstreams(t *testing.T) {
	var s roomPressure
	for i := range 100 {
		s.observe(time.Duration(i)*time.Second, &CallEnd{Upstream: fmt.Sprint("U", i), Outcome: CallOK})
	}
	assert.Assert(t, len(s.parts[0].upstreams) <= 2)
}

// TestStartOfShortage guards against a shortage that is measured below the knee: the nearest
// upstreams have short queues, and the others, which would take the next calls, are idle.
func TestStartOfShortage(t *testing.T) {
	const ms = time.Millisecond
	const now = time.Minute
	queue := CallEnd{Outcome: CallOK, Load: Load{Running: 2, Waiting: 8, Slots: 2}, Took: 100 * ms}
	room := CallEnd{Outcome: CallOK, Load: Load{Running: 1, Slots: 2}, Took: 20 * ms}
	shed := CallEnd{Outcome: CallShed, Load: Load{Running: 2, Waiting: 12, Slots: 2}}
	tests := []struct {
		name string
		// near is the last answer of the nearest upstream, far that of the two others, which
		// came before.
		near, far CallEnd
		before    time.Duration
		// then is how the last calls to the others ended.
		then CallOutcome
		age  time.Duration
		want ShortageReason
	}{
		{"the others are idle", queue, room, 2 * pressureRetention, CallOK, 0, ""},
		{"hedges to the others were cancelled", queue, room, 2 * pressureRetention, CallCancelled, 0, ""},
		{"the others have failed", queue, room, 2 * pressureRetention, CallLate, 0, ShortageQueues},
		{"the others have room", queue, room, ms, CallOK, 0, ""},
		{"the others have queues", queue, queue, ms, CallOK, 0, ShortageQueues},
		{"the queues have drained since", queue, queue, ms, CallOK, 60 * ms, ""},
		{"the nearest one sheds and the others are idle", shed, room, 2 * pressureRetention, CallOK, 0, ShortageShed},
		{"the nearest one sheds and the others have room", shed, room, ms, CallOK, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s roomPressure
			observe := func(at time.Duration, upstream string, c CallEnd) {
				for part := range 20 {
					c.Part, c.Upstream, c.Coverage = part, upstream, 0.95
					s.observe(at, &c)
				}
			}
			for _, u := range []string{"U0", "U1", "U2"} {
				observe(now-tt.before, u, tt.far)
			}
			for _, u := range []string{"U1", "U2"} {
				if tt.then != CallOK {
					observe(now, u, CallEnd{Outcome: tt.then, Took: time.Second})
				}
			}
			for range 3 {
				observe(now, "U0", tt.near)
			}
			need := routeNeed{objective: 100 * ms}
			assert.Equal(t, s.begins(now+tt.age, need, 20*ms), tt.want)
		})
	}
}

// TestRemovedUpstreamsAreNotIdle guards against upstreams that left and count as room for good.
func TestRemovedUpstreamsAreNotIdle(t *testing.T) {
	const ms = time.Millisecond
	var s roomPressure
	for _, u := range []string{"U0", "U1"} {
		s.observe(time.Second, &CallEnd{Upstream: u, Outcome: CallOK, Load: Load{Slots: 2}, Took: 20 * ms})
	}
	for range minPressureCalls {
		s.observe(time.Minute, &CallEnd{Upstream: "U0", Outcome: CallOK, Load: Load{Waiting: 8, Slots: 2}, Took: 100 * ms})
	}
	need := routeNeed{objective: 100 * ms, coverage: 1}
	assert.Equal(t, s.begins(time.Minute, need, 20*ms), ShortageReason(""))
	s.retain(func(name string) bool { return name == "U0" })
	assert.Equal(t, s.begins(time.Minute, need, 20*ms), ShortageQueues)
}
