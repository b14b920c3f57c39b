package peers

import (
	"math/rand/v2"
	"time"

	"loomgap/tier/kernel"
)

const (
	// unavailableAfter is how long reads must fail until the platform is considered
	// unavailable.
	unavailableAfter = 500 * time.Millisecond
	// minOutage is the shortest time without a known read after which entries of upstreams may
	// have expired. The platform removes one after three missed status reports, 1.2 s apart, and
	// the first one may be due when the outage begins.
	minOutage = 2400 * time.Millisecond
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

// failed records a failed read.
func (o *outage) failed(now time.Duration, known knownReads) {
	o.heard(now, known)
	if o.failingSince == 0 {
		o.failingSince = now
	}
}

// knownReads are the reads of any host that this host knows of.
type knownReads struct {
	// lastAt is the time of the last one.
	lastAt time.Duration
	// outageEndedAt is the time of the last one before which no host had read for minOutage.
	outageEndedAt time.Duration
}

// heard ends the series of failed reads if another host has read since it began, unless that read
// was the first one after an outage of all hosts: this host returns from the same one.
func (o *outage) heard(now time.Duration, known knownReads) {
	returns := o.failingSince <= known.outageEndedAt && now-known.outageEndedAt < removalHoldTime
	if known.lastAt > o.failingSince && !returns {
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

// noteRead records a read of the platform by this or another host.
func noteRead(s *kernel.State, at time.Duration) {
	if s.PlatformReadAt > 0 && at-s.PlatformReadAt >= minOutage {
		s.OutageEndedAt = at
	}
	s.PlatformReadAt = max(s.PlatformReadAt, at)
}

// readsKnownTo returns the reads that this host knows of.
func readsKnownTo(s *kernel.State) knownReads {
	return knownReads{lastAt: s.PlatformReadAt, outageEndedAt: s.OutageEndedAt}
}
