package peers

import (
	"math/rand/v2"
	"time"
)

const (
	// awayAfter is how long reads must fail until the platform counts as away.
	unavailableAfter = 500 * time.Millisecond
	// retryLeast is the pause after the first read that failed; each further one waits
	// twice as long.
	minRetryDelay = 100 * time.Millisecond
	// retryMost is the longest pause after a read that failed: a platform that is back must
	// be read well within the seconds in which a document has to be in force.
	maxRetryDelay = time.Second
)

// outage decides when a platform counts as away, and how long to wait before it is read
// again. All times are since the process started.
type outage struct {
	// heardAt is when the last read went well.
	succeededAt time.Duration
	// since is when the first of the failed reads in a row failed; 0 if the last read
	// went well.
	failingSince time.Duration
	// pause is the last pause; 0 if the last read went well.
	delay time.Duration
}

func (o *outage) failed(now time.Duration) {
	if o.failingSince == 0 {
		o.failingSince = now
	}
}

func (o *outage) succeeded(now time.Duration) { *o = outage{succeededAt: now} }

// isAway reports whether the platform counts as away: reads have failed for awayAfter,
// or the last good one is staler than a reader's may be.
func (o *outage) isUnavailable(now, stale time.Duration) bool {
	return o.failingSince > 0 && (now-o.failingSince >= unavailableAfter || now-o.succeededAt > stale)
}

// nextPause returns how long to wait before the next read, drawn at random from the
// upper half so that hosts do not read at once.
func (o *outage) nextDelay() time.Duration {
	o.delay = min(max(2*o.delay, minRetryDelay), maxRetryDelay)
	return o.delay/2 + rand.N(o.delay/2+1)
}
