package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestEvacuationsInAnyOrder applies evacuations, their ends and complete directories out
// of order and twice. The resulting evacuated halls must be the same, and an evacuation
// that has ended must not come back.
func TestEvacuationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var inOrder *Directory
		var history []DirectoryChange
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			hall, revision := fmt.Sprint("H", rapid.IntRange(0, 2).Draw(t, "hall")), uint64(i+1)
			c := DirectoryChange{Revision: revision}
			if rapid.Bool().Draw(t, "resume") {
				c.Resumed = []Removal{{Name: hall, Revision: revision}}
			} else {
				c.Evacuated = []Evacuation{{Hall: hall, Revision: revision}}
			}
			history = append(history, c)
			inOrder, _ = inOrder.With(&c)
			if rapid.IntRange(0, 3).Draw(t, "whole") == 0 {
				whole := inOrder.Whole()
				whole.Resumed = nil // as a platform that forgot its history lists it
				history = append(history, whole)
			}
		}
		mixed := applyShuffled(t, history)
		assert.DeepEqual(t, mixed.EvacuatedHalls(), inOrder.EvacuatedHalls())
		assert.Equal(t, mixed.Digest(), inOrder.Digest())
		var late *Directory
		whole := mixed.Whole()
		late, _ = late.With(&whole)
		assert.DeepEqual(t, late.EvacuatedHalls(), inOrder.EvacuatedHalls())
		since := mixed.Since(nil)
		assert.DeepEqual(t, since, mixed.Whole())
	})
}

func TestEvacuationsAreChanges(t *testing.T) {
	d, _ := (*Directory)(nil).With(&DirectoryChange{Revision: 1, Listed: []Listing{{Name: "U", Group: "G", Hall: "A", Revision: 1}}})
	e, changed := d.With(&DirectoryChange{Revision: 2, Evacuated: []Evacuation{{Hall: "A", Revision: 2}}})
	assert.Assert(t, changed && e.Digest() != d.Digest() && e.Evacuated("A") && !d.Evacuated("A"))
	assert.DeepEqual(t, e.Since(d).Evacuated, []Evacuation{{Hall: "A", Revision: 2}})
	assert.Equal(t, e.UpstreamsPerHall()["A"], 0)
	r, changed := e.With(&DirectoryChange{Revision: 3, Resumed: []Removal{{Name: "A", Revision: 3}}})
	assert.Assert(t, changed && r.Digest() == d.Digest() && !r.Evacuated("A"))
	assert.DeepEqual(t, r.Since(e).Resumed, []Removal{{Name: "A", Revision: 3}})
	again, changed := r.With(&DirectoryChange{Revision: 3, Evacuated: []Evacuation{{Hall: "A", Revision: 2}, {Revision: 4}}})
	assert.Assert(t, !changed && len(again.EvacuatedHalls()) == 0, "an old entry, and one that names no hall")
}
