package pass

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/policy"
)

// TestStatedTimeBeyondTheRouteLimit guards against one caller that states a very long time and
// so makes the first attempts of all others count as retries that are late on arrival.
func TestStatedTimeBeyondTheRouteLimit(t *testing.T) {
	s := newRoomSetup(t, policy.OverloadShortage)
	v := s.weak.kernel.View()
	route := v.Index.RouteByName("Find")
	limit := time.Duration(route.TimeLimit)
	for _, stated := range []time.Duration{100 * limit, limit} {
		q := &request{engine: s.weak.engine, view: v, route: route}
		r := httptest.NewRequest("GET", "/find/x", nil)
		r.Header.Set(names.DeadlineMillis, strconv.FormatInt(stated.Milliseconds(), 10))
		assert.Assert(t, q.readDeadline(httptest.NewRecorder(), r))
		assert.Equal(t, q.spentBefore, time.Duration(0), "stated %s", stated)
	}
}
