package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDecideRetry checks the decision for a routed part with two upstreams whose only call
// failed.
func TestDecideRetry(t *testing.T) {
	shedding := func(u *Upstream) { u.backoff.until = time.Minute }
	leaving := func(u *Upstream) { u.leaving = true }
	tests := []struct {
		name     string
		outcome  CallOutcome
		write    bool
		attempts int
		budget   float64
		// other changes the upstream that was not called.
		other func(u *Upstream)
		want  nextStep
	}{
		{"another is eligible", CallBroken, false, 2, 1, nil, stepRetry},
		{"the budget is spent", CallBroken, false, 2, 0, nil, stepGiveUp},
		{"a call that did not arrive costs none", CallUnreachable, false, 2, 0, nil, stepRetry},
		{"no attempt is left", CallBroken, false, 1, 1, nil, stepGiveUp},
		{"a refusal is no attempt", CallShed, false, 1, 1, nil, stepRetry},
		{"a write may have run", CallBroken, true, 2, 1, nil, stepGiveUp},
		{"a write did not run", CallUnreachable, true, 2, 1, nil, stepRetry},
		{"the other one sheds too", CallShed, false, 2, 1, shedding, stepPause},
		{"one that sheds is better than none", CallBroken, false, 2, 1, shedding, stepRetry},
		{"the other one leaves", CallBroken, false, 2, 1, leaving, stepGiveUp},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := routedFleet(1, RetryBudget{Ratio: tt.budget, Depth: 10 * tt.budget})
			r, actions := routedRun(t, f, 0, 1, tt.attempts, 1, !tt.write)
			sent := sends(actions)[0]
			for _, u := range r.parts[0].replicas {
				if u != sent.Upstream && tt.other != nil {
					tt.other(u)
				}
			}
			r.attempts[sent.Attempt].phase = phaseDone
			r.parts[0].active = removeFirst(r.parts[0].active, sent.Attempt)
			r.parts[0].recordOutcome(tt.outcome)
			assert.Equal(t, r.decideRetry(time.Millisecond, 0, tt.outcome), tt.want)
		})
	}
}
