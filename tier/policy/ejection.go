package policy

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures after which an upstream is
	// ejected from rotation.
	ejectAfterFailures = 3
	// initialEjection is the duration of the first ejection.
	initialEjection = time.Second
	// maxEjection caps the duration of an ejection.
	maxEjection = 30 * time.Second
)

// ejection removes an upstream from rotation after consecutive failures, for a time that
// doubles with each further failure. An ejected upstream is called only if its shard has no
// other.
type ejection struct {
	// failures counts consecutive failed calls; a successful call resets it.
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
	e.until = now + exponentialDelay(initialEjection, 2, e.failures-ejectAfterFailures, maxEjection)
}

func (e *ejection) active(now time.Duration) bool { return now < e.until }
