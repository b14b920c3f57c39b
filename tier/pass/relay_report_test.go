package pass

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReplyDelay checks how long a reply waits for further calls to end.
func TestReplyDelay(t *testing.T) {
	good, failed := callReport{Stamp: "S"}, callReport{Outcome: "Failed"}
	tests := []struct {
		name        string
		ended       []callReport
		firstWasDue bool
		delay       time.Duration
		due         bool
	}{
		{"nothing ended", nil, true, 0, false},
		{"success before the first reply", []callReport{good}, false, progressReplyDelay, false},
		{"success after it", []callReport{good}, true, progressReplyDelay, true},
		{"failure before the first reply", []callReport{good, failed}, false, failureReplyDelay, true},
		{"failure after it", []callReport{failed, good}, true, failureReplyDelay, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := unreported{merger: merger{top: 1}}
			for _, c := range tt.ended {
				u.add(c, nil)
			}
			delay, due := u.replyDelay(tt.firstWasDue)
			assert.Equal(t, delay, tt.delay)
			assert.Equal(t, due, tt.due)
			calls, _, _ := u.take()
			assert.Equal(t, len(calls), len(tt.ended))
			_, due = u.replyDelay(true)
			assert.Assert(t, !due, "reported calls need no further reply")
		})
	}
}
