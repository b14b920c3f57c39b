package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEligible(t *testing.T) {
	const now = time.Minute
	later := now + time.Second
	tests := []struct {
		name     string
		upstream Upstream
		want     bool
	}{
		{"as good as any", Upstream{}, true},
		{"leaving", Upstream{leaving: true}, false},
		{"an outlier", Upstream{outlier: outlier{marked: true}}, false},
		{"ejected", Upstream{ejection: ejection{until: later}}, false},
		{"ejected until now", Upstream{ejection: ejection{until: now}}, true},
		{"in backoff", Upstream{backoff: backoff{until: later}}, false},
		{"cold", Upstream{cold: cold{until: later}}, true},
		{"throttled", Upstream{cold: cold{until: later, entry: Cold{Calls: 5}}}, false},
		{"unresponsive", Upstream{stall: stall{until: later}}, true},
		{"slower than its like", Upstream{condition: condition{slowness: 9, faults: 0.9, observedAt: now}}, true},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.upstream.eligible(now), tt.want, "%s", tt.name)
	}
}

func TestSlowStart(t *testing.T) {
	tests := []struct {
		name    string
		kind    *kind
		samples int
		want    int
	}{
		{"new and declared", &declaredKind, 0, 1},
		{"not yet warm", &declaredKind, slowStartSamples - 1, 1},
		{"warm", &declaredKind, slowStartSamples, 4},
		{"listed", &listedKind, 0, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := Upstream{kind: tt.kind, latency: latency{samples: tt.samples}}
			u.slots.set(4, 4)
			n := 0
			for u.hasSlot() {
				u.slots.inUse++
				n++
			}
			assert.Equal(t, n, tt.want)
		})
	}
}

func TestExpectedWait(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		slots   slots
		latency time.Duration
		want    time.Duration
	}{
		{"no share here", slots{inUse: 3}, 8 * ms, 0},
		{"a free slot", slots{share: 2, inUse: 1}, 8 * ms, 0},
		{"all in use", slots{share: 2, inUse: 2}, 8 * ms, 4 * ms},
		{"one waits", slots{share: 2, inUse: 2, queue: waiters{{}}}, 8 * ms, 8 * ms},
		{"latency not known", slots{share: 2, inUse: 2}, 0, defaultMedian / 2},
	}
	for _, tt := range tests {
		u := Upstream{slots: tt.slots, latency: latency{smoothed: tt.latency}}
		assert.Equal(t, u.expectedWait(newPool(poolWindow)), tt.want, "%s", tt.name)
	}
}

func TestLinger(t *testing.T) {
	tests := []struct {
		name     string
		upstream Upstream
		want     bool
	}{
		{"listed", Upstream{kind: &listedKind}, true},
		{"declared", Upstream{kind: &declaredKind}, false},
		{"one lingers", Upstream{kind: &listedKind, stall: stall{lingering: true}}, false},
		{"calls queue there", Upstream{kind: &listedKind, load: queueReport{perSlot: 0.25}}, false},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.upstream.tryLinger(), tt.want, "%s", tt.name)
		assert.Equal(t, tt.upstream.stall.lingering, tt.want || tt.name == "one lingers", "%s", tt.name)
	}
}

// TestRestartedUpstreamStartsFresh checks that an upstream that restarted under the same
// name keeps nothing of the state of its predecessor, and that waiting calls are granted
// slots.
func TestRestartedUpstreamStartsFresh(t *testing.T) {
	f := NewFleet(FleetConfig{})
	share := Share{Name: "U", Slots: 1, Listed: true, StartedMillis: 1000}
	f.Apply(0, []Share{share})
	first := f.Find("U")
	granted := 0
	wait := func() {
		f.AcquireOrQueue(&Waiter{Upstream: first, Deadline: time.Minute, Granted: func() { granted++ }})
	}
	wait()
	wait()
	first.replaced, first.leaving = true, true
	first.ejection.failed(0)

	NotifyGranted(f.Update(0, []Share{share}, nil))
	assert.Assert(t, f.Find("U") == first, "the same start time means the same upstream")
	share.StartedMillis = 2000
	NotifyGranted(f.Update(0, []Share{share}, nil))
	second := f.Find("U")
	assert.Assert(t, second != first && !second.leaving && second.slots.inUse == 0)
	assert.Equal(t, second.ejection, ejection{})
	assert.Equal(t, granted, 1, "the call that waited goes ahead")
	NotifyGranted(f.Update(0, []Share{{Name: "U", Slots: 1, Listed: true, StartedMillis: 1000}}, nil))
	assert.Assert(t, f.Find("U") == second, "an earlier start time is ignored")
}
