package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSnapshotRangeHolds(t *testing.T) {
	tests := []struct {
		held     SnapshotRange
		snapshot uint64
		want     bool
	}{
		{SnapshotRange{}, 0, false},
		{SnapshotRange{Oldest: 3, Newest: 5}, 4, false},
		{SnapshotRange{Oldest: 3, Newest: 5, Known: true}, 2, false},
		{SnapshotRange{Oldest: 3, Newest: 5, Known: true}, 3, true},
		{SnapshotRange{Oldest: 3, Newest: 5, Known: true}, 5, true},
		{SnapshotRange{Oldest: 3, Newest: 5, Known: true}, 6, false},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.held.holds(tt.snapshot), tt.want, "%+v %d", tt.held, tt.snapshot)
	}
}

func TestStatusKeepsNewestRange(t *testing.T) {
	known := func(oldest, newest uint64) SnapshotRange {
		return SnapshotRange{Oldest: oldest, Newest: newest, Known: true}
	}
	tests := []struct {
		name     string
		reported []SnapshotRange
		want     SnapshotRange
		nowKnown bool
	}{
		{"nothing said", []SnapshotRange{{}}, SnapshotRange{}, false},
		{"the first", []SnapshotRange{known(1, 2)}, known(1, 2), true},
		{"a newer one", []SnapshotRange{known(1, 2), known(2, 3)}, known(2, 3), true},
		{"an older one came late", []SnapshotRange{known(2, 3), known(1, 2)}, known(2, 3), true},
		{"it dropped its oldest", []SnapshotRange{known(1, 3), known(2, 3)}, known(2, 3), true},
		{"an answer without a window", []SnapshotRange{known(1, 2), {}}, known(1, 2), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := status{reportedAt: never}
			for i, r := range tt.reported {
				s.update(time.Duration(i)*time.Second, r)
			}
			assert.Equal(t, s.snapshots, tt.want)
			assert.Equal(t, s.reportedAt, time.Duration(len(tt.reported)-1)*time.Second)
		})
	}
}

// TestNotReportedSince checks that upstreams without a recent report are returned, least
// recently read first.
func TestNotReportedSince(t *testing.T) {
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 0))})
	f.Apply(0, []Share{{Name: "A", Slots: 1}, {Name: "B", Slots: 1}, {Name: "C", Slots: 1}})
	second := time.Second
	assert.DeepEqual(t, f.NotReportedSince(second, 9), []string{"A", "B", "C"})
	assert.DeepEqual(t, f.NotReportedSince(second, 2), []string{"A", "B"})
	f.RecordStatusRead(second, "A")
	f.RecordStatusRead(second, "None")
	assert.DeepEqual(t, f.NotReportedSince(second, 9), []string{"B", "C", "A"})
	f.RecordStatus(2*second, f.Find("B"), SnapshotRange{}, true)
	assert.DeepEqual(t, f.NotReportedSince(second, 9), []string{"C", "A"})
	assert.DeepEqual(t, f.Leaving(), []string{"B"})
}
