package policy

import (
	"container/heap"
	"time"
)

// never is a time before all others.
const never = time.Duration(-1 << 62)

// Upstream is what this host knows of one back end from its own calls. Its
// fields belong to the fleet and are used with the fleet locked.
type Upstream struct {
	// Name is the name in the document.
	Name string
	// kind is what its kind does differently.
	kind  *kind
	slots slots
	// leaving is true from the first sign that it leaves, from whatever source.
	leaving  bool
	latency  latency
	ejection ejection
	backoff  backoff
	outlier  outlier
	// hall is its data hall, near is true if that is this host's; both are set for
	// listed upstreams only.
	hall string
	near bool
	// gone is true once another upstream answered at its address; its name
	// never comes back.
	gone bool
	// stall is whether it answers nobody for the moment.
	stall stall
	// cold is whether it bears few calls for the moment.
	cold      cold
	condition condition
	// load is the queue that it reports.
	load   queueReport
	status status
}

// free reports whether a call may start.
func (u *Upstream) free() bool {
	limit := u.slots.allowed()
	if u.starting() {
		limit = min(limit, 1)
	}
	return u.slots.inUse < limit
}

// starting reports whether the upstream is in its slow start: it gets one call at a
// time until it has answered some.
func (u *Upstream) starting() bool { return u.kind.slowStart && u.latency.samples < warmSamples }

// grant gives free slots to the waiters with the earliest deadlines. Waiters
// past their deadline are dropped; their requests have answered by then.
func (u *Upstream) grant(now time.Duration) []*Waiter {
	var out []*Waiter
	for u.slots.queue.Len() > 0 && u.free() {
		w := heap.Pop(&u.slots.queue).(*Waiter)
		if w.Deadline <= now {
			continue
		}
		u.slots.inUse++
		w.place = placeGranted
		out = append(out, w)
	}
	return out
}

// learn updates latency and health from a call.
func (u *Upstream) learn(now time.Duration, c Call) {
	u.condition.observeOutcome(now, c.Outcome)
	u.learnStall(now, c)
	u.load.take(now, c.Load)
	u.learnLatency(c)
	u.learnHealth(now, c.Outcome)
	u.compare(c.Pool)
	u.learnSlots(c)
}

// learnStall updates whether the upstream stands still.
func (u *Upstream) learnStall(now time.Duration, c Call) {
	if c.Lingering {
		u.stall.lingering = false
	}
	switch {
	case c.Outcome == CallStalled:
		u.stall.believe(now)
	case c.Outcome.answered():
		u.stall.answered(now, u.slots.inUse > 1)
	case u.slots.inUse <= 1 && !c.Elsewhere:
		// Nobody waits for an answer any more that could tell.
		u.stall.unansweredSince = 0
		u.stall.believe(now)
	}
}

// learnLatency takes in how long a call took, or took at least.
func (u *Upstream) learnLatency(c Call) {
	switch c.Outcome {
	case CallOK:
		c.Pool.Record(c.Took)
		u.observe(c.Took, c.Pool)
	case CallCancelled:
		// The call would have taken at least this long: a lower bound.
		if c.Took > u.latency.or(c.Pool.Median()) {
			u.observe(c.Took, c.Pool)
		}
		if u.kind.poolsCancelled {
			c.Pool.Record(c.Took)
		}
	case CallLate:
		u.observe(c.Took, c.Pool)
	default:
	}
}

// learnHealth updates ejection, backoff and the signs of leaving.
func (u *Upstream) learnHealth(now time.Duration, o CallOutcome) {
	switch {
	case o == CallOK:
		u.ejection.succeeded()
		u.backoff.succeeded()
	case o == CallShed:
		u.backoff.shed(now)
	case o == CallLeaving:
		u.leaving = true
	case o == CallMoved && u.kind.movedIsGone:
		u.leaving, u.gone = true, true
	case o.broken():
		u.ejection.failed(now)
	}
}

// learnSlots updates how many calls the upstream gets.
func (u *Upstream) learnSlots(c Call) {
	s := &u.slots
	switch {
	case c.Crowded && u.kind.learnsLimit:
		s.limit.reset(s.inUse)
	case c.Outcome == CallOK:
		s.limit.succeeded(s.share + s.borrowing.borrowed)
	}
	if c.Outcome == CallShed {
		s.borrowing.shed()
		return
	}
	s.borrowing.succeeded(s.ceiling - s.share)
}

// observe takes in how long a call took, or counts for.
func (u *Upstream) observe(d time.Duration, p *Pool) {
	counted, weight := u.latency.observe(d, u.kind.smoothing)
	u.condition.observeRatio(counted.Seconds()/p.Median().Seconds(), weight)
}

// stalled reports whether calls have waited without any answer for much longer
// than they take.
func (u *Upstream) stalled(now time.Duration) bool { return u.stall.holds(now, u.latency.smoothed) }

// linger reports whether a call may linger, and notes it; one does at a time.
func (u *Upstream) linger() bool {
	if !u.kind.lingers || u.stall.lingering || u.load.perSlot > 0 {
		return false
	}
	u.stall.lingering = true
	return true
}

// fit reports whether nothing speaks against a call now.
func (u *Upstream) fit(now time.Duration) bool {
	return !u.leaving && !u.outlier.marked && !u.ejection.active(now) && !u.backoff.active(now) && !u.cold.bounded(now)
}

// compare updates whether the upstream is an outlier of its pool.
func (u *Upstream) compare(p *Pool) {
	if u.latency.samples == 0 || !p.Known() || !u.kind.comparesLatency {
		return
	}
	u.outlier.update(u.latency.smoothed, p.Median())
}

// wait is how long a new call is expected to wait for a slot.
func (u *Upstream) wait(p *Pool) time.Duration {
	s := &u.slots
	if s.share == 0 || s.excess() == 0 {
		return 0
	}
	return u.latency.or(p.Median()) * time.Duration(s.excess()) / time.Duration(s.share)
}
