package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
)

// BenchmarkBeat is the size of a heartbeat and the cost of making and taking
// one in, by the number of hosts of the hall.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{2, 8, 24, 60, 117} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			t := newMemberTable(memberTableConfig{Self: memberEntry{Host: "H0", Incarnation: "18ed705c791cc212192c"}, Interval: time.Second, Random: rand.New(rand.NewPCG(1, 0))})
			for i := 1; i < n; i++ {
				t.merge(0, []memberEntry{{Host: fmt.Sprintf("H%d", i), Incarnation: "18ed705c791cc212192c", Counter: 12345, Revision: 600}})
			}
			size := 0
			for b.Loop() {
				text, err := json.Marshal(heartbeat{Members: t.entries(0), Revision: 600, Digest: "3b2943c1a576b1e4", Hall: "Quito1"})
				assert.NilError(b, err)
				size = len(text)
				var in heartbeat
				assert.NilError(b, json.Unmarshal(text, &in))
				t.merge(0, in.Members)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkRank is the cost of dividing the slots of one upstream in a hall
// of the design size.
func BenchmarkRank(b *testing.B) {
	hosts := make([]string, 117)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("H%d", i)
	}
	for b.Loop() {
		divide("U1", 4, hosts, "H7")
	}
}

// BenchmarkCall is the processor time of one call between hosts, both ends
// together, by the size of the message.
func BenchmarkCall(b *testing.B) {
	at := netip.MustParseAddrPort("127.0.0.1:19872")
	k, stop := kernel.New(kernel.Config{Settings: kernel.Settings{Host: "H1", Peer: at}, Started: time.Now()})
	defer stop()
	k.Handle("Echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	n, closeNode, err := newNode(k)
	assert.NilError(b, err)
	defer closeNode()
	for _, size := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			in := strings.Repeat("x", size)
			for b.Loop() {
				var out string
				assert.NilError(b, n.callAddress(b.Context(), at, "Echo", in, &out))
			}
		})
	}
}
