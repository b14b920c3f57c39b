package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
)

// TestLapseHoldsRemovalsAfterAnAbsence has changes come a while after the platform
// returned.
func TestRemovalsAreHeldAfterOutage(t *testing.T) {
	const returned = time.Minute
	var listed *config.Directory
	listed, _ = listed.With(&config.DirectoryChange{
		Revision: 3, Whole: true, Evacuated: []config.Evacuation{{Hall: "A", Revision: 2}},
		Listed: []config.Listing{{Name: "U1", Group: "G", Revision: 1}, {Name: "U2", Group: "G", Revision: 1}},
	})
	removal := config.DirectoryChange{Revision: 4, Removed: []config.Removal{{Name: "U1", Revision: 4}}}
	whole := config.DirectoryChange{Revision: 4, Whole: true, Listed: []config.Listing{{Name: "U2", Group: "G", Revision: 1}}}
	tests := []struct {
		name string
		// after is how long after its return the change comes.
		after   time.Duration
		change  config.DirectoryChange
		held    []config.Removal
		resumed int
	}{
		{"a removal at once", 0, removal, removal.Removed, 0},
		{"a removal late", lateRemovalWindow - 1, removal, removal.Removed, 0},
		{"a removal later", lateRemovalWindow, removal, nil, 0},
		{"a whole directory that lacks one", 0, whole, removal.Removed, 1},
		{"a whole directory later", lateRemovalWindow, whole, nil, 0},
		{"nothing removed", 0, config.DirectoryChange{Revision: 4}, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, c, now := removalHold{}, tt.change, returned+tt.after
			l.platformReturned(returned)
			l.hold(now, listed, &c)
			assert.DeepEqual(t, l.removals, tt.held)
			assert.Equal(t, len(c.Resumed), tt.resumed)
			if tt.held == nil {
				assert.Equal(t, l.wait(now, time.Hour), time.Hour)
				assert.Equal(t, len(l.release(now+removalHoldTime)), 0)
				return
			}
			assert.Assert(t, c.Removed == nil && !c.Whole)
			assert.Equal(t, l.wait(now, time.Hour), removalHoldTime)
			assert.Equal(t, len(l.release(now+removalHoldTime-1)), 0)
			assert.DeepEqual(t, l.release(now+removalHoldTime), tt.held)
			assert.Equal(t, len(l.release(now+removalHoldTime)), 0, "it is released once")
		})
	}
}
