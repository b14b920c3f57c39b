package pass

import (
	"net/http"
	"strconv"
	"testing"
)

// BenchmarkGather asks 6 shards of upstreams in the same process; the
// upstreams' own time is in it.
func BenchmarkGather(b *testing.B) {
	h := newHost(b, hostConfig{name: "H1", hall: "A"})
	h.applyDocument(gatherDoc(1, 50))
	newShardUpstreams(b, h, [2]string{"A", "A"}, func(s, _ int) replyFunc { return good(shardRecords(s)) })
	i := 0
	for b.Loop() {
		i++
		if r := h.send(http.MethodGet, "/find/x", strconv.Itoa(i), 1500, ""); r.status != http.StatusOK {
			b.Fatalf("answer %d: %v", r.status, r.err)
		}
	}
}
