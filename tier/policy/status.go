package policy

import "time"

// never is a time before all others, for what has not happened yet.
const never = time.Duration(-1 << 62)

// SnapshotRange is the span of index snapshots that an upstream holds.
type SnapshotRange struct {
	// Oldest and Newest are the first and the last snapshot.
	Oldest, Newest uint64
	// Known is false until the upstream has stated its window.
	Known bool
}

func (w SnapshotRange) holds(snapshot uint64) bool {
	return w.Known && w.Oldest <= snapshot && snapshot <= w.Newest
}

// status is what an upstream last reported about itself, with an answer or when its
// status was read.
type status struct {
	window SnapshotRange
	// heardAt is when it last reported anything; never before that.
	heardAt time.Duration
	// readAt is when its status was last read; never before that.
	readAt time.Duration
}

// update records what the upstream reported. A window older than the one known came late.
func (s *status) update(now time.Duration, w SnapshotRange) {
	s.heardAt = now
	if w.Known && (!s.window.Known || w.Newest >= s.window.Newest) {
		s.window = w
	}
}
