package pass

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// metricLines returns the lines of all metrics that begin with a prefix.
func metricLines(prefix string) (out []string) {
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	for _, l := range strings.Split(text.String(), "\n") {
		if strings.HasPrefix(l, prefix) {
			out = append(out, l)
		}
	}
	return out
}

// decisionCount returns how often a decision about requests of a route was counted.
func decisionCount(route string, d policy.Decision) uint64 {
	return metrics.GetOrCreateCounter(`loomgap_gate_decisions_total{Route="` + route + `",Decision="` + string(d) + `"}`).Get()
}

// TestGaugesOfGateEndWithIt guards against gauges of sets of groups that are no longer used,
// which would accumulate with each change of an index.
func TestGaugesOfGateEndWithIt(t *testing.T) {
	state := policy.GateState{Places: 7, InFlight: 6, Waiting: 5, Limited: true}
	r := newGateReport([]string{"GaugeTest", "Other", "Third"}, func() policy.GateState { return state })
	const labels = `{Groups="GaugeTest/3"} `
	for _, want := range []string{
		"loomgap_gate_places" + labels + "7", "loomgap_gate_in_flight" + labels + "6",
		"loomgap_gate_waiting" + labels + "5", "loomgap_gate_shortage" + labels + "1",
	} {
		assert.DeepEqual(t, metricLines(want), []string{want})
	}
	state.Limited = false
	assert.DeepEqual(t, metricLines("loomgap_gate_shortage"+labels), []string{"loomgap_gate_shortage" + labels + "0"})
	r.close()
	for _, l := range metricLines("loomgap_gate_") {
		assert.Assert(t, !strings.Contains(l, "GaugeTest"), "%s", l)
	}
}

// TestRecentRefusalsExpire guards against a status that shows refusals of long ago as recent.
func TestRecentRefusalsExpire(t *testing.T) {
	var c recentRefusals
	c.add(time.Second)
	c.add(9 * time.Second)
	assert.Equal(t, c.count(9*time.Second), uint64(2))
	c.add(11 * time.Second)
	assert.Equal(t, c.count(19*time.Second), uint64(3))
	assert.Equal(t, c.count(20*time.Second), uint64(1))
	assert.Equal(t, c.count(41*time.Second), uint64(0))
	c.add(5 * time.Second) // a request that read the clock earlier
	assert.Equal(t, c.count(41*time.Second), uint64(1))
}

// newReportedGate gives a host a gate for one group that a request has just used, and returns a
// request at it. An idle gate would be dropped during the test.
func newReportedGate(h *host, group string, rank int) *request {
	g := h.engine.newGate([]string{group})
	g.usedAt = h.kernel.Now()
	gates := &h.engine.gates
	gates.mu.Lock()
	defer gates.mu.Unlock()
	gates.byKey = map[uint64]*gate{1: g}
	return &request{
		engine: h.engine, view: h.kernel.View(), route: &config.Route{Name: group, Priority: rank},
		in: inboundRequest{id: "r-1"}, gate: g,
	}
}

// TestRefusalByGateIsExplained requires that the log line of a refused request has what the
// gate based its decision on, and that the refusal is counted. A request that had to wait
// first counts as refused, not as one that waited.
func TestRefusalByGateIsExplained(t *testing.T) {
	var log lockedBuffer
	h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
	q := newReportedGate(h, "Explained", 2)
	counted := decisionCount("Explained", policy.DecisionRefuse)
	q.recordDecision(policy.Outlook{Decision: policy.DecisionLate, Wait: 1500 * time.Millisecond, Ahead: 7}, true, h.kernel.Now()-time.Second)
	w := httptest.NewRecorder()
	q.refuseAtGate(w, &policy.Refusal{Reason: "no capacity", RetryAfter: 30 * time.Millisecond})

	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "0.030", "the gate's time is not changed")
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(log.String()), &line), "%s", log.String())
	for name, want := range map[string]any{
		"Reason": "no capacity", "Decision": "Refuse", "Rank": 2.0, "Ahead": 7.0, "Places": 0.0, "InFlight": 0.0, "ExpectedWaitMillis": 1500.0,
		"RetryMillis": 30.0,
	} {
		assert.Equal(t, line[name], want, "%s in %v", name, line)
	}
	assert.Assert(t, line["WaitedMillis"].(float64) >= 1000, "%v", line)
	assert.Equal(t, decisionCount("Explained", policy.DecisionRefuse), counted+1)
	assert.Equal(t, decisionCount("Explained", policy.DecisionLate), uint64(0))

	states := h.kernel.Gates()
	assert.Equal(t, len(states), 1)
	assert.Equal(t, states[0].Groups, "Explained/1")
	assert.Equal(t, states[0].RefusedRecently, uint64(1))
}

// TestWaitAtGateIsMeasured requires that the wait of a request that is answered is in its log
// line and in the histogram of its rank.
func TestWaitAtGateIsMeasured(t *testing.T) {
	var log lockedBuffer
	h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
	q := newReportedGate(h, "Waited", 76)
	counted := decisionCount("Waited", policy.DecisionWait)
	q.recordDecision(policy.Outlook{Decision: policy.DecisionWait, Wait: 20 * time.Millisecond, Ahead: 1}, false, h.kernel.Now())
	q.log(outcomeServed, http.StatusOK).Msg("request answered")
	assert.Assert(t, strings.Contains(log.String(), `"Decision":"Wait","Rank":76,"Ahead":1`), "%s", log.String())
	assert.Equal(t, decisionCount("Waited", policy.DecisionWait), counted+1)
	assert.Equal(t, len(metricLines(`loomgap_gate_wait_seconds_count{Rank="76"}`)), 1)
	assert.Equal(t, h.kernel.Gates()[0].RefusedRecently, uint64(0))
}

// TestRequestThatRunsAtOnceIsLoggedAsBefore guards against additional log fields and times
// while there is no shortage.
func TestRequestThatRunsAtOnceIsLoggedAsBefore(t *testing.T) {
	var log lockedBuffer
	h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
	q := newReportedGate(h, "AtOnce", 77)
	counted := decisionCount("AtOnce", policy.DecisionRun)
	q.recordDecision(policy.Outlook{Decision: policy.DecisionRun}, false, h.kernel.Now())
	q.log(outcomeServed, http.StatusOK).Msg("request answered")
	assert.Assert(t, !strings.Contains(log.String(), "Decision"), "%s", log.String())
	assert.Equal(t, decisionCount("AtOnce", policy.DecisionRun), counted+1)
	assert.Equal(t, len(metricLines(`loomgap_gate_wait_seconds_count{Rank="77"}`)), 0)
}
