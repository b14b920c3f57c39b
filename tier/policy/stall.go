package policy

import "time"

// Constants of stalls: upstreams that answer nobody for a moment.
const (
	// stalledFactor is how many latencies may pass without any answer before an
	// upstream is taken to stand still, stalledLeast the least such time.
	stalledFactor = 2
	stalledLeast  = 10 * time.Millisecond
	// stalledFor is how long that is believed without a call that could tell;
	// pauses of upstreams take some 100 ms.
	stalledFor = 100 * time.Millisecond
	// LingerFor is how long a call goes on that is not wanted any more, longer
	// than upstreams pause.
	LingerFor = 300 * time.Millisecond
)

// stall is what is known of an upstream's standing still.
type stall struct {
	// unansweredSince is when the first call was sent that had no answer since the
	// last answer came; 0 if none is waited for.
	unansweredSince time.Duration
	// until is until when the upstream is believed to stand still though no call
	// of this host waits there.
	until time.Duration
	// lingering is true while a call goes on to show when it answers again.
	lingering bool
}

// sent notes that a call leaves.
func (s *stall) sent(now time.Duration) {
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
}

// believe has the upstream stand still for a while.
func (s *stall) believe(now time.Duration) { s.until = now + stalledFor }

// answered notes an answer; more is true if other calls still wait.
func (s *stall) answered(now time.Duration, more bool) {
	s.unansweredSince, s.until = 0, 0
	if more {
		s.unansweredSince = now
	}
}

// holds reports whether the upstream stands still, whose calls take as long as
// given.
func (s *stall) holds(now, latency time.Duration) bool {
	if now < s.until {
		return true
	}
	return s.unansweredSince > 0 && now-s.unansweredSince > max(stalledFactor*latency, stalledLeast)
}
