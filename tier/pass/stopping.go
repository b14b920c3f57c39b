package pass

import (
	"net/http"
	"time"
)

// A stopping host still takes requests until the balancer knows, and knows when it will end. A
// request that it cannot be expected to finish by then is refused before anything of it runs, so
// that its caller asks another host.

const (
	// stopReserve is the time before the end of the host in which responses are written.
	stopReserve = 100 * time.Millisecond
	// expectedRunNumerator and expectedRunDivisor are the share of the longest recent run of a
	// route that a request is expected to take: upstreams may be slower now.
	expectedRunNumerator, expectedRunDivisor = 5, 4
)

// refuseAtStop refuses the request if this host is stopping and may end before the request does,
// and reports whether it did. Otherwise the request has to end with the host.
func (q *request) refuseAtStop(w http.ResponseWriter) bool {
	left, stopping := q.engine.kernel.StopLeft()
	if !stopping {
		return false
	}
	now := q.engine.kernel.Now()
	left -= stopReserve
	if q.expectedRun(now) > left {
		q.refuse(w, "this host stops before the request may end", retryAfterStop)
		return true
	}
	q.times.deadline = min(q.times.deadline, now+left)
	return false
}

// expectedRun returns how long the request may run: the time to its deadline, or less if all
// recent requests of its route were faster.
func (q *request) expectedRun(now time.Duration) time.Duration {
	left := q.times.deadline - now
	longest, known := q.engine.runTimes.of(q.route.Name)
	if !known {
		return left
	}
	return min(left, longest*expectedRunNumerator/expectedRunDivisor)
}

// recordRun records how long the request took since its calls began, whoever made them.
func (q *request) recordRun(began time.Duration) {
	now := q.engine.kernel.Now()
	q.engine.runTimes.record(now, q.route.Name, now-began)
}
