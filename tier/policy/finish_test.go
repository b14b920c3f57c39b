package policy

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestProgress(t *testing.T) {
	tests := []struct {
		name             string
		progress         progress
		coverage         float64
		covers, canCover bool
	}{
		{"all are open", progress{parts: 4, open: 4}, 0.5, false, true},
		{"half is included", progress{parts: 4, open: 2, included: 2}, 0.5, true, true},
		{"the rest is missing", progress{parts: 4, included: 2}, 0.5, true, true},
		{"one too many is missing", progress{parts: 4, open: 1, included: 1}, 0.75, false, false},
		{"none may be missing", progress{parts: 4, open: 1, included: 2}, 1, false, false},
		{"no coverage is needed", progress{parts: 4}, 0, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := fmt.Sprint(tt.progress.covers(tt.coverage), tt.progress.canCover(tt.coverage))
			assert.Equal(t, got, fmt.Sprint(tt.covers, tt.canCover))
		})
	}
}
