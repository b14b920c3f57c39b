package guard

import (
	"sync"
	"time"
)

// pacer limits the processor time of some kind of work, by what the work is estimated to cost. Work
// is served in the order in which it came. It is safe for concurrent use.
type pacer struct {
	// rate is the processor time per time that the work may take; above 0.
	rate float64

	mu sync.Mutex
	// next is when all work that was reserved has had its time.
	next time.Time
}

// pacerBurst is the time for which unused processor time is kept.
const pacerBurst = time.Second

func newPacer(rate float64) *pacer { return &pacer{rate: rate} }

// reserve reserves processor time, and returns how long the caller has to wait before it starts.
// If that is more than maxWait, it reserves nothing and returns false.
func (p *pacer) reserve(cost time.Duration, now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := p.next
	if earliest := now.Add(-pacerBurst); start.Before(earliest) {
		start = earliest
	}
	wait = max(start.Sub(now), 0)
	if wait > maxWait {
		return wait, false
	}
	p.next = start.Add(time.Duration(float64(cost) / p.rate))
	return wait, true
}
