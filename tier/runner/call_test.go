package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/policy"
)

// TestFinalOutcome checks that calls that this host cancelled do not count as broken or
// lost.
func TestFinalOutcome(t *testing.T) {
	const deadline = time.Second
	tests := []struct {
		name      string
		now       time.Duration
		cancelled policy.CallOutcome
		outcome   policy.CallOutcome
		want      policy.CallOutcome
	}{
		{"an answer stays, though cancelled", 0, policy.CallCancelled, policy.CallOK, policy.CallOK},
		{"a crash stays, though cancelled", 0, policy.CallCancelled, policy.CallCrashed, policy.CallCrashed},
		{"cancelled", 0, policy.CallCancelled, policy.CallBroken, policy.CallCancelled},
		{"cancelled, and its host silent", 0, policy.CallLate, policy.CallLost, policy.CallLate},
		{"broke", 0, "", policy.CallBroken, policy.CallBroken},
		{"broke at the deadline", deadline, "", policy.CallBroken, policy.CallLate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &execution[int]{deadline: deadline}
			assert.Equal(t, e.finalOutcome(tt.now, &call{cancelOutcome: tt.cancelled}, tt.outcome), tt.want)
		})
	}
}
