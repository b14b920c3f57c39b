package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestQueueReport(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name string
		load Load
		age  time.Duration
		want float64
	}{
		{"no report", Load{}, 0, 0},
		{"no queue", Load{Running: 4, Slots: 4}, 0, 0},
		{"just reported", Load{Running: 4, Waiting: 8, Slots: 4}, 0, 2},
		{"half its life old", Load{Waiting: 8, Slots: 4}, loadTTL / 2, 1},
		{"too old", Load{Waiting: 8, Slots: 4}, loadTTL, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := queueReport{}
			q.update(now, tt.load)
			assert.Equal(t, q.expectedPerSlot(now+tt.age), tt.want)
		})
	}
}

// TestAnswerWithoutReportKeepsQueueReport guards against forgetting the queue of an upstream
// when an answer carries no report.
func TestAnswerWithoutReportKeepsQueueReport(t *testing.T) {
	q := queueReport{}
	q.update(time.Minute, Load{Waiting: 4, Slots: 4})
	q.update(time.Minute+loadTTL/2, Load{})
	assert.Equal(t, q.expectedPerSlot(time.Minute), 1.0)
}
