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
	Name  string
	slots slots
	// leaving is true from the first sign that it leaves, from whatever source.
	leaving  bool
	latency  time.Duration
	samples  int
	ejection ejection
	backoff  backoff
	outlier  outlier
	window   Window
	// listed, near, hall: see Share.
	listed, near bool
	hall         string
	// gone is true once another upstream answered at its address; its name
	// never comes back.
	gone bool
	// stall is whether it answers nobody for the moment.
	stall stall
	// cold is whether it bears few calls for the moment.
	cold cold
	// slowness is the smoothed ratio of its calls' time to the median of like
	// calls, for a listed upstream; 0 before the first call. Unlike the latency
	// it does not depend on which routes' calls it had last.
	slowness float64
	// reported is the report about its hall; nil for an upstream that is not listed.
	reported *hallConditions
	// faults is the smoothed share of calls that brought no answer of use.
	faults float64
	// sampledAt is when the latency was last learnt of.
	sampledAt time.Duration
	// waiting is the calls in the upstream's own queue for each of its slots,
	// as it said at waitingAt.
	waiting   float64
	waitingAt time.Duration
	// heardAt is when it last said what it holds, askedAt when its status was
	// last read.
	heardAt, askedAt time.Duration
}

// Window is the span of index snapshots that an upstream holds.
type Window struct {
	Oldest, Newest uint64
	// Known is false until the upstream has stated its window.
	Known bool
}

// Holds reports whether the window has a snapshot.
func (w Window) Holds(snapshot uint64) bool {
	return w.Known && w.Oldest <= snapshot && snapshot <= w.Newest
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
func (u *Upstream) starting() bool { return u.samples < warmSamples && !u.listed }

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
	u.sampledAt = now
	u.count(c.Outcome)
	u.learnStall(now, c)
	if c.Load.Slots > 0 {
		u.waiting, u.waitingAt = float64(c.Load.Waiting)/float64(c.Load.Slots), now
	}
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
		if c.Took > u.latencyOr(c.Pool.Median()) {
			u.observe(c.Took, c.Pool)
		}
		if u.listed {
			// Left out, the slow calls that hedges end would make the pool's
			// quantiles sink, and hedges come ever earlier.
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
	case o == CallMoved && u.listed:
		u.leaving, u.gone = true, true
	case o.isFailure():
		u.ejection.failed(now)
	}
}

// learnSlots updates how many calls the upstream gets.
func (u *Upstream) learnSlots(c Call) {
	s := &u.slots
	switch {
	case c.Crowded && u.listed:
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

// count takes an outcome into the share of faults; those that say nothing of
// the upstream leave it as it is.
func (u *Upstream) count(o CallOutcome) {
	switch {
	case o == CallOK:
		u.faults -= faultWeight * u.faults
	case o == CallShed || o.isFailure() && o != CallLate:
		u.faults += faultWeight * (1 - u.faults)
	}
}

func (u *Upstream) observe(d time.Duration, p *Pool) {
	u.samples++
	if u.latency == 0 {
		u.latency = d
	}
	leap, least := latencyLeap, latencyWeight
	if u.listed {
		leap, least = listedLeap, listedWeight
	}
	weight := max(least, 1/float64(u.samples))
	d = min(d, time.Duration(leap)*u.latency)
	u.latency += time.Duration(weight * float64(d-u.latency))
	ratio := d.Seconds() / p.Median().Seconds()
	if u.slowness == 0 {
		u.slowness = ratio
	}
	u.slowness += weight * (ratio - u.slowness)
}

func (u *Upstream) latencyOr(d time.Duration) time.Duration {
	if u.latency == 0 {
		return d
	}
	return u.latency
}

// stalled reports whether calls have waited without any answer for much longer
// than they take.
func (u *Upstream) stalled(now time.Duration) bool { return u.stall.holds(now, u.latency) }

// linger reports whether a call may linger, and notes it; one does at a time.
func (u *Upstream) linger() bool {
	if !u.listed || u.stall.lingering || u.waiting > 0 {
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
	if u.samples == 0 || !p.Known() || u.listed {
		return
	}
	u.outlier.update(u.latency, p.Median())
}

// wait is how long a new call is expected to wait for a slot.
func (u *Upstream) wait(p *Pool) time.Duration {
	s := &u.slots
	if s.share == 0 || s.excess() == 0 {
		return 0
	}
	return u.latencyOr(p.Median()) * time.Duration(s.excess()) / time.Duration(s.share)
}
