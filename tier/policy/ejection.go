package policy

import "time"

// Constants of ejection.
const (
	// ejectAfter is the number of consecutive failures after which an upstream is taken out
	// of rotation.
	ejectAfterFailures = 3
	// ejectFirst is how long the first ejection lasts.
	initialEjection = time.Second
	// ejectLongest is the longest that an ejection lasts.
	maxEjection = 30 * time.Second
)

// ejection takes an upstream out of rotation after consecutive failures, for twice
// as long at each further one. An ejected upstream is called only if its shard has
// no other.
type ejection struct {
	// failures counts consecutive failed calls; a good one resets it.
	failures int
	// until is when calls may resume, as time since the process started.
	until time.Duration
}

func (e *ejection) succeeded() { *e = ejection{} }

func (e *ejection) failed(now time.Duration) {
	e.failures++
	if e.failures < ejectAfterFailures {
		return
	}
	e.until = now + exponential(initialEjection, 2, e.failures-ejectAfterFailures, maxEjection)
}

func (e *ejection) active(now time.Duration) bool { return now < e.until }
