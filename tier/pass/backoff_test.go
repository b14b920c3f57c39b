package pass

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBackoffDoubles begins a backoff again and again, as after failures in a row.
func TestBackoffDoubles(t *testing.T) {
	var b backoff
	assert.Assert(t, !b.active(0))
	now := time.Minute
	for _, want := range []time.Duration{backoffFirst, 2 * backoffFirst, 4 * backoffFirst, backoffMost, backoffMost} {
		b.begin(now)
		assert.Assert(t, b.active(now+want-1), "%s", want)
		now += want
		assert.Assert(t, !b.active(now), "%s", want)
	}
	b = backoff{}
	b.begin(now)
	assert.Assert(t, !b.active(now+backoffFirst), "it begins anew after an answer")
}
