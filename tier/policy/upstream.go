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

	// limitsShortage is true for a listed upstream of a fleet that is configured for
	// shortages. Otherwise the window and the occupancy are not updated.
	limitsShortage bool
	occupancy      occupancy
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

// minQueueWait is the least expected wait at an upstream without a free slot, in service
// times, so that a free slot farther away is used first.
const minQueueWait = 0.5

// publishedSlots returns how many calls the upstream runs concurrently, as far as known.
func (u *Upstream) publishedSlots() int {
	switch {
	case u.slots.published > 0:
		return u.slots.published
	case u.occupancy.slots > 0:
		return u.occupancy.slots
	default:
		return max(u.slots.share, 1)
	}
}

// expectedQueue returns how long a new call is expected to wait at the upstream, in service
// times, from the calls of all hosts; 0 if it has a free slot.
func (u *Upstream) expectedQueue(now time.Duration) float64 {
	slots := float64(u.publishedSlots())
	excess := float64(u.slots.own()) + u.occupancy.expectedOthers(now) + 1 - slots
	if excess < minQueueWait {
		return 0
	}
	return max(excess/slots, minQueueWait)
}

// reportsFreeSlot reports whether a fresh report and this host's own calls leave a slot
// free.
func (u *Upstream) reportsFreeSlot(now time.Duration) bool {
	return u.occupancy.fresh(now) && u.occupancy.others+u.slots.own() < u.publishedSlots()
}

func (u *Upstream) expectedWait(p *LatencyPool) time.Duration {
	s := &u.slots
	if s.share == 0 || s.excess() == 0 {
		return 0
	}
	return u.latency.orDefault(p.median()) * time.Duration(s.excess()) / time.Duration(s.share)
}
