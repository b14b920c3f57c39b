package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEjection(t *testing.T) {
	tests := []struct {
		name     string
		failures int
		success  bool
		want     time.Duration
	}{
		{"none", 0, false, 0},
		{"one fewer than it takes", ejectAfterFailures - 1, false, 0},
		{"enough", ejectAfterFailures, false, time.Second},
		{"one more doubles it", ejectAfterFailures + 1, false, 2 * time.Second},
		{"four more", ejectAfterFailures + 4, false, 16 * time.Second},
		{"the longest", ejectAfterFailures + 5, false, 30 * time.Second},
		{"many more", ejectAfterFailures + 500, false, 30 * time.Second},
		{"a good call ends it", ejectAfterFailures + 5, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const now = time.Minute
			e := ejection{}
			for range tt.failures {
				e.failed(now)
			}
			if tt.success {
				e.succeeded()
			}
			assert.Equal(t, e.active(now), tt.want > 0)
			assert.Assert(t, !e.active(now+tt.want))
			if tt.want > 0 {
				assert.Assert(t, e.active(now+tt.want-1))
			}
		})
	}
}
