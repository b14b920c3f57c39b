package policy

import (
	"math"
	"time"
)

const (
	// initialBackoff is the backoff after the first shed.
	initialBackoff = 5 * time.Millisecond
	// maxBackoff caps the backoff.
	maxBackoff = time.Second
)

// backoff makes an upstream that sheds calls ineligible for a time that doubles with each
// consecutive shed. In the meantime it is called only if its shard has no better upstream.
type backoff struct {
	// sheds counts consecutive sheds; a successful call resets it.
	sheds int
	// until is when the backoff ends, as time since the process started.
	until time.Duration
}

func (b *backoff) succeeded() { *b = backoff{} }

func (b *backoff) shed(now time.Duration) {
	b.until = now + exponentialDelay(initialBackoff, 2, b.sheds, maxBackoff)
	b.sheds++
}

// exponentialDelay returns initial multiplied by factor n times, capped at maximum.
func exponentialDelay(initial time.Duration, factor float64, n int, maximum time.Duration) time.Duration {
	return time.Duration(min(float64(initial)*math.Pow(factor, float64(n)), float64(maximum)))
}

func (b *backoff) active(now time.Duration) bool { return now < b.until }
