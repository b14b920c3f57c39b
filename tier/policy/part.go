package policy

import (
	"slices"
	"time"

	"loomgap/tier/query"
)

// part is one shard's share of an answer. It is open until it is included or missing.
type part struct {
	// replicas are the upstreams that can answer it.
	replicas []*Upstream
	// reason is why it is missing; empty while it is open or included.
	reason query.Reason
	closed bool
	// deferred is true while it waits for the answer of an isolated call. retryDue is
	// true if it pays for a retry then, since a call of it was given up.
	deferred, retryDue bool
	// tries counts its attempts, those that are queued included.
	tries int
	// sends counts the attempts sent, arrivals those of them that may have
	// reached an upstream, and ran those that may have run there.
	sends, arrivals, ran int
	// hedged is true once a second replica was asked; there is no third.
	hedged bool
	// unhedged is why no second replica was asked when it was last considered.
	unhedged HedgeSkipReason
	// live are its attempts that are queued or sent and were not given up, the oldest
	// first.
	active []int
	// tried are the upstreams that it does not go to again.
	tried []*Upstream
	// retryAt is when it is asked for again after all its upstreams shed calls; 0 for never.
	retryAt time.Duration
}

// phase is how far an attempt has come.
type phase string

const (
	phaseQueued phase = "Queued"
	phaseSent   phase = "Sent"
	phaseDone   phase = "Done"
)

// attempt is one call, or the wait for a slot to make it.
type attempt struct {
	part     int
	upstream *Upstream
	phase    phase
	sentAt   time.Duration
	// hedgeAge is how long after sentAt it is hedged.
	hedgeAge time.Duration
	// waiter is its place in the upstream's queue.
	waiter *Waiter
	// isolated is true if the request was suspected, and no other call of it in
	// progress, when it was sent.
	isolated bool
}

// account takes an outcome out of what may have run and arrived.
func (p *part) recordOutcome(o CallOutcome) {
	if o.NotRun() {
		p.ran--
	}
	if !o.arrived() {
		p.arrivals--
	}
}

// hasCall reports whether a call of a part is in progress.
func (r *Run) hasCall(p *part) bool {
	return slices.ContainsFunc(p.active, func(n int) bool { return r.attempts[n].phase == phaseSent })
}

// removeFirst removes the first of some items that equals another: an upstream is tried
// twice if it gets the hedge of its own call.
func removeFirst[T comparable](items []T, item T) []T {
	if i := slices.Index(items, item); i >= 0 {
		return slices.Delete(items, i, i+1)
	}
	return items
}
