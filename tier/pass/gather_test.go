package pass

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const shards = 6

// gatherDoc returns a document with one gather of shards S0 to S5.
func gatherDoc(coverage float64, top int) config.Document {
	d := config.Document{}
	g := &config.Gather{Top: top, Coverage: coverage}
	for i := range shards {
		n := fmt.Sprint("S", i)
		d.Groups = append(d.Groups, config.Group{Name: n, Connections: 100})
		g.Groups = append(g.Groups, n)
	}
	d.Routes = []config.Route{{
		Name: "Find", HostName: "shop.example", Prefix: "/find/", Repeatable: true, MaxAttempts: 2,
		TimeLimit: 2000 * millisecond, Objective: 200 * millisecond, Gather: g,
	}}
	return d
}

// shardRecords returns records of a shard, unsorted, with a remainder that is too short
// for a record.
func shardRecords(shard int) string {
	r := rand.New(rand.NewPCG(uint64(shard), 7))
	var b strings.Builder
	for range 10 {
		fmt.Fprintf(&b, "%08x%02d......", r.Uint32(), shard)
	}
	return b.String() + "rest"
}

// topRecords returns the response expected from the parts of some shards.
func topRecords(top int, parts ...int) string {
	var records []string
	for _, p := range parts {
		for text := shardRecords(p); len(text) >= recordBytes; text = text[recordBytes:] {
			records = append(records, text[:recordBytes])
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	return strings.Join(records[:min(top, len(records))], "")
}

// newShardUpstreams starts two upstreams for each shard, with the given replies.
func newShardUpstreams(t testing.TB, h *host, halls [2]string, reply func(shard, replica int) replyFunc) [][]*fakeUpstream {
	var out [][]*fakeUpstream
	for s := range shards {
		var us []*fakeUpstream
		for r := range 2 {
			u := newFakeUpstream(t, fmt.Sprintf("U%d%d", s, r), reply(s, r))
			h.listUpstream(fmt.Sprint("S", s), halls[r], u, false)
			us = append(us, u)
		}
		out = append(out, us)
	}
	return out
}

// newTwoHalls returns a host of hall A that knows one of hall B, with the upstreams of all shards in one of
// the two halls and a route that gathers them.
func newTwoHalls(t testing.TB, upstreamHall string, coverage float64, reply func(shard, replica int) replyFunc) (*host, *network) {
	w := newNetwork()
	h := newHost(t, hostConfig{name: "H1", hall: "A", peers: w})
	far := newHost(t, hostConfig{name: "Far", hall: "B", peers: w})
	w.addHost(far)
	newShardUpstreams(t, h, [2]string{upstreamHall, upstreamHall}, reply)
	d := gatherDoc(coverage, 15)
	d.Routes[0].Objective = 1000 * millisecond
	h.applyDocument(d)
	far.share(h, d)
	h.addMember(far)
	return h, w
}

func sortedStamps(r result) []string {
	out := strings.Split(r.header.Get(names.Parts), ", ")
	slices.Sort(out)
	return out
}

func TestGather(t *testing.T) {
	whole := []int{0, 1, 2, 3, 4, 5}
	tests := []struct {
		name     string
		coverage float64
		reply    func(shard, replica int) replyFunc
		status   int
		in       []int
		// maxCalls limits the calls of one shard.
		maxCalls int
	}{
		{"all well", 1, func(s, _ int) replyFunc { return good(shardRecords(s)) }, 200, whole, 2},
		{"one replica of each fails", 1, func(s, r int) replyFunc {
			if r == 0 {
				return fail(500, false)
			}
			return good(shardRecords(s))
		}, 200, whole, 2},
		{"one replica of each sheds", 1, func(s, r int) replyFunc {
			if r == 0 {
				return fail(503, true)
			}
			return good(shardRecords(s))
		}, 200, whole, 4},
		{"one shard is lost, coverage is met", 0.8, func(s, _ int) replyFunc {
			if s == 3 {
				return reset
			}
			return good(shardRecords(s))
		}, 200, []int{0, 1, 2, 4, 5}, 2},
		{"one shard is lost, coverage is not met", 0.9, func(s, _ int) replyFunc {
			if s == 3 {
				return reset
			}
			return good(shardRecords(s))
		}, 502, nil, 2},
		{"one shard is silent", 0.8, func(s, _ int) replyFunc {
			if s == 3 {
				return hang
			}
			return good(shardRecords(s))
		}, 200, []int{0, 1, 2, 4, 5}, 2},
		{"a failure with a stamp is no part", 0.8, func(s, _ int) replyFunc {
			if s == 3 {
				return fail(404, false)
			}
			return good(shardRecords(s))
		}, 200, []int{0, 1, 2, 4, 5}, 2},
		{"an answer to another request is no part", 0.8, func(s, _ int) replyFunc {
			if s == 3 {
				return func(_ *fakeUpstream, c net.Conn, _ *http.Request) bool {
					return writeResponse(c, 200, map[string]string{names.RequestID: "other", names.Stamp: "s"}, shardRecords(s))
				}
			}
			return good(shardRecords(s))
		}, 200, []int{0, 1, 2, 4, 5}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost(t, hostConfig{name: "H1", hall: "A"})
			h.applyDocument(gatherDoc(tt.coverage, 15))
			us := newShardUpstreams(t, h, [2]string{"A", "A"}, tt.reply)
			r := h.send(http.MethodGet, "/find/x", "one", 1500, "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, tt.status)
			for s := range us {
				assert.Assert(t, us[s][0].seen("one")+us[s][1].seen("one") <= tt.maxCalls)
			}
			if tt.status != http.StatusOK {
				return
			}
			assert.Equal(t, r.body, topRecords(15, tt.in...))
			assert.Equal(t, len(sortedStamps(r)), len(tt.in))
			assert.Equal(t, r.header.Get(names.Missing), fmt.Sprint(shards-len(tt.in)))
		})
	}
}

// TestGatherAllShed accepts a refusal as well as a failure: a gather is refused only if
// it certainly did not run, and a call may still be in flight when the coverage becomes
// unreachable.
func TestGatherAllShed(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	h.applyDocument(gatherDoc(0.5, 15))
	newShardUpstreams(t, h, [2]string{"A", "A"}, func(int, int) replyFunc { return fail(503, true) })
	r := h.send(http.MethodGet, "/find/x", "one", 1500, "")
	assert.NilError(t, r.err)
	assert.Assert(t, r.status == http.StatusServiceUnavailable || r.status == http.StatusBadGateway, "%d", r.status)
}

// TestGatherGoesThroughRelay has all upstreams in another hall, where a relay makes the
// calls.
func TestGatherGoesThroughRelay(t *testing.T) {
	tests := []struct {
		name string
		// change prepares the network and the upstreams.
		change func(w *network, reply *func(int, int) replyFunc)
		status int
		in     []int
	}{
		{"all well", func(*network, *func(int, int) replyFunc) {}, 200, []int{0, 1, 2, 3, 4, 5}},
		{"the near host cannot be reached", func(w *network, _ *func(int, int) replyFunc) { w.unreachable["Far"] = true }, 200, []int{0, 1, 2, 3, 4, 5}},
		{"the near host is silent", func(w *network, _ *func(int, int) replyFunc) { w.unresponsive["Far"] = true }, 200, []int{0, 1, 2, 3, 4, 5}},
		{"a shard is silent", func(_ *network, reply *func(int, int) replyFunc) {
			*reply = func(s, _ int) replyFunc {
				if s == 2 {
					return hang
				}
				return good(shardRecords(s))
			}
		}, 200, []int{0, 1, 3, 4, 5}},
		{"one replica of a shard is silent", func(_ *network, reply *func(int, int) replyFunc) {
			*reply = func(s, r int) replyFunc {
				if s == 2 && r == 0 {
					return hang
				}
				return good(shardRecords(s))
			}
		}, 200, []int{0, 1, 2, 3, 4, 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newNetwork()
			reply := func(s, _ int) replyFunc { return good(shardRecords(s)) }
			tt.change(w, &reply)
			h := newHost(t, hostConfig{name: "H1", hall: "A", peers: w})
			far := newHost(t, hostConfig{name: "Far", hall: "B", peers: w})
			w.hosts["Far"] = far
			us := newShardUpstreams(t, h, [2]string{"B", "B"}, reply)
			d := gatherDoc(0.8, 15)
			// At the objective, a response with the minimum coverage is returned, so the
			// objective must leave a busy machine time to make every call.
			d.Routes[0].Objective = 1000 * millisecond
			h.applyDocument(d)
			far.share(h, d)
			h.addMember(far)
			r := h.send(http.MethodGet, "/find/x", "one", 1500, "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, tt.status, r.body)
			assert.Equal(t, r.body, topRecords(15, tt.in...))
			assert.Equal(t, len(sortedStamps(r)), len(tt.in))
			arrivals := 0
			for s := range us {
				n := us[s][0].seen("one") + us[s][1].seen("one")
				assert.Assert(t, n <= 2, "a shard was called %d times", n)
				arrivals += n
			}
			assert.Assert(t, arrivals >= len(tt.in))
			assert.Assert(t, w.callCount(methodBatch) > 0)
		})
	}
}

// TestBatchStopsWhenCallerDisconnects checks that the calls of a relay are cancelled when
// the caller of the request is gone.
func TestBatchStopsWhenCallerDisconnects(t *testing.T) {
	w := newNetwork()
	h := newHost(t, hostConfig{name: "H1", hall: "A", peers: w})
	far := newHost(t, hostConfig{name: "Far", hall: "B", peers: w})
	w.hosts["Far"] = far
	ended := make(chan struct{}, 100)
	us := newShardUpstreams(t, h, [2]string{"B", "B"}, func(int, int) replyFunc {
		return func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
			hang(u, c, r)
			ended <- struct{}{}
			return false
		}
	})
	d := gatherDoc(0.8, 15)
	d.Routes[0].TimeLimit, d.Routes[0].Objective = 600000*millisecond, 600000*millisecond
	h.applyDocument(d)
	far.share(h, d)
	h.addMember(far)
	ctx, cancel := context.WithCancel(t.Context())
	arrived := func() int {
		n := 0
		for s := range us {
			n += us[s][0].seen("one") + us[s][1].seen("one")
		}
		return n
	}
	go func() {
		eventually(t, "all shards are asked", func() bool { return arrived() >= shards })
		cancel()
	}()
	r := h.sendContext(ctx, http.MethodGet, "/find/x", "one", 500000, "")
	assert.ErrorIs(t, r.err, context.Canceled)
	for range arrived() {
		<-ended
	}
}

func TestMergeIncludesEachPartOnce(t *testing.T) {
	of := func(shard int) *response {
		h := http.Header{}
		h.Set(names.Stamp, fmt.Sprint("s", shard))
		return &response{header: h, body: []byte(shardRecords(shard))}
	}
	blockOf := func(parts ...int) *block {
		m := merger{top: 15}
		b := &block{stamps: map[int]string{}}
		for _, p := range parts {
			m.add([]byte(shardRecords(p)))
			b.stamps[p] = fmt.Sprint("b", p)
		}
		b.records = m.result()
		return b
	}
	tests := []struct {
		name   string
		single []int
		blocks [][]int
		in     []int
	}{
		{"singles", []int{0, 1}, nil, []int{0, 1}},
		{"a block", nil, [][]int{{0, 1, 2}}, []int{0, 1, 2}},
		{"a block and a part of it that came before", []int{1, 3}, [][]int{{0, 1, 2}}, []int{0, 1, 2, 3}},
		{"blocks that overlap", []int{4}, [][]int{{0, 1}, {1, 2, 3}}, []int{1, 2, 3, 4}},
		{"blocks apart", nil, [][]int{{0, 1}, {2, 3}}, []int{0, 1, 2, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g gatheredParts
			for _, p := range tt.single {
				g.collect(p, of(p))
			}
			for _, b := range tt.blocks {
				x := blockOf(b...)
				for _, p := range b {
					g.collect(p, &response{block: x})
				}
			}
			records, stamps := g.merge(15, names.Stamp)
			assert.Equal(t, len(stamps), len(tt.in))
			assert.Equal(t, string(records), topRecords(15, tt.in...))
		})
	}
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte("0123456789abcdefrest"), 1)
	f.Add(bytes.Repeat([]byte("x"), 200), 3)
	f.Fuzz(func(t *testing.T, part []byte, top int) {
		if top < 1 || top > 1000 {
			return
		}
		m := merger{top: top}
		m.add(part)
		out := m.result()
		assert.Equal(t, len(out), recordBytes*min(top, len(part)/recordBytes))
	})
}

func TestRelayRejectsBadMessages(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	for _, text := range []string{`{`, `{}`, `{"Upstreams":["a"],"Top":0}`, `{"Upstreams":[],"Top":1}`} {
		_, err := h.kernel.Handler(methodBatch)(t.Context(), []byte(text))
		assert.Assert(t, err != nil, text)
	}
	_, err := h.kernel.Handler(methodBatchProgress)(t.Context(), []byte(`{"ID":"none"}`))
	assert.ErrorIs(t, err, errNoBatch)
	_, err = h.kernel.Handler(methodBatchStop)(t.Context(), []byte(`{"ID":"none"}`))
	assert.ErrorIs(t, err, errNoBatch)
	out, err := h.kernel.Handler(methodBatch)(t.Context(), []byte(`{"ID":"x","Upstreams":["gone"],"Top":1,"FirstMillis":1000,"DeadlineMillis":1000}`))
	assert.NilError(t, err)
	assert.Equal(t, out.(*batchReply).Ended[0].Outcome, string(policy.CallUnreachable))
}

// TestRelayedCallsHaveOneTrace checks that each hop of a gather through a relay has a
// span, and that all spans belong to the caller's trace.
func TestRelayedCallsHaveOneTrace(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	tracer := sdk.NewTracerProvider(sdk.WithSyncer(spans)).Tracer("")
	w := newNetwork()
	h := newHost(t, hostConfig{name: "H1", hall: "A", peers: w})
	far := newHost(t, hostConfig{name: "Far", hall: "B", peers: w})
	h.kernel.Tracer, far.kernel.Tracer = tracer, tracer
	w.hosts["Far"] = far
	newShardUpstreams(t, h, [2]string{"B", "B"}, func(s, _ int) replyFunc { return good(shardRecords(s)) })
	d := gatherDoc(1, 15)
	h.applyDocument(d)
	far.share(h, d)
	h.addMember(far)
	assert.Equal(t, h.send(http.MethodGet, "/find/x", "one", 1500, "").status, http.StatusOK)
	hops := func() map[string]int {
		out := map[string]int{}
		for _, s := range spans.GetSpans() {
			out[s.Name]++
		}
		return out
	}
	// A span may end shortly after the response.
	eventually(t, "each hop has its span", func() bool { return hops()["relay"] >= 1 && hops()["upstream"] >= shards })
	for _, s := range spans.GetSpans() {
		assert.Equal(t, s.SpanContext.TraceID(), spans.GetSpans()[0].SpanContext.TraceID())
	}
}

// TestPreconnectToOtherHalls checks that a host connects once to each of the first two
// hosts of each other hall.
func TestPreconnectToOtherHalls(t *testing.T) {
	w := newNetwork()
	h := newHost(t, hostConfig{name: "H1", hall: "A", peers: w})
	h.applyDocument(gatherDoc(1, 15))
	newShardUpstreams(t, h, [2]string{"A", "B"}, func(s, _ int) replyFunc { return good(shardRecords(s)) })
	at := netip.MustParseAddrPort("127.0.0.1:1")
	h.do(func(s *kernel.State) {
		for _, m := range []kernel.Member{
			{Host: "A2", Hall: "A", Live: true},
			{Host: "B3", Hall: "B", Live: true},
			{Host: "B1", Hall: "B", Live: true},
			{Host: "B2", Hall: "B", Live: true},
			{Host: "C1", Hall: "C", Live: true},
			{Host: "C2", Hall: "C"},
		} {
			m.Peer = at
			s.Members[m.Host] = m
		}
		s.Changed()
	})
	preconnected := func() []string {
		w.mu.Lock()
		defer w.mu.Unlock()
		return slices.Sorted(slices.Values(w.preconnected))
	}
	eventually(t, "three are met", func() bool { return len(preconnected()) == 3 })
	h.do(func(s *kernel.State) { s.Changed() })
	assert.DeepEqual(t, preconnected(), []string{"B1", "B2", "C1"})
}
