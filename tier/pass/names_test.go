package pass

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// TestNamesOfAnyText guards against a route or group whose name ends connections or the process,
// because the metrics library panics on a label that is not well formed.
func TestNamesOfAnyText(t *testing.T) {
	for i, name := range []string{
		"9", "_", "1234", "größe", `a"b`, `a\`, `\"`, "a\nb", "a,b=c{d}", "a b/c:d", strings.Repeat("long", 2000),
	} {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			h := newHost(t, hostConfig{name: "H1", hall: "A", overload: policy.OverloadShortage})
			d := singleDoc()
			d.Routes[0].Name, d.Routes[0].Group = name, name
			d.Groups[0].Name = name
			h.applyDocument(d)
			h.listUpstream(name, "A", newFakeUpstream(t, "U1", good("x")), false)
			assert.Equal(t, h.send(http.MethodGet, "/read/", "1", 2000, "").status, http.StatusOK)
			counted := metricLines(`loomgap_routed_total{Route="` + labelValue(name) + `",Outcome="Served"}`)
			assert.Equal(t, len(counted), 1)
			assert.Assert(t, len(counted[0]) < 300, "%d bytes", len(counted[0]))
		})
	}
}

// TestFaultyRouteRefusesItsRequests guards against requests of a route that cannot be applied
// that are answered with 404, or run by a route with a shorter prefix.
func TestFaultyRouteRefusesItsRequests(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	orders, other := newFakeUpstream(t, "U1", good("x")), newFakeUpstream(t, "U2", good("x"))
	h.listUpstream("Orders", "A", orders, false)
	h.listUpstream("Other", "A", other, false)
	d := singleDoc()
	h.applyDocument(d)
	assert.Equal(t, h.send(http.MethodGet, "/read/deep/", "1", 2000, "").status, http.StatusOK)
	d.Routes[2].Split = []config.WeightedGroup{{Group: "Other", Weight: 1}}
	h.applyFaulty(d, "/Routes/2/Group")
	for _, route := range []string{"/read/deep/", "/read/deep/x"} {
		answer := h.send(http.MethodGet, route, "2", 2000, "")
		assert.Equal(t, answer.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after >= retryAfterRouteFault.Seconds())
	}
	assert.Equal(t, orders.seen("2")+other.seen("2"), 0)
	assert.Equal(t, h.send(http.MethodGet, "/read/", "3", 2000, "").status, http.StatusOK)
	h.applyDocument(singleDoc())
	assert.Equal(t, h.send(http.MethodGet, "/read/deep/", "4", 2000, "").status, http.StatusOK)
}

// TestLongTimesAreHeld guards against times that overflow, so that a request is late at once.
func TestLongTimesAreHeld(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A", overload: policy.OverloadShortage})
	h.listUpstream("Orders", "A", newFakeUpstream(t, "U1", good("x")), false)
	for _, limit := range []time.Duration{26 * time.Hour, 1 << 62, 1<<63 - 1} {
		d := singleDoc()
		d.Routes[0].TimeLimit, d.Routes[0].Objective = config.Duration(limit), config.Duration(limit)
		h.applyDocument(d)
		for _, left := range []int{1000, 1 << 53, 1<<63 - 1} {
			assert.Equal(t, h.send(http.MethodGet, "/read/", "1", left, "").status, http.StatusOK, "limit %v, left %d", limit, left)
		}
	}
}
