package policy

import "time"

func init() {
	choosers["LeastTime"] = leastTime{}
	choosers["LeastLatency"] = leastLatency{}
	choosers["Random"] = random{}
	choosers["First"] = first{}
}

// Scores are expected times in seconds. Penalties sort upstreams into tiers: each is larger
// than the sum of the smaller ones and than any latency.
const (
	// scoreJitter is the largest random part of a score. It spreads calls over upstreams
	// with similar scores.
	scoreJitter = 0.05
	// stalledPenalty applies to an unresponsive upstream.
	stalledPenalty = 10.0
	// coldPenalty applies to a throttled upstream.
	coldPenalty = 1e5
	// outlierPenalty applies to an outlier and to an upstream in backoff.
	outlierPenalty = 1e6
	// ejectedPenalty applies to an ejected upstream.
	ejectedPenalty = 1e9
)

// jitter returns a random factor for a score, from 1 to 1+scoreJitter.
func jitter(r Random) float64 { return 1 + scoreJitter*r.Float64() }

// leastTime chooses the replica with the earliest expected answer, based on this host's own
// calls.
type leastTime struct{}

func (leastTime) score(now time.Duration, u *Upstream, p *LatencyPool, r Random) float64 {
	latency := u.latency.orDefault(p.median())
	score := latency.Seconds() * (1 + u.slots.callsPerSlot()) * jitter(r)
	if u.outlier.marked || u.backoff.active(now) {
		score += outlierPenalty
	}
	if u.ejection.active(now) {
		score += ejectedPenalty
	}
	return score
}

// random chooses any replica.
type random struct{}

func (random) score(_ time.Duration, _ *Upstream, _ *LatencyPool, r Random) float64 {
	return r.Float64()
}

// first chooses the first replica that is not ejected.
type first struct{}

func (first) score(now time.Duration, u *Upstream, _ *LatencyPool, _ Random) float64 {
	if u.ejection.active(now) {
		return ejectedPenalty
	}
	return 0
}

const (
	// farFactor multiplies the score of an upstream in another data hall, since traffic
	// between halls is expensive and the distance, unlike load, is permanent.
	farFactor = 1.25
	// faultCost is the time added for a call without a usable answer, so that an upstream
	// that fails part of its calls loses to a slower one.
	faultCost = 500 * time.Millisecond
)

// leastLatency chooses the listed upstream with the earliest expected answer. It considers
// how slow and how faulty the upstream is compared with others, and the calls ahead of a
// new one.
type leastLatency struct{}

func (leastLatency) score(now time.Duration, u *Upstream, p *LatencyPool, r Random) float64 {
	slowness, faults := u.condition.expected(now, u.Name)
	latency := p.median().Seconds() * slowness
	ahead := u.slots.callsPerSlot() + u.load.expectedPerSlot(now)
	score := latency * (1 + ahead) * jitter(r)
	score += faults * faultCost.Seconds()
	if u.stalled(now) {
		score += stalledPenalty
	}
	if !u.near {
		score *= farFactor
	}
	return addPenalties(now, u, score)
}

// addPenalties adds the penalties of an upstream that is in backoff or ejected to its score.
func addPenalties(now time.Duration, u *Upstream, score float64) float64 {
	if u.backoff.active(now) {
		score += outlierPenalty
	}
	if u.ejection.active(now) {
		score += ejectedPenalty
	}
	return score
}

// shortageChooser is a chooser that ranks upstreams differently during a shortage.
type shortageChooser interface {
	// shortageScore is chooser.score during a shortage. p holds the latencies of near
	// calls, also for a far upstream.
	shortageScore(now time.Duration, u *Upstream, p *LatencyPool, r Random) float64
}

var _ shortageChooser = leastLatency{}

// shortageScore counts the calls of all hosts per slot that the upstream published. The
// latency of the pool includes the waits in queues, which all upstreams of a part share, and
// the slowness excludes them.
func (leastLatency) shortageScore(now time.Duration, u *Upstream, p *LatencyPool, r Random) float64 {
	slowness, faults := u.condition.expected(now, u.Name)
	if u.occupancy.slowness > 0 {
		slowness = u.occupancy.slowness
	}
	score := p.median().Seconds() * slowness * (1 + u.expectedQueue(now)) * jitter(r)
	if !u.near {
		score *= farFactor
	}
	score += faults * faultCost.Seconds()
	if u.stalled(now) {
		score += stalledPenalty
	}
	return addPenalties(now, u, score)
}
