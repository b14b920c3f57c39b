package policy

import "time"

// Weights of a margin: those of the retransmission timer of TCP (RFC 6298).
const (
	marginMeanWeight      = 1.0 / 8
	marginDeviationWeight = 1.0 / 4
	marginDeviations      = 2
)

// Margin estimates how long something takes that must fit in before a deadline,
// by its mean and mean deviation so far. It is not safe for concurrent use.
type Margin struct {
	mean, deviation float64
	known           bool
}

// Observe takes in how long it took once.
func (m *Margin) Observe(took time.Duration) {
	x := float64(took)
	if !m.known {
		m.mean, m.deviation, m.known = x, x/2, true
		return
	}
	m.deviation += marginDeviationWeight * (max(x-m.mean, m.mean-x) - m.deviation)
	m.mean += marginMeanWeight * (x - m.mean)
}

// Estimate is the time to keep back; 0 while nothing was observed.
func (m *Margin) Estimate() time.Duration {
	return time.Duration(m.mean + marginDeviations*m.deviation)
}
