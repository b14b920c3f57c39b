package policy

import (
	"math"
	"sync"
	"time"
)

// The weights are those of the TCP retransmission timer (RFC 6298). The timer adds four
// mean deviations, a Margin adds marginDeviations.
const (
	// marginMeanWeight is the weight of a new duration in the mean.
	marginMeanWeight = 1.0 / 8
	// marginDeviationWeight is the weight of a new deviation in the mean deviation.
	marginDeviationWeight = 1.0 / 4
	// marginFirstDeviation is the share of the first duration that serves as the initial
	// deviation (RFC 6298).
	marginFirstDeviation = 1.0 / 2
	// marginDeviations is the number of mean deviations that are added to the mean.
	marginDeviations = 2
)

// Margin estimates how long a step takes that must complete before a deadline, from the
// mean and the mean deviation of its past durations. It is safe for concurrent use.
type Margin struct {
	mu sync.Mutex
	// mean and deviation are in nanoseconds; 0 until known.
	mean, deviation float64
	// known is true once a duration was observed.
	known bool
}

// Observe records one duration.
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

// Estimate returns the time to reserve; 0 while nothing was observed.
func (m *Margin) Estimate() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.mean + marginDeviations*m.deviation)
}
