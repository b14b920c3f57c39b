package main

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	opsgen "loomgap/tier/gen/ops"
)

// TestStatusDescribesGate guards the line of a gate, by which operators see why requests are
// delayed or refused.
func TestStatusDescribesGate(t *testing.T) {
	idle := &opsgen.GateStatus{Groups: "Orders/1", Base: 3, Reason: "Shed"}
	assert.Equal(t, describeGate(idle),
		"Gate Orders/1: no limit, base 3, 0 in flight, 0 waiting, 0 refused recently, 0 in all, 0.0 per second, call 0 us")
	limited := &opsgen.GateStatus{
		Groups: "S0/90", Base: 3, Places: 8, Limited: true, Reason: "Queues", InFlight: 8, Waiting: 5,
		WaitingByRank: map[int]uint32{2: 4, 0: 1}, Refused: 70, RefusedRecently: 12, PerSecond: 31.25, ServiceMicros: 28000,
	}
	assert.Equal(t, describeGate(limited),
		"Gate S0/90: limited (Queues) to 8 places, base 3, 8 in flight, 5 waiting (1 of rank 0, 4 of rank 2), 12 refused recently, 70 in all, 31.2 per second, call 28000 us")
}

// TestStatusHasGates reads the status of a host with gates and of an older one without: the
// command must work with both.
func TestStatusHasGates(t *testing.T) {
	for file, gates := range map[string]int{"status-full.json": 2, "status-start.json": 0} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			http.ServeFile(w, r, "../tier/kernel/testdata/"+file)
		}))
		defer s.Close()
		c := connection{operate: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), timeout: time.Minute}
		status, err := c.ops().Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(status.Gates), gates, file)
		if gates > 0 {
			assert.DeepEqual(t, status.Gates[1].WaitingByRank, map[int]uint32{0: 1, 2: 4})
		}
	}
}
