package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDecideHedge checks the decision for a routed part with two upstreams whose only call
// is slow.
func TestDecideHedge(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
		budget   float64
		change   func(r *Run, other *Upstream)
		want     HedgeSkipReason
	}{
		{"another has a slot", 2, 1, func(*Run, *Upstream) {}, ""},
		{"the budget is spent", 2, 0, func(*Run, *Upstream) {}, HedgeNoBudget},
		{"no attempt is left", 1, 1, func(*Run, *Upstream) {}, HedgeNoBudget},
		{"the other one leaves", 2, 1, func(_ *Run, u *Upstream) { u.leaving = true }, HedgeNoUpstream},
		{"the other one is cold", 2, 1, func(r *Run, u *Upstream) {
			u.cold = cold{entry: Cold{Calls: 4}, until: time.Minute, owner: "H"}
			r.request.Routed.CanRelay = true
		}, HedgeCold},
		{"the other one is cold and barred", 2, 1, func(_ *Run, u *Upstream) {
			u.cold = cold{entry: Cold{Calls: 4}, until: time.Minute, owner: "H"}
		}, HedgeNoUpstream},
		{"the other one has no slot", 2, 1, func(_ *Run, u *Upstream) { u.slots.inUse = 100 }, HedgeNoSlot},
		{"the request is suspected", 2, 1, func(r *Run, _ *Upstream) {
			r.suspicion.identity, r.suspicion.reported = RequestIdentity{Fingerprint: "F"}, true
		}, HedgeSuspected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := routedFleet(1, RetryBudget{Ratio: tt.budget, Depth: 10 * tt.budget})
			r, actions := routedRun(t, f, 0, 1, tt.attempts, 1, true)
			for _, u := range r.parts[0].replicas {
				if u != sends(actions)[0].Upstream {
					tt.change(r, u)
				}
			}
			_, got := r.decideHedge(time.Millisecond, 0)
			assert.Equal(t, got, tt.want)
		})
	}
}
