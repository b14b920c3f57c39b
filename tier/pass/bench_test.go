package pass

import (
	"net/http"
	"strconv"
	"testing"
)

// BenchmarkGather gathers from 6 shards in the same process, so it includes the time of the
// upstreams.
func BenchmarkGather(b *testing.B) {
	h := newHost(b, hostConfig{name: "H1", hall: "A"})
	h.applyDocument(gatherDoc(1, 50))
	newShardUpstreams(b, h, [2]string{"A", "A"}, func(s, _ int) replyFunc { return good(shardRecords(s)) })
	i := 0
	for b.Loop() {
		i++
		if r := h.send(http.MethodGet, "/find/x", strconv.Itoa(i), 1500, ""); r.status != http.StatusOK {
			b.Fatalf("response %d: %v", r.status, r.err)
		}
	}
}
