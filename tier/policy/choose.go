package policy

import "time"

func init() {
	registerChooser("LeastTime", leastTime{})
	registerChooser("Random", random{})
	registerChooser("First", first{})
	registerAdmission("None", admitAll{})
	registerAdmission("Deadline", admitDeadline{})
	registerAdmission("Worth", admitWorth{})
}

// Penalties put replicas in tiers: a slow one is asked only if no other can
// be, an ejected one only if there is not even a slow one.
const (
	slowPenalty    = 1e6
	ejectedPenalty = 1e9
)

// leastTime takes the replica whose own calls suggest the earliest answer.
type leastTime struct{}

var _ chooser = leastTime{}

// score implements chooser.
func (leastTime) score(now time.Duration, u *Upstream, p *Pool, r Random) float64 {
	latency := u.latencyOr(p.Median())
	ahead := u.slots.ahead()
	score := latency.Seconds() * (1 + ahead) * (1 + 0.05*r.Float64())
	if u.outlier.marked || u.backoff.active(now) {
		score += slowPenalty
	}
	if u.ejection.active(now) {
		score += ejectedPenalty
	}
	return score
}

// random takes any replica: the baseline.
type random struct{}

var _ chooser = random{}

// score implements chooser.
func (random) score(_ time.Duration, _ *Upstream, _ *Pool, r Random) float64 { return r.Float64() }

// first takes the first replica that is not ejected.
type first struct{}

var _ chooser = first{}

// score implements chooser.
func (first) score(now time.Duration, u *Upstream, _ *Pool, _ Random) float64 {
	if u.ejection.active(now) {
		return ejectedPenalty
	}
	return 0
}

// admitAll refuses nothing: the baseline.
type admitAll struct{}

var _ admission = admitAll{}

// allow implements admission.
func (admitAll) allow(time.Duration, float64, float64) time.Duration { return 1<<63 - 1 }

// admitDeadline refuses what cannot be done in time.
type admitDeadline struct{}

var _ admission = admitDeadline{}

// allow implements admission.
func (admitDeadline) allow(slack time.Duration, _, _ float64) time.Duration { return slack }

// Shares of the slack that expected work may fill, from the least worth per
// cost to the most. They were chosen by the measurement in docs/DECISIONS.md.
const (
	leastAllowed = 0.2
	mostAllowed  = 0.75
)

// admitWorth lets requests of more worth per cost count on more of their
// slack, so that under overload the least worth per cost is refused first.
type admitWorth struct{}

var _ admission = admitWorth{}

// allow implements admission.
func (admitWorth) allow(slack time.Duration, density, top float64) time.Duration {
	rank := 1.0
	if top > 0 {
		rank = min(density/top, 1)
	}
	return time.Duration(float64(slack) * (leastAllowed + (mostAllowed-leastAllowed)*rank))
}
