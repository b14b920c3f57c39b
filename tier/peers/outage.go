package peers

import (
	"math/rand/v2"
	"time"
)

const (
	// unavailableAfter is how long reads must fail until the platform is considered
	// unavailable.
	unavailableAfter = 500 * time.Millisecond
	// minRetryDelay is the delay after the first failed read; it doubles with each further
	// one.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay is the longest delay after a failed read. It is well below the time in
	// which a change has to take effect once the platform is back.
	maxRetryDelay = time.Second
)

// outage tracks failed reads: it decides when the platform is considered unavailable and how
// long to back off before the next read. All times are since the process started.
type outage struct {
	// succeededAt is when the last read succeeded.
	succeededAt time.Duration
	// failingSince is when the first of the current series of failed reads failed; 0 if the
	// last read succeeded, or if other hosts have read since.
	failingSince time.Duration
	// delay is the backoff after the last failed read, before randomization; 0 if the last
	// read succeeded.
	delay time.Duration
}

// failed records a failed read. readAt is the time of the last known read of any host.
func (o *outage) failed(now, readAt time.Duration) {
	o.heard(readAt)
	if o.failingSince == 0 {
		o.failingSince = now
	}
}

// heard ends the series of failed reads if another host has read since it began.
func (o *outage) heard(readAt time.Duration) {
	if readAt > o.failingSince {
		o.failingSince = 0
	}
}

func (o *outage) succeeded(now time.Duration) { *o = outage{succeededAt: now} }

// isUnavailable reports whether the platform is considered unavailable: reads have failed for
// unavailableAfter, or a read has failed and the last successful one is older than maxAge.
func (o *outage) isUnavailable(now, maxAge time.Duration) bool {
	return o.failingSince > 0 && (now-o.failingSince >= unavailableAfter || now-o.succeededAt > maxAge)
}

// nextDelay returns the delay before the next read, drawn at random from the upper half of
// the backoff so that hosts do not read at the same time.
func (o *outage) nextDelay() time.Duration {
	o.delay = min(max(2*o.delay, minRetryDelay), maxRetryDelay)
	return o.delay/2 + rand.N(o.delay/2+1)
}
