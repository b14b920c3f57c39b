package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestWarmupChangesInSteps checks that a heartbeat of a cold upstream changes the
// directory only if its remaining warm-up differs by a step.
func TestWarmupChangesInSteps(t *testing.T) {
	var d *Directory
	steps := []struct {
		warmup Duration
		want   bool
	}{
		{2900 * 1e6, true}, {2500 * 1e6, false}, {1400 * 1e6, true}, {3000 * 1e6, true}, {200 * 1e6, true}, {0, true}, {0, false},
	}
	for i, s := range steps {
		before := d.Digest()
		next, changed := d.With(&DirectoryChange{Revision: uint64(i + 1), Listed: []Listing{{Name: "U", Group: "G", Warmup: s.warmup, Revision: uint64(i + 1)}}})
		assert.Equal(t, changed, s.want, "step %d", i)
		assert.Equal(t, next.Digest() != before, s.want, "step %d", i)
		d = next
	}
}
