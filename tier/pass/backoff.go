package pass

import "time"

const (
	// initialBackoff is the backoff of a host or hall after its first failure. Each attempt
	// to use a host that is cut off costs the calls of a batch.
	initialBackoff = 2 * time.Second
	// maxBackoff caps the backoff, which doubles with each consecutive failure.
	maxBackoff = 16 * time.Second
)

// backoff is an exponential backoff for a host or hall that does not respond. The zero
// value is inactive.
type backoff struct {
	// until is when the backoff ends, as time since the process started.
	until time.Duration
	// last is the duration of the last backoff; 0 after a response.
	last time.Duration
}

func (b *backoff) begin(now time.Duration) {
	b.last = min(max(2*b.last, initialBackoff), maxBackoff)
	b.until = now + b.last
}

func (b *backoff) active(now time.Duration) bool { return now < b.until }
