package policy

import (
	"math"
	"time"
)

// Constants of the backoff after sheds.
const (
	// backoffFirst is the backoff after the first shed.
	initialBackoff = 5 * time.Millisecond
	// backoffLongest is the longest backoff.
	maxBackoff = time.Second
)

// backoff passes over an upstream that sheds calls, for twice as long at each
// consecutive shed. It is called meanwhile only if its shard has no better one.
type backoff struct {
	// sheds counts consecutive sheds; a good call resets it.
	sheds int
	// until is when it is as good as others again, as time since the process started.
	until time.Duration
}

func (b *backoff) succeeded() { *b = backoff{} }

func (b *backoff) shed(now time.Duration) {
	b.until = now + exponential(initialBackoff, 2, b.sheds, maxBackoff)
	b.sheds++
}

// exponential is a time that was multiplied by a factor some times, at most the longest.
func exponential(first time.Duration, factor float64, times int, longest time.Duration) time.Duration {
	return time.Duration(min(float64(first)*math.Pow(factor, float64(times)), float64(longest)))
}

func (b *backoff) active(now time.Duration) bool { return now < b.until }
