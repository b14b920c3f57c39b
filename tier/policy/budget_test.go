package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestBudget(t *testing.T) {
	tests := []struct {
		name  string
		times int
		calls int
		ratio float64
		taken int
	}{
		{"it begins with a few", 0, 0, 0, budgetStart},
		{"it earns a part of each call", 1, 20, 0.1, budgetStart + 2},
		{"it holds its depth", 100, 20, 0.1, budgetDepth},
		{"it holds what two large requests earn", 9, 10_000, 0.1, 2000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := budget{budgetStart}
			for range tt.times {
				b.earn(tt.calls, tt.ratio)
			}
			taken := 0
			for b.take() {
				taken++
			}
			assert.Equal(t, taken, tt.taken)
		})
	}
}
