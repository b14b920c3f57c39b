package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestScoreTiers checks that the worst upstream of each tier scores better than the best of
// the next.
func TestScoreTiers(t *testing.T) {
	const now = time.Minute
	later := now + time.Second
	slow := latency{smoothed: 5 * time.Second, samples: 1}
	tests := []struct {
		name    string
		chooser chooser
		better  Upstream
		worse   Upstream
	}{
		{"an outlier", leastTime{}, Upstream{latency: slow}, Upstream{outlier: outlier{marked: true}}},
		{"in backoff", leastTime{}, Upstream{latency: slow}, Upstream{backoff: backoff{until: later}}},
		{"ejected", leastTime{}, Upstream{latency: slow, outlier: outlier{marked: true}, backoff: backoff{until: later}}, Upstream{ejection: ejection{until: later}}},
		{"unresponsive", leastLatency{}, Upstream{condition: condition{slowness: 9, observedAt: now}}, Upstream{near: true, stall: stall{until: later}}},
		{"listed and in backoff", leastLatency{}, Upstream{stall: stall{until: later}}, Upstream{near: true, backoff: backoff{until: later}}},
		{"listed and ejected", leastLatency{}, Upstream{stall: stall{until: later}, backoff: backoff{until: later}}, Upstream{near: true, ejection: ejection{until: later}}},
		{"the first that is not ejected", first{}, Upstream{latency: slow}, Upstream{ejection: ejection{until: later}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, p := rand.New(rand.NewPCG(1, 0)), newPool(poolWindow)
			better, worse := tt.chooser.score(now, &tt.better, p, r), tt.chooser.score(now, &tt.worse, p, r)
			assert.Assert(t, better < worse, "%f %f", better, worse)
		})
	}
}

// TestLeastLatencyFactors compares upstreams that differ in a single factor by more than
// the jitter.
func TestLeastLatencyFactors(t *testing.T) {
	const now = time.Minute
	near := func(change func(u *Upstream)) Upstream {
		u := Upstream{near: true, condition: condition{observedAt: now}}
		change(&u)
		return u
	}
	tests := []struct {
		name  string
		worse Upstream
	}{
		{"slower than its like", near(func(u *Upstream) { u.condition.slowness = 1.1 })},
		{"fails a part of its calls", near(func(u *Upstream) { u.condition.faults = 0.01 })},
		{"this host's calls are ahead", near(func(u *Upstream) { u.slots.share, u.slots.inUse = 4, 1 })},
		{"other hosts' calls are ahead", near(func(u *Upstream) { u.load = queueReport{perSlot: 0.25, reportedAt: now} })},
		{"in another hall", Upstream{condition: condition{observedAt: now}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, p := rand.New(rand.NewPCG(1, 0)), newPool(poolWindow)
			plain := near(func(*Upstream) {})
			better, worse := leastLatency{}.score(now, &plain, p, r), leastLatency{}.score(now, &tt.worse, p, r)
			assert.Assert(t, better < worse, "%f %f", better, worse)
		})
	}
}

// TestOldObservationWeighsLess checks that an upstream that was slow scores better once
// the observation is old.
func TestOldObservationWeighsLess(t *testing.T) {
	const now = time.Minute
	r, p := rand.New(rand.NewPCG(1, 0)), newPool(poolWindow)
	recent := Upstream{near: true, condition: condition{slowness: 4, observedAt: now}}
	old := Upstream{near: true, condition: condition{slowness: 4, observedAt: now - minWeightAge}}
	assert.Assert(t, leastLatency{}.score(now, &old, p, r) < 0.6*leastLatency{}.score(now, &recent, p, r))
}
