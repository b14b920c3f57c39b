package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// onlyEligible has pick pass over upstreams that are not eligible at the moment.
	onlyEligible = true
	// anyUpstream has pick choose among all upstreams that may be asked.
	anyUpstream = false
)

// pick chooses the upstream of a part that the next call goes to: the one with the lowest
// score of those that may be asked, and are eligible, if only those count; nil if there
// is none. Its inputs are of this moment but for what upstreams report of themselves.
func (r *Run) pick(now time.Duration, i int, eligible bool) *Upstream {
	p := &r.parts[i]
	var best *Upstream
	low := math.Inf(1)
	for _, u := range p.replicas {
		if !r.canCall(now, p, u) || eligible && !u.eligible(now) {
			continue
		}
		s := r.score(now, u)
		if u.cold.throttled(now) {
			s += coldPenalty
		}
		if s < low {
			best, low = u, s
		}
	}
	return best
}

// askable reports whether an upstream may be asked for a part at all: it does not leave,
// was not tried, may get calls of the run, and holds the snapshot as far as is known.
func (r *Run) canCall(now time.Duration, p *part, u *Upstream) bool {
	if u.leaving || slices.Contains(p.tried, u) || r.rules.barred(now, u) {
		return false
	}
	lacks := u.status.window.Known && !u.status.window.holds(r.request.Snapshot)
	return r.request.Snapshot == 0 || !lacks
}

func (r *Run) score(now time.Duration, u *Upstream) float64 {
	return r.chooser.score(now, u, r.rules.poolOf(u), r.fleet.random) * r.rules.hallFactor(u)
}
