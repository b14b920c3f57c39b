package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCallLimit(t *testing.T) {
	const slots = 6
	tests := []struct {
		name      string
		inUse     int
		successes int
		want      int
	}{
		{"one less than under way", 6, 0, 5},
		{"never below the least", 1, 0, minCallLimit},
		{"too few good calls", 4, 3*limitGrowth - 1, 3},
		{"enough good calls", 4, 3 * limitGrowth, 4},
		{"enough for one more", 4, (3 + 4) * limitGrowth, 5},
		{"dropped at the slots", 4, (3 + 4 + 5) * limitGrowth, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := callLimit{}
			l.succeeded(slots)
			assert.Assert(t, !l.active(), "successful calls do not set a limit")
			l.reset(tt.inUse)
			for range tt.successes {
				l.succeeded(slots)
			}
			assert.Equal(t, l.calls, tt.want)
		})
	}
}
