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
		good     bool
		want     time.Duration
	}{
		{"none", 0, false, 0},
		{"one fewer than it takes", ejectAfter - 1, false, 0},
		{"enough", ejectAfter, false, time.Second},
		{"one more doubles it", ejectAfter + 1, false, 2 * time.Second},
		{"four more", ejectAfter + 4, false, 16 * time.Second},
		{"the longest", ejectAfter + 5, false, 30 * time.Second},
		{"many more", ejectAfter + 500, false, 30 * time.Second},
		{"a good call ends it", ejectAfter + 5, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const now = time.Minute
			e := ejection{}
			for range tt.failures {
				e.failed(now)
			}
			if tt.good {
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
