package policy

import "time"

func init() {
	choosers["LeastTime"] = leastTime{}
	choosers["LeastLatency"] = leastLatency{}
	choosers["Random"] = random{}
	choosers["First"] = first{}
}

// Constants of scores, which are expected times in seconds. Penalties put upstreams in
// tiers: each is larger than the sum of those before it, and than any latency.
const (
	// scoreJitter is the greatest random part of a score, which decides between upstreams
	// that score alike.
	scoreJitter = 0.05
	// stalledPenalty applies to an unresponsive upstream, in seconds. Only its order
	// matters.
	stalledPenalty = 10.0
	// coldPenalty applies to a throttled upstream, in seconds. Only its order matters.
	coldPenalty = 1e5
	// outlierPenalty applies to an outlier and to an upstream in backoff, in seconds.
	// Only its order matters.
	outlierPenalty = 1e6
	// ejectedPenalty applies to an ejected upstream, in seconds. Only its order matters.
	ejectedPenalty = 1e9
)

// jitter is a random factor of a score, 1 to 1+scoreJitter.
func jitter(r Random) float64 { return 1 + scoreJitter*r.Float64() }

// leastTime takes the replica whose own calls suggest the earliest answer.
type leastTime struct{}

func (leastTime) score(now time.Duration, u *Upstream, p *LatencyPool, r Random) float64 {
	latency := u.latency.orDefault(p.median())
	score := latency.Seconds() * (1 + u.slots.queuedPerSlot()) * jitter(r)
	if u.outlier.marked || u.backoff.active(now) {
		score += outlierPenalty
	}
	if u.ejection.active(now) {
		score += ejectedPenalty
	}
	return score
}

// random takes any replica: the baseline.
type random struct{}

func (random) score(_ time.Duration, _ *Upstream, _ *LatencyPool, r Random) float64 {
	return r.Float64()
}

// first takes the first replica that is not ejected.
type first struct{}

func (first) score(now time.Duration, u *Upstream, _ *LatencyPool, _ Random) float64 {
	if u.ejection.active(now) {
		return ejectedPenalty
	}
	return 0
}

const (
	// farFactor multiplies the score of an upstream of another data hall than this host's:
	// bytes between halls are expensive, and distance does not pass.
	farFactor = 1.25
	// faultCost is what a call without a usable answer costs in time, so that an upstream
	// which fails a part of its calls loses to one that is slower.
	faultCost = 500 * time.Millisecond
)

// leastLatency takes the listed upstream whose answer is expected first: by how it
// compares with others, the calls ahead of a new one, and its faults.
type leastLatency struct{}

func (leastLatency) score(now time.Duration, u *Upstream, p *LatencyPool, r Random) float64 {
	slowness, faults := u.condition.expected(now, u.Name)
	latency := p.median().Seconds() * slowness
	ahead := u.slots.queuedPerSlot() + u.load.expectedPerSlot(now)
	score := latency * (1 + ahead) * jitter(r)
	score += faults * faultCost.Seconds()
	if u.stalled(now) {
		score += stalledPenalty
	}
	if !u.near {
		score *= farFactor
	}
	if u.backoff.active(now) {
		score += outlierPenalty
	}
	if u.ejection.active(now) {
		score += ejectedPenalty
	}
	return score
}
