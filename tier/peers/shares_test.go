package peers

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestDivideAssignsEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`[A-Z]{1,3}`), 1, 9, rapid.ID).Draw(t, "hosts")
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		total := 0
		for _, h := range hosts {
			total += divide("U1", slots, hosts, h)
		}
		assert.Equal(t, total, slots)
		assert.Assert(t, divide("U1", slots, hosts, Owner("U1", hosts)) > 0)
	})
}
