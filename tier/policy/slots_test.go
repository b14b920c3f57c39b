package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSlots(t *testing.T) {
	tests := []struct {
		name            string
		slots           slots
		allowed, excess int
		callsPerSlot    float64
	}{
		{"idle", slots{share: 2, maxSlots: 4}, 2, 0, 0},
		{"one of two", slots{share: 2, maxSlots: 4, inUse: 1}, 2, 0, 0.5},
		{"full", slots{share: 2, maxSlots: 4, inUse: 2}, 2, 1, 1},
		{"a call waits", slots{share: 2, maxSlots: 4, inUse: 2, queue: waiters{{}}}, 2, 2, 1.5},
		{"borrowed", slots{share: 2, maxSlots: 4, borrowing: borrowing{borrowed: 2}, inUse: 3}, 4, 2, 1.5},
		{"limited", slots{share: 6, maxSlots: 6, limit: callLimit{calls: 3}}, 3, 0, 0},
		{"no share", slots{}, 0, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.slots.allowed(), tt.allowed)
			assert.Equal(t, tt.slots.excess(), tt.excess)
			assert.Equal(t, tt.slots.callsPerSlot(), tt.callsPerSlot)
		})
	}
}

// TestShrinkingSlotsReduceBorrowed changes the share and the slots of an upstream.
func TestShrinkingSlotsReduceBorrowed(t *testing.T) {
	s := slots{borrowing: borrowing{borrowed: 3}}
	s.set(2, 5)
	assert.Equal(t, s.allowed(), 5)
	s.set(3, 4)
	assert.Equal(t, s.allowed(), 4)
	s.set(3, 0)
	assert.Equal(t, s.maxSlots, 3, "no less than the share")
	assert.Equal(t, s.allowed(), 3)
}
