package policy

import "time"

// never is a time before all others, for events that have not happened yet.
const never = time.Duration(-1 << 62)

// SnapshotRange is the range of index snapshots that an upstream holds.
type SnapshotRange struct {
	// Oldest and Newest are the first and the last snapshot.
	Oldest, Newest uint64
	// Known is false until the upstream has reported its range.
	Known bool
}

func (w SnapshotRange) holds(snapshot uint64) bool {
	return w.Known && w.Oldest <= snapshot && snapshot <= w.Newest
}

// status is what an upstream last reported about itself, in an answer or when its status
// was read.
type status struct {
	snapshots SnapshotRange
	// reportedAt is when the upstream last reported anything; set to never until the first
	// report.
	reportedAt time.Duration
	// readAt is when its status was last read; set to never until the first time.
	readAt time.Duration
}

// update records a report of the upstream. It ignores a range that is older than the known
// one, which arrived out of order.
func (s *status) update(now time.Duration, w SnapshotRange) {
	s.reportedAt = now
	if w.Known && (!s.snapshots.Known || w.Newest >= s.snapshots.Newest) {
		s.snapshots = w
	}
}
