package pass

import (
	"fmt"
	"math"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
)

// TestOddNumbersLeaveShares guards against an entry or a document with a number near the largest one,
// which overflows and leaves a host one concurrent call.
func TestOddNumbersLeaveShares(t *testing.T) {
	for _, tt := range []struct {
		slots, connections int
	}{{math.MaxInt, 100}, {4, math.MaxInt}, {math.MaxInt, math.MaxInt}, {math.MaxInt / 2, math.MaxInt / 2}} {
		t.Run(fmt.Sprint(tt.slots, " slots, ", tt.connections, " connections"), func(t *testing.T) {
			h := newHost(t, hostConfig{name: "H1", hall: "A"})
			d := singleDoc()
			d.Groups[0].Connections = tt.connections
			h.applyDocument(d)
			u := newFakeUpstream(t, "U1", good("x"))
			h.listUpstream("Orders", "A", u, false)
			v := h.kernel.View()
			l := config.Listing{Name: "U1", Group: "Orders", Hall: "A", Slots: tt.slots, Revision: 2}
			inputs := shareInputs{index: v.Index, directory: v.Directory, hostCounts: h.engine.counts}
			share := h.engine.share(&l, &inputs)
			least := min(tt.connections, 100) / 8
			assert.Assert(t, share.Slots >= least, "%d of at least %d", share.Slots, least)
			assert.Assert(t, share.PublishedSlots >= 1 && share.PublishedSlots <= maxListedSlots, "%d", share.PublishedSlots)
			assert.Equal(t, h.send(http.MethodGet, "/read/", "1", 2000, "").status, http.StatusOK)
		})
	}
}
