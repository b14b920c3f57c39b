package pass

import "time"

const (
	// backoffFirst is how long a host or hall that did not answer gets nothing. Each
	// attempt to use a host that is cut off costs the calls of a batch. The gain of
	// backoffs is with hallUnresponsiveAfter.
	backoffInitial = 2 * time.Second
	// backoffMost bounds the time, which doubles with each failure in a row.
	backoffMax = 16 * time.Second
)

// backoff keeps a host or hall that does not answer from being asked, for twice as long
// after each failure in a row. The zero value is not backing off.
type backoff struct {
	// until is when the backoff ends, as time since the process started.
	until time.Duration
	// last is how long the last one took; 0 after an answer.
	last time.Duration
}

func (b *backoff) begin(now time.Duration) {
	b.last = min(max(2*b.last, backoffInitial), backoffMax)
	b.until = now + b.last
}

func (b *backoff) active(now time.Duration) bool { return now < b.until }
