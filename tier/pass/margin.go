package pass

import (
	"sync"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// linkReserve is how long an answer is on its way to the caller at most, beside
// what this host takes to make and write it.
const linkReserve = 8 * time.Millisecond

// margins is what this host takes besides the calls of a request, as it observes
// itself: a weak host is late by that where the objective is all but spent.
type margins struct {
	mu sync.Mutex
	// around is the time of a forwarded request beside that of its coordinator,
	// tail that from the decision to answer until the answer is written.
	around, tail policy.Margin
}

func (m *margins) observeAround(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.around.Observe(took)
}

func (m *margins) observeTail(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tail.Observe(took)
}

// aroundCoordinator is what a forwarded request takes beside its coordinator.
func (m *margins) aroundCoordinator() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.around.Estimate()
}

// beyondReserve is how much longer this host takes to make and write an answer
// than every route keeps back.
func (m *margins) beyondReserve() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.tail.Estimate()+linkReserve-time.Duration(config.ResponseReserve), 0)
}
