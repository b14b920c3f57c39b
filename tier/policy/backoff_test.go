package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBackoff(t *testing.T) {
	tests := []struct {
		name    string
		sheds   int
		success bool
		want    time.Duration
	}{
		{"none", 0, false, 0},
		{"one", 1, false, 5 * time.Millisecond},
		{"two", 2, false, 10 * time.Millisecond},
		{"eight", 8, false, 640 * time.Millisecond},
		{"the longest", 9, false, time.Second},
		{"many", 500, false, time.Second},
		{"a good call ends it", 9, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const now = time.Minute
			b := backoff{}
			for range tt.sheds {
				b.shed(now)
			}
			if tt.success {
				b.succeeded()
			}
			assert.Equal(t, b.active(now), tt.want > 0)
			assert.Assert(t, !b.active(now+tt.want))
			if tt.want > 0 {
				assert.Assert(t, b.active(now+tt.want-1))
			}
		})
	}
}
