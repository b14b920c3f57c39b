package policy

import "time"

const (
	// maxLateBudget is the most late requests that run one after the other.
	maxLateBudget = 2
	// lateIdleTime is how long no request that can meet its objective must have come before
	// late requests may take all places.
	lateIdleTime = 100 * time.Millisecond
)

// lateBudget limits the late requests that run during a shortage to lateShare of the
// throughput. The turns of the queue alone do not: when few requests wait that can still
// meet their objective, late ones would get every place, and each request that could be in
// time would find the places taken.
type lateBudget struct {
	// left is the number of late requests that may run now.
	left float64
	// earnedAt is when left was last increased.
	earnedAt time.Duration
	// inTimeAt is when a request that could meet its objective last came.
	inTimeAt time.Duration
}

// earn adds the share of late requests in the places that became free since the last time.
func (b *lateBudget) earn(now time.Duration, throughput float64) {
	b.left = min(b.left+lateShare*throughput*(now-b.earnedAt).Seconds(), maxLateBudget)
	b.earnedAt = now
}

func (b *lateBudget) spend() { b.left-- }

// allowed reports whether a late request may run now.
func (b *lateBudget) allowed(now time.Duration) bool {
	return b.left >= 1 || now-b.inTimeAt >= lateIdleTime
}
