package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMargin(t *testing.T) {
	const ms = time.Millisecond
	m := Margin{}
	assert.Equal(t, m.Estimate(), time.Duration(0))
	for range 100 {
		m.Observe(10 * ms)
	}
	assert.Assert(t, m.Estimate() >= 10*ms && m.Estimate() < 11*ms, m.Estimate())
	for i := range 100 {
		m.Observe(time.Duration(10+20*(i%2)) * ms)
	}
	// Half of the durations are 30 ms, which the margin must cover.
	assert.Assert(t, m.Estimate() >= 30*ms && m.Estimate() < 50*ms, m.Estimate())
}
