package pass

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/policy"
)

// TestLateRefusalNamesItsCause guards against refusals that come late and whose log line does not
// tell whether the gate made the request wait or other hosts held it before.
func TestLateRefusalNamesItsCause(t *testing.T) {
	for _, entered := range []policy.Decision{policy.DecisionWait, policy.DecisionRefuse} {
		var log lockedBuffer
		h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
		q := newReportedGate(h, "Late"+string(entered), 1)
		now := h.kernel.Now()
		q.times.startedAt = now - 3*time.Second
		q.recordDecision(policy.Outlook{Decision: entered}, true, now-time.Second)
		q.refuseAtGate(httptest.NewRecorder(), &policy.Refusal{Reason: "no capacity", RetryAfter: time.Second})
		var line map[string]any
		assert.NilError(t, json.Unmarshal([]byte(log.String()), &line), "%s", log.String())
		assert.Equal(t, line["Decision"], "Refuse")
		assert.Equal(t, line["Entered"], string(entered))
		assert.Assert(t, line["HeldMillis"].(float64) >= 2000 && line["WaitedMillis"].(float64) >= 1000, "%v", line)
	}
}
