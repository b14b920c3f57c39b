package policy

import "time"

func init() { registerChooser("LeastLatency", leastLatency{}) }

// leastLatency takes the listed upstream whose answer is expected first.
type leastLatency struct{}

var _ chooser = leastLatency{}

// Constants of leastLatency.
const (
	// farFactor counts an upstream of another data hall for slower than it is:
	// bytes between halls are dear, and distance does not pass.
	farFactor = 1.25
	// staleAfter is how long a latency is believed; from then on it counts for
	// less, down to staleLeast after staleFull, so that an upstream which was
	// slow is asked again.
	staleAfter = time.Second
	staleFull  = 5 * time.Second
	staleLeast = 0.5
	// faultCost is what a call without an answer costs in time, so that an
	// upstream which fails a part of its calls is left for one that is slower.
	faultCost = 500 * time.Millisecond
	// loadLife is how long an upstream's word on its queue is believed.
	loadLife = 300 * time.Millisecond
	// stalledPenalty counts a stalled upstream for slower than any that answers.
	stalledPenalty = 10.0
)

// score implements chooser.
func (leastLatency) score(now time.Duration, u *Upstream, p *Pool, r Random) float64 {
	slowness, faults := u.condition(now)
	latency := p.Median().Seconds() * slowness
	ahead := u.slots.ahead()
	if age := now - u.waitingAt; age < loadLife {
		ahead += u.waiting * (1 - age.Seconds()/loadLife.Seconds())
	}
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

// staleness is how much of a latency counts that was learnt some time ago.
func staleness(age time.Duration) float64 {
	if age <= staleAfter {
		return 1
	}
	passed := min(float64(age-staleAfter)/float64(staleFull-staleAfter), 1)
	return 1 - (1-staleLeast)*passed
}
