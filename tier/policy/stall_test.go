package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStall(t *testing.T) {
	const (
		now = time.Minute
		ms  = time.Millisecond
	)
	tests := []struct {
		name    string
		events  func(s *stall)
		latency time.Duration
		from    time.Duration // after now
		until   time.Duration // after now; 0 for never
	}{
		{"nothing sent", func(*stall) {}, 20 * ms, 0, 0},
		{"two latencies without an answer", func(s *stall) { s.sent(now) }, 20 * ms, 40*ms + 1, time.Hour},
		{"the first of two calls counts", func(s *stall) { s.sent(now); s.sent(now + 30*ms) }, 20 * ms, 40*ms + 1, time.Hour},
		{"a short latency", func(s *stall) { s.sent(now) }, ms, minStallTime + 1, time.Hour},
		{"an unknown latency", func(s *stall) { s.sent(now) }, 0, minStallTime + 1, time.Hour},
		{"an answer", func(s *stall) { s.sent(now); s.answered(now, false) }, 20 * ms, 0, 0},
		{"an answer while another is pending", func(s *stall) { s.sent(now - 30*ms); s.answered(now, true) }, 20 * ms, 40*ms + 1, time.Hour},
		{"assumed", func(s *stall) { s.assumeStalled(now) }, 20 * ms, 0, assumedStallDuration},
		{"assumed, then an answer", func(s *stall) { s.assumeStalled(now); s.answered(now, false) }, 20 * ms, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := stall{}
			tt.events(&s)
			if tt.until == 0 {
				assert.Assert(t, !s.active(now, tt.latency))
				assert.Assert(t, !s.active(now+time.Second, tt.latency))
				return
			}
			assert.Assert(t, tt.from == 0 || !s.active(now+tt.from-1, tt.latency))
			assert.Assert(t, s.active(now+tt.from, tt.latency))
			assert.Assert(t, s.active(now+tt.until-1, tt.latency))
			assert.Equal(t, s.active(now+tt.until, tt.latency), tt.until == time.Hour)
		})
	}
}
