package policy

import "time"

// Call is a finished call, as reported to the fleet.
type Call struct {
	Upstream *Upstream
	// Pool holds the latencies of comparable calls.
	Pool    *LatencyPool
	Outcome CallOutcome
	// Took is the time from dispatch to the outcome.
	Took time.Duration
	// Load is what the upstream reported with its answer; zero for nothing.
	Load Load
	// Relayed is true for a call that another host made: it held no slot.
	Relayed bool
	// Lingering is true for a call that went on though it was not wanted.
	Lingering bool
	// NewConnReset is true for a call whose new connection was reset before any answer:
	// the upstream may have reached its bound of connections.
	NewConnReset bool
}

// learn updates all that calls show of an upstream. The slot of the call is still in
// use.
func (u *Upstream) learn(now time.Duration, c Call) {
	u.condition.observeOutcome(now, c.Outcome)
	u.learnStall(now, c)
	u.load.update(now, c.Load)
	u.learnLatency(c)
	u.learnHealth(now, c.Outcome)
	u.updateOutlier(c.Pool)
	u.learnSlots(c)
}

func (u *Upstream) learnStall(now time.Duration, c Call) {
	if c.Lingering {
		u.stall.lingering = false
	}
	switch {
	case c.Outcome == CallStalled:
		u.stall.assumeStalled(now)
	case c.Outcome.answered():
		u.stall.answered(now, u.slots.inUse > 1)
	case u.slots.inUse <= 1 && !c.Relayed:
		// The call had no answer, and no other is under way that could show one.
		u.stall.unansweredSince = 0
		u.stall.assumeStalled(now)
	}
}

// learnLatency records how long a call took, or how long it took at least.
func (u *Upstream) learnLatency(c Call) {
	switch c.Outcome {
	case CallOK:
		c.Pool.record(c.Took)
		u.observe(c.Took, c.Pool)
	case CallCancelled:
		// The call would have taken at least this long: a lower bound.
		if c.Took > u.latency.orDefault(c.Pool.median()) {
			u.observe(c.Took, c.Pool)
		}
		if u.kind.poolsCancelled {
			c.Pool.record(c.Took)
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
	case o.isFailure():
		u.ejection.failed(now)
	}
}

func (u *Upstream) learnSlots(c Call) {
	s := &u.slots
	switch {
	case c.NewConnReset && u.kind.learnsLimit:
		s.limit.reset(s.inUse)
	case c.Outcome == CallOK:
		s.limit.succeeded(s.withBorrowed())
	}
	if c.Outcome == CallShed {
		s.borrowing.shed()
		return
	}
	s.borrowing.succeeded(s.borrowable())
}

func (u *Upstream) observe(d time.Duration, p *LatencyPool) {
	counted, weight := u.latency.observe(d, u.kind.smoothing)
	u.condition.observeRatio(counted.Seconds()/p.median().Seconds(), weight)
}

func (u *Upstream) updateOutlier(p *LatencyPool) {
	if u.latency.samples == 0 || !p.known() || !u.kind.comparesLatency {
		return
	}
	u.outlier.update(u.latency.smoothed, p.median())
}
