package policy

import (
	"slices"
	"time"

	"loomgap/tier/query"
)

// part is one shard's part of an answer. It is open until it is included or missing.
type part struct {
	// replicas are the upstreams that can answer the part.
	replicas []*Upstream
	// reason is why the part is missing; empty while it is open or included.
	reason query.Reason
	closed bool
	// deferred is true while the part waits for the answer to an isolated call. retryDue is
	// true if the next attempt counts as a retry, because a call of the part was cancelled.
	deferred, retryDue bool
	// tries counts the attempts, including queued ones.
	tries int
	// sends counts the attempts that were sent, arrivals the attempts that may have reached an
	// upstream, and ran the attempts that an upstream may have run.
	sends, arrivals, ran int
	// sheds counts the attempts that were shed.
	sheds int
	// hedged is true once a second replica was called. There is no third call.
	hedged bool
	// hedgeSkipped is why the part was not hedged when that was last considered.
	hedgeSkipped HedgeSkipReason
	// active holds the attempts that are queued or sent and were not cancelled, oldest
	// first.
	active []int
	// tried holds the upstreams that must not be called again for the part.
	tried []*Upstream
	// retryAt is when the part is retried after all its upstreams shed calls; 0 for never.
	retryAt time.Duration
}

// phase is the phase of an attempt.
type phase string

const (
	phaseQueued phase = "Queued"
	phaseSent   phase = "Sent"
	phaseDone   phase = "Done"
)

// attempt is a call or the wait for a slot to make it.
type attempt struct {
	part     int
	upstream *Upstream
	phase    phase
	// queuedAt is when the attempt requested its slot, sentAt when it was sent.
	queuedAt, sentAt time.Duration
	// hedgeDelay is the delay after sentAt until the attempt is hedged.
	hedgeDelay time.Duration
	// waiter is the attempt's entry in the queue of the upstream.
	waiter *Waiter
	// isolated is true if the request was suspected when the attempt was sent, and no other
	// call of it was in progress.
	isolated bool
}

// recordOutcome removes a call from the counts arrivals and ran if its outcome shows that it did
// not reach the upstream or did not run.
func (p *part) recordOutcome(o CallOutcome) {
	if o.NotRun() {
		p.ran--
	}
	if !o.arrived() {
		p.arrivals--
	}
	if o == CallShed {
		p.sheds++
	}
}

// hasCall reports whether a call of a part is in progress.
func (r *Run) hasCall(p *part) bool {
	return slices.ContainsFunc(p.active, func(n int) bool { return r.attempts[n].phase == phaseSent })
}

// removeFirst removes only the first occurrence of an item: part.tried contains an upstream
// twice if the upstream gets both a call and its hedge.
func removeFirst[T comparable](items []T, item T) []T {
	if i := slices.Index(items, item); i >= 0 {
		return slices.Delete(items, i, i+1)
	}
	return items
}
