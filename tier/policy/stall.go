package policy

import "time"

// Hosts avoid unresponsive upstreams so that fewer gathers are incomplete.
const (
	// stalledFactor is the number of latencies without any answer after which an upstream
	// is considered unresponsive.
	stalledFactor = 2
	// minStallTime is the minimum time without any answer. It also applies while the
	// latency is unknown.
	minStallTime = 10 * time.Millisecond
	// assumedStallDuration is how long an upstream is considered unresponsive while this
	// host has no call in progress that could show otherwise. It matches typical pauses of
	// an upstream's process.
	assumedStallDuration = 100 * time.Millisecond
	// LingerDuration is how long a call that is no longer needed may continue. It exceeds
	// typical pauses of upstreams, so that the call shows the end of a pause without a
	// probe.
	LingerDuration = 300 * time.Millisecond
)

// stall detects an unresponsive upstream: one that accepts calls but temporarily answers
// none, for example while its process is paused. It is called only if its shard has no
// better upstream.
type stall struct {
	// unansweredSince is when the first call after the latest answer was sent; 0 if no
	// answer is pending.
	unansweredSince time.Duration
	// until is when the upstream stops being considered unresponsive if this host has no
	// call in progress there.
	until time.Duration
	// lingering is true while a call continues only to show when the upstream responds
	// again.
	lingering bool
}

func (s *stall) sent(now time.Duration) {
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
}

func (s *stall) assumeStalled(now time.Duration) { s.until = now + assumedStallDuration }

// answered records an answer. pending is true if other calls still wait for theirs.
func (s *stall) answered(now time.Duration, pending bool) {
	s.unansweredSince, s.until = 0, 0
	if pending {
		s.unansweredSince = now
	}
}

func (s *stall) active(now, latency time.Duration) bool {
	if now < s.until {
		return true
	}
	return s.unansweredSince > 0 && now-s.unansweredSince > max(stalledFactor*latency, minStallTime)
}
