package policy

import "time"

func init() { RegisterChooser("LeastLatency", leastLatency{}) }

// leastLatency takes the listed upstream whose answer is expected first.
type leastLatency struct{}

var _ Chooser = leastLatency{}

// Constants of leastLatency.
const (
	// farFactor counts an upstream of another data hall for slower than it is:
	// bytes between halls are dear, and distance does not pass.
	farFactor = 1.25
	// faultCost is what a call without an answer costs in time, so that an
	// upstream which fails a part of its calls is left for one that is slower.
	faultCost = 500 * time.Millisecond
	// stalledPenalty counts a stalled upstream for slower than any that answers.
	stalledPenalty = 10.0
)

// Score implements Chooser.
func (leastLatency) Score(now time.Duration, u *Upstream, p *Pool, r Random) float64 {
	slowness, faults := u.condition.expected(now, u.Name)
	latency := p.Median().Seconds() * slowness
	ahead := u.slots.ahead() + u.load.ahead(now)
	score := latency * (1 + ahead) * (1 + 0.05*r.Float64())
	score += faults * faultCost.Seconds()
	if u.stalled(now) {
		score += stalledPenalty
	}
	if !u.near {
		score *= farFactor
	}
	if u.backoff.active(now) {
		score += slowPenalty
	}
	if u.ejection.active(now) {
		score += ejectedPenalty
	}
	return score
}
