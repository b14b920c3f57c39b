package peers

import (
	"math/rand/v2"
	"time"
)

const (
	// awayAfter is how long reads must fail until the platform counts as away.
	awayAfter = 500 * time.Millisecond
	// retryLeast is the pause after the first read that failed; each further one waits
	// twice as long.
	retryLeast = 100 * time.Millisecond
	// retryMost is the longest pause after a read that failed: a platform that is back must
	// be read well within the seconds in which a document has to be in force.
	retryMost = time.Second
)

// outage decides when a platform counts as away, and how long to wait before it is read
// again. All times are since the process started.
type outage struct {
	// heardAt is when the last read went well.
	heardAt time.Duration
	// since is when the first of the failed reads in a row failed; 0 if the last read
	// went well.
	since time.Duration
	// pause is the last pause; 0 if the last read went well.
	pause time.Duration
}

func (o *outage) failed(now time.Duration) {
	if o.since == 0 {
		o.since = now
	}
}

func (o *outage) succeeded(now time.Duration) { *o = outage{heardAt: now} }

// isAway reports whether the platform counts as away: reads have failed for awayAfter,
// or the last good one is staler than a reader's may be.
func (o *outage) isAway(now, stale time.Duration) bool {
	return o.since > 0 && (now-o.since >= awayAfter || now-o.heardAt > stale)
}

// nextPause returns how long to wait before the next read, drawn at random from the
// upper half so that hosts do not read at once.
func (o *outage) nextPause() time.Duration {
	o.pause = min(max(2*o.pause, retryLeast), retryMost)
	return o.pause/2 + rand.N(o.pause/2+1)
}
