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

func (r SnapshotRange) holds(snapshot uint64) bool {
	return r.Known && r.Oldest <= snapshot && snapshot <= r.Newest
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
// one, since that report arrived out of order.
func (s *status) update(now time.Duration, r SnapshotRange) {
	s.reportedAt = now
	if r.Known && (!s.snapshots.Known || r.Newest >= s.snapshots.Newest) {
		s.snapshots = r
	}
}
