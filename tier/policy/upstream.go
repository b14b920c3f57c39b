package policy

import "time"

// Upstream is what this host knows about one upstream, from its own calls, from the
// upstream's reports and from the reports of other hosts. The fields belong to the fleet
// and are used with the fleet locked.
type Upstream struct {
	// Name is the name in the configuration document or in the directory.
	Name string
	// startedMillis is when the process started, as in Share; 0 if unknown. A process that
	// started later under the same name is a different Upstream.
	startedMillis int64
	// kind holds the behaviour that differs between the two kinds of upstream; never nil
	// once Apply has registered the upstream.
	kind *kind
	// hall is the data hall, and near is true if it is the hall of this host. Both are set
	// only for listed upstreams.
	hall string
	near bool
	// leaving is true from the first sign, from any source, that the upstream is shutting
	// down. It then gets no new calls.
	leaving bool
	// replaced is true once a different upstream answered at its address. Its name never
	// returns, so leaving stays true.
	replaced bool

	// Limits on the number of calls.
	slots slots
	cold  cold

	// Reasons to avoid the upstream.
	ejection ejection
	backoff  backoff
	outlier  outlier
	stall    stall

	// Comparison with other upstreams.
	latency   latency
	condition condition
	load      queueReport
	status    status
}

func (u *Upstream) hasSlot() bool {
	limit := u.slots.allowed()
	if u.kind.slowStart && u.latency.samples < slowStartSamples {
		limit = min(limit, 1)
	}
	return u.slots.inUse < limit
}

func (u *Upstream) stalled(now time.Duration) bool { return u.stall.active(now, u.latency.smoothed) }

// tryLinger reports whether a call that is no longer needed may continue, and records it.
// Only one call lingers at a time, and none while calls are queued at the upstream.
func (u *Upstream) tryLinger() bool {
	if !u.kind.lingers || u.stall.lingering || u.load.perSlot > 0 {
		return false
	}
	u.stall.lingering = true
	return true
}

// eligible reports whether the upstream may get calls now although its shard has other
// upstreams. One that is not eligible is called only if its shard has no eligible one, and
// never if it is leaving. An unresponsive upstream is eligible but has a worse score.
func (u *Upstream) eligible(now time.Duration) bool {
	switch {
	case u.leaving, u.outlier.marked, u.ejection.active(now), u.backoff.active(now), u.cold.throttled(now):
		return false
	default:
		return true
	}
}

func (u *Upstream) expectedWait(p *LatencyPool) time.Duration {
	s := &u.slots
	if s.share == 0 || s.excess() == 0 {
		return 0
	}
	return u.latency.orDefault(p.median()) * time.Duration(s.excess()) / time.Duration(s.share)
}
