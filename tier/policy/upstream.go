package policy

import "time"

// Upstream is what this host knows about one upstream: what its own calls have shown,
// what the upstream reports about itself, and what other hosts report about it. Each
// matter is a type of its own. The fields belong to the fleet and are used with the
// fleet locked.
type Upstream struct {
	// Name is the name in the document or in the directory.
	Name string
	// born is when its process started, as of Share; 0 if that is not known. A later one
	// of the same name is another Upstream.
	startedMillis int64
	// kind is what the two kinds of upstream do differently; never nil once Apply has
	// registered the upstream.
	kind *kind
	// hall is its data hall, near is true if that is this host's; both are set for
	// listed upstreams only.
	hall string
	near bool
	// leaving is true from the first sign that it leaves, from whatever source: it
	// gets no new calls.
	leaving bool
	// gone is true once another upstream answered at its address; its name never comes
	// back, so that leaving stays true.
	gone bool

	// How many calls it gets.
	slots slots
	cold  cold

	// Whether it is passed over.
	ejection ejection
	backoff  backoff
	outlier  outlier
	stall    stall

	// How it compares with others.
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

// linger reports whether a call whose answer is not wanted may go on, and notes that it
// does; one does at a time, and none where calls queue.
func (u *Upstream) tryLinger() bool {
	if !u.kind.lingers || u.stall.lingering || u.load.perSlot > 0 {
		return false
	}
	u.stall.lingering = true
	return true
}

// eligible reports whether the upstream is as good as any for a call now. One that is
// not is called only if its shard has no eligible one, and if it is leaving not at all.
// An unresponsive upstream is eligible, with a worse score.
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
