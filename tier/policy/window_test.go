package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWindow guards against windows that ignore a sign of shortage, that fall twice for the
// same queue, or that stay without a shortage.
func TestWindow(t *testing.T) {
	const ms = time.Millisecond
	shed := Call{Outcome: CallShed, Took: ms}
	queued := Call{Outcome: CallOK, Load: Load{Running: 2, Waiting: 3, Slots: 2}, Took: 10 * ms}
	good := Call{Outcome: CallOK, Load: Load{Running: 2, Waiting: 2, Slots: 2}, Took: 10 * ms}
	failed := Call{Outcome: CallUnreachable, Took: 10 * ms}
	const now = time.Minute
	tests := []struct {
		name       string
		before     window
		call       Call
		inUse      int
		want       float64
		wantActive bool
	}{
		{"shed", window{shortageAt: now}, shed, 10, 7, true},
		{"a long queue", window{shortageAt: now}, queued, 10, 7, true},
		{"a short queue", window{shortageAt: now}, good, 10, 0, false},
		{"unreachable", window{shortageAt: now}, failed, 10, 0, false},
		{"never below one", window{shortageAt: now, calls: 1, signAt: now}, shed, 1, 1, true},
		{"sent before it fell", window{shortageAt: now, calls: 4, fellAt: now - 5*ms}, queued, 4, 4, true},
		{"sent after it fell", window{shortageAt: now, calls: 4, fellAt: now - 15*ms}, queued, 4, 2.8, true},
		{"the last answer of a window", window{shortageAt: now, calls: 4, answers: 3, signAt: now}, good, 4, 5, true},
		{"not used", window{shortageAt: now, calls: 4, answers: 3, signAt: now}, good, 3, 4, true},
		{"reaches the share", window{shortageAt: now, calls: 19, answers: 18, signAt: now}, good, 19, 0, false},
		{"no sign for long", window{shortageAt: now, calls: 4, signAt: now - 3*time.Second}, good, 4, 0, false},
		{"no shortage at the gate", window{shortageAt: now - 3*time.Second, calls: 4, signAt: now}, shed, 4, 0, false},
		{"never a shortage at the gate", window{}, shed, 4, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := tt.before
			w.observe(now, &tt.call, tt.inUse, 20)
			assert.Equal(t, w.active(), tt.wantActive)
			assert.Assert(t, w.calls > tt.want-0.01 && w.calls < tt.want+0.01, "%f", w.calls)
		})
	}
}

// TestWindowLimitsSlots checks that the window lowers the calls allowed, and that a fleet
// without the setting never has one.
func TestWindowLimitsSlots(t *testing.T) {
	for _, o := range []OverloadControl{OverloadNone, OverloadShortage} {
		f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 2)), Overload: o})
		f.Apply(0, []Share{{Name: "U", Slots: 9, PublishedSlots: 2, Listed: true}, {Name: "D", Slots: 9}})
		for _, n := range []string{"U", "D"} {
			u := f.Find(n)
			u.slots.window.noteShortage(time.Second)
			u.slots.inUse = 9
			f.Finish(time.Second, Call{Upstream: u, Pool: f.LatencyPool("Find"), Outcome: CallShed})
			want := 9
			if o == OverloadShortage && n == "U" {
				want = 6
			}
			assert.Equal(t, u.slots.allowed(), want, "%s %s", o, n)
		}
	}
}

// TestTwoHostsThatShareAnUpstreamGetEqualWindows guards against a host that keeps most of an
// upstream because it came first. The hosts exchange no messages.
func TestTwoHostsThatShareAnUpstreamGetEqualWindows(t *testing.T) {
	const slots, service = 20, 20 * time.Millisecond
	hosts := []*window{{calls: 40}, {calls: 2}}
	random := rand.New(rand.NewPCG(5, 6))
	inUse := make([]int, 2)
	sums := make([]float64, 2)
	type call struct {
		host         int
		sent, startd time.Duration
	}
	var running, waiting []call
	for now := time.Millisecond; now < 20*time.Second; now += time.Millisecond {
		for _, w := range hosts {
			w.noteShortage(now)
		}
		for i := 0; i < len(running); {
			c := running[i]
			if now-c.startd < service {
				i++
				continue
			}
			running = append(running[:i], running[i+1:]...)
			load := Load{Running: len(running), Waiting: len(waiting), Slots: slots}
			hosts[c.host].observe(now, &Call{Outcome: CallOK, Load: load, Took: now - c.sent}, inUse[c.host], 100)
			inUse[c.host]--
		}
		for _, h := range random.Perm(2) {
			for inUse[h] < max(hosts[h].limit(), 1) && inUse[h] < 100 {
				waiting = append(waiting, call{host: h, sent: now})
				inUse[h]++
			}
		}
		for len(waiting) > 0 && len(running) < slots {
			c := waiting[0]
			c.startd = now
			waiting, running = waiting[1:], append(running, c)
		}
		if now > 5*time.Second {
			sums[0], sums[1] = sums[0]+hosts[0].calls, sums[1]+hosts[1].calls
		}
	}
	ratio := sums[0] / sums[1]
	t.Logf("windows %.1f and %.1f", sums[0]/15000, sums[1]/15000)
	assert.Assert(t, ratio > 0.75 && ratio < 1/0.75, "%f", ratio)
}

// TestWindowOfAnIdleUpstreamEnds guards against a window that still limits the calls to an
// upstream that had none since the shortage ended.
func TestWindowOfAnIdleUpstreamEnds(t *testing.T) {
	const now = time.Minute
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 2)), Overload: OverloadShortage})
	f.Apply(0, []Share{{Name: "U", Slots: 10, Listed: true}})
	u := f.Find("U")
	u.latency.samples = slowStartSamples
	u.slots.window = window{calls: 1, signAt: now - time.Hour, shortageAt: now - time.Hour}
	for range 3 {
		granted, _ := f.acquireAs(now, &Waiter{Upstream: u, Deadline: 2 * now, ObjectiveAt: now + time.Second, Granted: func() {}})
		assert.Assert(t, granted)
	}
}
