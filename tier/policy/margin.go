package policy

import (
	"math"
	"sync"
	"time"
)

// Weights of a margin. The first two are those of the retransmission timer of TCP
// (RFC 6298), which adds four mean deviations.
const (
	// marginMeanWeight is how much a new time counts in the mean.
	marginMeanWeight = 1.0 / 8
	// marginDeviationWeight is how much a new deviation counts in the mean deviation.
	marginDeviationWeight = 1.0 / 4
	// marginFirstDeviation is the share of the first time that is taken for its
	// deviation (RFC 6298).
	marginFirstDeviation = 1.0 / 2
	// marginDeviations is the number of mean deviations above the mean that are kept back.
	marginDeviations = 2
)

// Margin estimates how long something takes that must fit in before a deadline,
// by its mean and mean deviation so far. It is safe for concurrent use.
type Margin struct {
	mu sync.Mutex
	// mean and deviation are in nanoseconds; 0 until known.
	mean, deviation float64
	// known is true once a time was observed.
	known bool
}

// Observe records how long it took once.
func (m *Margin) Observe(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := float64(took)
	if !m.known {
		m.mean, m.deviation, m.known = x, x*marginFirstDeviation, true
		return
	}
	m.deviation += marginDeviationWeight * (math.Abs(x-m.mean) - m.deviation)
	m.mean += marginMeanWeight * (x - m.mean)
}

// Estimate is the time to keep back; 0 while nothing was observed.
func (m *Margin) Estimate() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.mean + marginDeviations*m.deviation)
}
