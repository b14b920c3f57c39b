package kernel

import (
	"context"
	"math/rand/v2"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

func start(t *testing.T) (*Kernel, func()) {
	t.Helper()
	return New(Config{
		Log: zerolog.Nop(), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(1, 0))}),
	})
}

// document returns a valid document based on a revision.
func document(t *testing.T, based string) string {
	t.Helper()
	text, err := os.ReadFile("../config/testdata/good.json")
	assert.NilError(t, err)
	return strings.Replace(string(text), `"Based": 0`, `"Based": `+based, 1)
}

func TestAcceptIgnoresOlderDocuments(t *testing.T) {
	tests := []struct {
		name              string
		text              string
		revision          uint64
		inForce, newest   uint64
		refusedMentioning string
	}{
		{"first", document(t, "0"), 1, 1, 1, ""},
		{"invalid", `{"Based": 1, "x": 1}`, 2, 1, 2, "revision 2"},
		{"based on what was refused", document(t, "2"), 3, 3, 3, "revision 2"},
		{"older", document(t, "0"), 1, 3, 3, "revision 2"},
		{"of two from the same revision the second", document(t, "2"), 4, 3, 4, "composed from revision 2"},
		{"next", document(t, "4"), 5, 5, 5, "composed from revision 2"},
	}
	k, stop := start(t)
	defer stop()
	s := newState()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k.Accept(s, tt.text, config.Edition{Position: config.Position{Revision: tt.revision}})
			assert.Equal(t, s.Index.Revision, tt.inForce)
			assert.Equal(t, s.Newest.Revision, tt.newest)
			assert.Assert(t, strings.Contains(s.Refused, tt.refusedMentioning), s.Refused)
		})
	}
}

func TestLeavingHoldsUntilTheUpstreamIsBack(t *testing.T) {
	s := newState()
	s.MarkLeaving("U1", 5)
	s.MarkLeaving("U1", 3)
	assert.Equal(t, s.Leaving["U1"], time.Duration(5))
	s.MarkReturned("U1", 9)
	s.MarkLeaving("U1", 8)
	assert.Assert(t, !s.view().Leaving["U1"], "a sign from before the return does not count")
	s.MarkLeaving("U1", 10)
	assert.Assert(t, s.view().Leaving["U1"])
}

func TestDrainingIsFinal(t *testing.T) {
	k, stop := start(t)
	defer stop()
	k.SetPhase(PhaseDraining)
	k.SetPhase(PhaseReady)
	assert.Equal(t, k.Phase(), PhaseDraining)
}

func TestPipelineNamesWhatIsMissing(t *testing.T) {
	_, err := Pipeline([]string{"Nobody"})
	assert.ErrorIs(t, err, ErrNoPlugin)
}

func TestViewsAreInOrderAndDoNotChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, stop := start(t)
		defer stop()
		var seen []uint64
		k.OnView(func(v *View) { seen = append(seen, v.Published.Revision) })
		first := k.View()
		for range 3 {
			k.Do(func(s *State) {
				s.Published.Revision++
				s.Members["H2"] = Member{Host: "H2"}
				s.Changed()
			})
		}
		k.Do(func(*State) {})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, seen, []uint64{0, 1, 2, 3})
		assert.Equal(t, len(first.Members), 0)
		assert.Equal(t, len(k.View().Members), 1)
		assert.Assert(t, k.Responsive())
	})
}

// TestPauseIsDetected blocks the control thread for longer than maxTickGap, as a pause of
// the process does.
func TestPauseIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, stop := start(t)
		defer stop()
		k.Do(func(*State) { time.Sleep(2 * maxTickGap) })
		time.Sleep(maxTickGap + tickInterval)
		assert.Assert(t, !k.Responsive(), "without a tick the state may be outdated")
		time.Sleep(maxTickGap + tickInterval)
		synctest.Wait()
		assert.Assert(t, k.Responsive())
		assert.Equal(t, pausesOf(k), 1)
	})
}

// TestSuspensionCountsAsPause advances the boot clock alone, as a suspension does: the
// state must age, and the pause must be noticed before the next request.
func TestSuspensionCountsAsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		var suspended atomic.Int64
		boot := func() (time.Duration, error) {
			return time.Hour + time.Since(started) + time.Duration(suspended.Load()), nil
		}
		k, stop := New(Config{Log: zerolog.Nop(), Started: started, BootTime: boot})
		defer stop()
		time.Sleep(10 * tickInterval)
		assert.Assert(t, k.Responsive())
		assert.Equal(t, pausesOf(k), 0)
		before := k.Now()
		suspended.Store(int64(3 * time.Second))
		assert.Assert(t, !k.Responsive(), "the suspension is not noticed before the next tick")
		assert.Equal(t, k.Now()-before, 3*time.Second)
		k.AwaitPauseCheck()
		assert.Equal(t, pausesOf(k), 1)
		assert.Assert(t, k.Responsive())
	})
}

// TestShortDelaysAreNoSuspension lets the two clocks differ by less than minSuspension.
func TestShortDelaysAreNoSuspension(t *testing.T) {
	var m suspendMeter
	assert.NilError(t, m.start(func() (time.Duration, error) { return time.Hour, nil }, func() time.Duration { return 0 }))
	monotonic := func() time.Duration { return 50 * time.Millisecond }
	assert.Equal(t, m.update(monotonic), time.Duration(0))
	assert.Equal(t, time.Duration(m.total.Load()), time.Duration(0))
}

// pausesOf returns the number of pauses that the control thread has recorded.
func pausesOf(k *Kernel) (pauses int) {
	k.DoAndWait(func(s *State) { pauses = s.Pauses })
	return pauses
}

// TestAwaitPauseCheckWaitsForTheControlThread blocks the control thread, as a pause of the
// process does: the caller must wait until the pause is recorded and published.
func TestAwaitPauseCheckWaitsForTheControlThread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, stop := New(Config{Log: zerolog.Nop(), Started: time.Now()})
		defer stop()
		views := 0
		k.OnView(func(*View) { views++ })
		k.Do(func(*State) { time.Sleep(3 * time.Second) })
		time.Sleep(2 * time.Second)
		assert.Assert(t, !k.Responsive())
		published := 0
		k.Do(func(*State) { published = views })
		begun := k.Now()
		k.AwaitPauseCheck()
		assert.Equal(t, k.Now()-begun, time.Second)
		assert.Assert(t, k.Responsive())
		assert.Equal(t, published, 2, "a view tells of the pause before any job runs")
		assert.Equal(t, pausesOf(k), 1, "the state tells of the pause")
	})
}

// TestSettleWaitsForReadinessChecks checks how long a stopping host keeps accepting
// requests when readiness checks arrive in time, late or never.
func TestSettleWaitsForReadinessChecks(t *testing.T) {
	tests := []struct {
		name string
		asks []time.Duration
		want time.Duration
	}{
		{"asked in time", []time.Duration{100 * time.Millisecond, 900 * time.Millisecond}, time.Second},
		{"asked late", []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond}, 2500 * time.Millisecond},
		{"never asked", nil, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k, stop := New(Config{
					Settings: Settings{Settle: time.Second, SettleAsks: 2, SettleMost: 4 * time.Second},
					Log:      zerolog.Nop(), Started: time.Now(),
				})
				defer stop()
				k.SetPhase(PhaseReady)
				assert.Assert(t, k.Ready())
				k.SetPhase(PhaseDraining)
				for _, at := range tt.asks {
					time.AfterFunc(at, func() { assert.Check(t, !k.Ready()) })
				}
				k.Settle()
				assert.Assert(t, k.Now() >= tt.want && k.Now() <= tt.want+2*settlePollInterval, "%s", k.Now())
			})
		})
	}
}

// TestPanicOfControlThreadIsLogged expects a panic to log the control state and to flush
// the log before the process ends.
func TestPanicOfControlThreadIsLogged(t *testing.T) {
	var line strings.Builder
	flushed := false
	k := &Kernel{Config: Config{Log: zerolog.New(&line), Started: time.Now(), FlushLog: func() { flushed = true }}}
	s := newState()
	s.Announcing = true
	func() {
		defer func() { assert.Equal(t, recover(), "broken") }()
		defer k.reportPanic(s)
		panic("broken")
	}()
	assert.Assert(t, flushed)
	for _, want := range []string{`"Cause":"broken"`, `"Announcing":true`, `"Directory":false`, "control thread panicked"} {
		assert.Assert(t, strings.Contains(line.String(), want), line.String())
	}
}

// TestStopWaitsForRequestsOfOtherHosts stops a host while it runs a request for another
// host, which ends in time or not.
func TestStopWaitsForRequestsOfOtherHosts(t *testing.T) {
	tests := []struct {
		name   string
		endsIn time.Duration
		want   bool
	}{
		{"nothing in flight", 0, true},
		{"ends in time", time.Second, true},
		{"does not end", time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &Kernel{}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				if tt.endsIn > 0 {
					k.InFlight.Add(1)
					timer := time.AfterFunc(tt.endsIn, func() { k.InFlight.Add(-1) })
					defer timer.Stop()
				}
				started := time.Now()
				assert.Equal(t, k.AwaitIdle(ctx), tt.want)
				assert.Assert(t, time.Since(started) <= min(tt.endsIn+inFlightPollInterval, 3*time.Second))
			})
		})
	}
}
