package pass

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBackoffDoubles(t *testing.T) {
	var b backoff
	assert.Assert(t, !b.active(0))
	now := time.Minute
	for _, want := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff, maxBackoff, maxBackoff} {
		b.begin(now)
		assert.Assert(t, b.active(now+want-1), "%s", want)
		now += want
		assert.Assert(t, !b.active(now), "%s", want)
	}
	b = backoff{}
	b.begin(now)
	assert.Assert(t, !b.active(now+initialBackoff), "the backoff starts over after a response")
}
