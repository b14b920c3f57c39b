package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAllowedWork(t *testing.T) {
	const remaining = 100 * time.Millisecond
	tests := []struct {
		name                  string
		rule                  admission
		worthPerCall, highest float64
		want                  time.Duration
	}{
		{"deadline", admitDeadline{}, 1, 5, remaining},
		{"the best class", admitWorth{}, 5, 5, 75 * time.Millisecond},
		{"better than any", admitWorth{}, 6, 5, 75 * time.Millisecond},
		{"nothing known of others", admitWorth{}, 1, 0, 75 * time.Millisecond},
		{"half as good", admitWorth{}, 2.5, 5, 47500 * time.Microsecond},
		{"worth nothing", admitWorth{}, 0, 5, 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.rule.allowedWork(remaining, tt.worthPerCall, tt.highest).Round(time.Microsecond), tt.want)
		})
	}
	assert.Assert(t, admitAll{}.allowedWork(0, 0, 0) > 24*time.Hour, "every request must be admitted")
}
