package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestBorrowing(t *testing.T) {
	// A step is a number of calls that are not shed; 0 is a call that is shed.
	const shed = 0
	tests := []struct {
		name                    string
		steps                   []int
		borrowed, callsToBorrow int
	}{
		{"too few calls", []int{minCallsToBorrow - 1}, 0, minCallsToBorrow},
		{"enough calls", []int{minCallsToBorrow}, 1, minCallsToBorrow},
		{"as many again", []int{2 * minCallsToBorrow}, 2, minCallsToBorrow},
		{"no more than there are", []int{9 * minCallsToBorrow}, 3, minCallsToBorrow},
		{"a shed without borrowed slots costs nothing", []int{minCallsToBorrow - 1, shed}, 0, minCallsToBorrow},
		{"calls before a shed do not count", []int{minCallsToBorrow - 1, shed, 1}, 0, minCallsToBorrow},
		{"a shed gives all back", []int{2 * minCallsToBorrow, shed}, 0, 4 * minCallsToBorrow},
		{"and delays the next", []int{minCallsToBorrow, shed, 4*minCallsToBorrow - 1}, 0, 4 * minCallsToBorrow},
		{"which comes later", []int{minCallsToBorrow, shed, 4 * minCallsToBorrow}, 1, 4 * minCallsToBorrow},
		{"the delay halves", []int{minCallsToBorrow, shed, 8 * minCallsToBorrow}, 2, 2 * minCallsToBorrow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := borrowing{}
			for _, n := range tt.steps {
				if n == shed {
					b.shed()
				}
				for range n {
					b.succeeded(3)
				}
			}
			assert.Equal(t, b.borrowed, tt.borrowed)
			assert.Equal(t, b.callsToBorrow(), tt.callsToBorrow)
		})
	}
}

// TestBorrowingDelayIsCapped checks the cap on the calls needed to borrow a slot when the
// upstream sheds after each borrowed slot.
func TestBorrowingDelayIsCapped(t *testing.T) {
	b := borrowing{}
	for range 20 {
		b.borrowed = 1
		b.shed()
	}
	assert.Equal(t, b.callsToBorrow(), maxCallsToBorrow)
}
