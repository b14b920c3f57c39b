package pass

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// opaqueID is a request ID with a byte that is no UTF-8, which a header may have (RFC 9110, section 5.5).
const opaqueID = "one-\xe9"

// TestOpaqueBytesReachUpstreams guards against upstreams that run a request with an ID that no caller
// sent, because messages between hosts replace bytes of the head that are no UTF-8.
func TestOpaqueBytesReachUpstreams(t *testing.T) {
	check := func(t *testing.T, h *host, us [][]*fakeUpstream) {
		t.Helper()
		r := h.send(http.MethodGet, "/find/x", opaqueID, 3000, "")
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, r.body)
		assert.Equal(t, r.body, topRecords(15, 0, 1, 2, 3, 4, 5))
		assert.Equal(t, r.header.Get(names.RequestID), opaqueID)
		for s := range us {
			assert.Assert(t, us[s][0].seen(opaqueID)+us[s][1].seen(opaqueID) > 0)
			for _, u := range us[s] {
				assert.Equal(t, u.total(), u.seen(opaqueID), "an upstream got another ID")
			}
		}
	}
	t.Run("upstreams of another hall", func(t *testing.T) {
		w := newNetwork()
		h, far := newHost(t, hostConfig{name: "H1", hall: "A", peers: w}), newHost(t, hostConfig{name: "Far", hall: "B", peers: w})
		w.hosts["Far"] = far
		us := newShardUpstreams(t, h, [2]string{"B", "B"}, replyWithPart)
		d := gatherDoc(1, 15)
		d.Routes[0].Objective = 1000 * millisecond
		h.applyDocument(d)
		far.share(h, d)
		h.addMember(far)
		check(t, h, us)
	})
	t.Run("stronger host", func(t *testing.T) {
		f := newForwardSetup(t, replyWithPart)
		check(t, f.weak, f.upstreams)
	})
}
