package policy

import "time"

// Constants of stalls. Without the rule, more gathers are partial.
const (
	// stalledFactor is how many latencies may pass without any answer until an upstream is
	// considered unresponsive.
	stalledFactor = 2
	// stalledLeast is the least such time; it also holds while the latency is not known.
	minStallTime = 10 * time.Millisecond
	// stalledFor is how long an upstream is considered unresponsive while no call of this
	// host waits there that could show otherwise. Pauses of upstreams take some 100 ms.
	assumedStallDuration = 100 * time.Millisecond
	// LingerDuration is how long a call goes on whose answer is not wanted any more; longer than
	// upstreams pause, so that it shows the end of a pause without a probe. Without
	// lingering calls worth falls by up to 0.011.
	LingerDuration = 300 * time.Millisecond
)

// stall detects an upstream that accepts calls and answers none for a moment, as
// while its process pauses. It is called only if its shard has none but worse ones.
type stall struct {
	// unansweredSince is when the first call was sent after the last answer came; 0 if
	// no answer is pending.
	unansweredSince time.Duration
	// until is how long the upstream is considered unresponsive though no call of this
	// host is pending there.
	until time.Duration
	// lingering is true while a call goes on to show when the upstream answers again.
	lingering bool
}

func (s *stall) sent(now time.Duration) {
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
}

func (s *stall) assumeStalled(now time.Duration) { s.until = now + assumedStallDuration }

// answered notes an answer; pending is true if other calls wait for theirs.
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
