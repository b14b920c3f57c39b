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
	for _, want := range []time.Duration{backoffInitial, 2 * backoffInitial, 4 * backoffInitial, backoffMax, backoffMax} {
		b.begin(now)
		assert.Assert(t, b.active(now+want-1), "%s", want)
		now += want
		assert.Assert(t, !b.active(now), "%s", want)
	}
	b = backoff{}
	b.begin(now)
	assert.Assert(t, !b.active(now+backoffInitial), "the backoff starts over after a response")
}
