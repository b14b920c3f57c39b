package policy

import "time"

// Call describes a finished call.
type Call struct {
	Upstream *Upstream
	// Pool holds the latencies of comparable calls.
	Pool    *LatencyPool
	Outcome CallOutcome
	// Took is the time from sending the call to its outcome.
	Took time.Duration
	// Load is the load that the upstream reported with its answer; zero if it reported
	// none.
	Load Load
	// RelayedLoad is the load that a relay reported for the upstream of a relayed call. It
	// is used during a shortage only.
	RelayedLoad Load
	// Relayed is true for a call that another host made. It held no slot on this host.
	Relayed bool
	// Lingering is true for a call that continued although it was no longer needed.
	Lingering bool
	// NewConnReset is true if the call's new connection was reset before any answer, which
	// suggests that the upstream has reached its connection limit.
	NewConnReset bool
}

// learn updates the state of the upstream after a call. The slot of the call is still in
// use.
func (u *Upstream) learn(now time.Duration, c Call) {
	u.condition.observeOutcome(now, c.Outcome)
	u.learnStall(now, c)
	u.load.update(now, c.Load)
	u.learnLatency(c)
	u.learnHealth(now, c.Outcome)
	u.updateOutlier(c.Pool)
	u.learnSlots(c)
	if u.limitsShortage {
		u.learnOccupancy(now, c)
	}
}

// learnOccupancy updates what is used during a shortage.
func (u *Upstream) learnOccupancy(now time.Duration, c Call) {
	l := c.Load
	inProgress := u.slots.inUse + u.slots.relayed
	if c.Relayed {
		l = c.RelayedLoad
	} else {
		inProgress--
		u.slots.window.observe(now, &c, u.slots.inUse, u.slots.withBorrowed())
	}
	u.occupancy.update(now, l, inProgress)
	if c.Outcome == CallOK {
		u.occupancy.observe(c.Took, c.Pool.median(), l)
	}
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
		// The call had no answer, and no other call in progress could provide one.
		u.stall.unansweredSince = 0
		u.stall.assumeStalled(now)
	}
}

// learnLatency records the latency of a call, or a lower bound of it.
func (u *Upstream) learnLatency(c Call) {
	switch c.Outcome {
	case CallOK:
		c.Pool.record(c.Took)
		u.observe(c.Took, c.Pool)
	case CallCancelled:
		// The call would have taken at least this long.
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

// learnHealth updates the ejection, the backoff and whether the upstream is leaving.
func (u *Upstream) learnHealth(now time.Duration, o CallOutcome) {
	switch {
	case o == CallOK:
		u.ejection.succeeded()
		u.backoff.succeeded()
	case o == CallShed:
		u.backoff.shed(now)
	case o == CallLeaving:
		u.leaving = true
	case o == CallMoved && u.kind.movedIsReplaced:
		u.leaving, u.replaced = true, true
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
