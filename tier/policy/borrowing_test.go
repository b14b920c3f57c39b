package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestBorrowing(t *testing.T) {
	// A step is so many calls that are not shed; 0 is one that is.
	const shed = 0
	tests := []struct {
		name           string
		steps          []int
		borrowed, next int
	}{
		{"too few calls", []int{borrowFirst - 1}, 0, borrowFirst},
		{"enough calls", []int{borrowFirst}, 1, borrowFirst},
		{"as many again", []int{2 * borrowFirst}, 2, borrowFirst},
		{"no more than there are", []int{9 * borrowFirst}, 3, borrowFirst},
		{"a shed without borrowed slots costs nothing", []int{borrowFirst - 1, shed}, 0, borrowFirst},
		{"calls before a shed do not count", []int{borrowFirst - 1, shed, 1}, 0, borrowFirst},
		{"a shed gives all back", []int{2 * borrowFirst, shed}, 0, 4 * borrowFirst},
		{"and delays the next", []int{borrowFirst, shed, 4*borrowFirst - 1}, 0, 4 * borrowFirst},
		{"which comes later", []int{borrowFirst, shed, 4 * borrowFirst}, 1, 4 * borrowFirst},
		{"the delay halves", []int{borrowFirst, shed, 8 * borrowFirst}, 2, 2 * borrowFirst},
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
			assert.Equal(t, b.next(), tt.next)
		})
	}
}

// TestBorrowingIsNotDelayedForEver has an upstream shed whenever a slot is borrowed.
func TestBorrowingIsNotDelayedForEver(t *testing.T) {
	b := borrowing{}
	for range 20 {
		b.borrowed = 1
		b.shed()
	}
	assert.Equal(t, b.next(), borrowLatest)
}
