package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// onlyEligible restricts pick to upstreams that are currently eligible.
	onlyEligible = true
	// anyUpstream lets pick choose any upstream that may be called.
	anyUpstream = false
)

// pick returns the upstream with the lowest score for the next call of a part, or nil if
// there is none. With eligible set, it considers only upstreams that are currently
// eligible. It uses the state at the time of the call; only what upstreams report about
// themselves may be older.
func (r *Run) pick(now time.Duration, i int, eligible bool) *Upstream {
	return r.pickIf(now, i, func(u *Upstream) bool { return !eligible || u.eligible(now) })
}

// pickIf is pick with a condition on the upstream.
func (r *Run) pickIf(now time.Duration, i int, allowed func(*Upstream) bool) *Upstream {
	p := &r.parts[i]
	var best *Upstream
	lowest := math.Inf(1)
	for _, u := range p.replicas {
		if !r.canCall(now, p, u) || !allowed(u) {
			continue
		}
		s := r.score(now, u)
		if u.cold.throttled(now) {
			s += coldPenalty
		}
		if s < lowest {
			best, lowest = u, s
		}
	}
	return best
}

// canCall reports whether an upstream may be called for a part at all: it is not leaving,
// was not tried, is not barred, and holds the snapshot as far as is known.
func (r *Run) canCall(now time.Duration, p *part, u *Upstream) bool {
	if u.leaving || slices.Contains(p.tried, u) || r.rules.barred(now, u) {
		return false
	}
	lacks := u.status.snapshots.Known && !u.status.snapshots.holds(r.request.Snapshot)
	return r.request.Snapshot == 0 || !lacks
}

func (r *Run) score(now time.Duration, u *Upstream) float64 {
	if c, ok := r.chooser.(shortageChooser); ok && r.shortage {
		u.slots.window.expire(now)
		u.slots.window.noteShortage(now)
		return c.shortageScore(now, u, r.request.Pool, r.fleet.random) * min(r.rules.hallFactor(u), otherHallShortageFactor)
	}
	return r.chooser.score(now, u, r.rules.poolOf(u), r.fleet.random) * r.rules.hallFactor(u)
}
