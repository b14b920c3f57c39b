package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/kernel/memory"
	"loomgap/tier/policy"
	"loomgap/tier/query"
	"loomgap/tier/wire"
)

const (
	// writtenLimit is the most that a reply of the tests sends, so that a client without limits
	// does not use up the memory of the machine.
	writtenLimit = 6 << 20
)

// serveRaw answers each request with a text, and repeats another one until writtenLimit or the end of
// the connection. The connection then stays open until the client closes it.
func serveRaw(t *testing.T, begin, repeat string) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	head, block := []byte(begin), []byte(strings.Repeat(repeat, 1+(16<<10)/max(len(repeat), 1)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, err := c.Write(head)
				for n := 0; err == nil && repeat != "" && n < writtenLimit; n += len(block) {
					_, err = c.Write(block)
				}
				_, _ = io.Copy(io.Discard, in)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestEndlessRepliesFitTheSmallestHost guards against upstreams whose replies do not end, in a head or
// a body: read by many calls at once, they took a host above its memory.
func TestEndlessRepliesFitTheSmallestHost(t *testing.T) {
	const calls, upstreams = 128, 4
	const head = "HTTP/1.1 200 OK\r\n"
	id := wire.Identity{RequestID: "R1", Attempt: 1, Shard: "S1", MapRevision: 1}
	begin, err := wire.Encode(wire.PartReply{Identity: id, Snapshot: 1, Rows: []query.Row{{}}})
	assert.NilError(t, err)
	rows := string(begin[:len(begin)-len("]}")]) + strings.Repeat(",{}", 1<<20) + "]}"
	sound, err := wire.Encode(wire.PartReply{Identity: id, Snapshot: 1, Rows: []query.Row{{Key: strings.Repeat("k", 200<<10)}}})
	assert.NilError(t, err)
	defer kernel.LimitHeap(&kernel.Settings{MemoryMB: memory.HostMB})()
	for _, tt := range []struct{ name, begin, repeat string }{
		{"body", head + "\r\n", "x"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"body with a length", head + "Connection: close\r\nContent-Length: 4194304\r\n\r\n", "x"},
		{"headers", head, "X-More: 1\r\n"},
		{"rows that take more memory than text", fmt.Sprintf("%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", head, len(rows), rows), ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			budgets := kernel.NewByteBudget(memory.HostBytes*3/10, 2)
			body, err := wire.Encode(benchRequest())
			assert.NilError(t, err)
			call := func(c *client) policy.CallOutcome {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				r := c.do(ctx, wire.PathPart, http.Header{}, body, wire.MaxReplyBytes)
				defer r.release()
				outcome, _ := classify(&r, id, 1)
				return outcome
			}
			var clients []*client
			for range upstreams {
				c := newClient(&config.Upstream{Address: serveRaw(t, tt.begin, tt.repeat)}, calls, budgets.Account())
				defer c.close()
				clients = append(clients, c)
			}
			soundReply := fmt.Sprintf("%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", head, len(sound), sound)
			other := newClient(&config.Upstream{Address: serveRaw(t, soundReply, "")}, calls, budgets.Account())
			defer other.close()
			peak := memory.PeakHeap(func() {
				var all sync.WaitGroup
				for i := range calls {
					all.Go(func() {
						outcome := call(clients[i%upstreams])
						// On a busy machine some find no connection in time, and are Unreachable.
						assert.Check(t, slices.Contains([]policy.CallOutcome{
							policy.CallMalformed, policy.CallNoRoom, policy.CallBroken, policy.CallUnreachable,
						}, outcome), outcome)
					})
				}
				for range calls / upstreams {
					assert.Check(t, call(other) == policy.CallOK, "a sound upstream's reply is read beside those of others")
				}
				all.Wait()
			})
			t.Logf("peak heap %d MB", peak>>20)
			assert.Assert(t, peak < memory.HostBytes*3/4, "%d MB", peak>>20)
			assert.Equal(t, budgets.Used(), int64(0))
		})
	}
}

// TestReplyWithoutEndIsMalformed guards against a call that waits for the close of an upstream whose reply
// shows no end, and takes what came until then for the whole.
func TestReplyWithoutEndIsMalformed(t *testing.T) {
	id := wire.Identity{RequestID: "1"}
	text, err := wire.Encode(wire.PartReply{Identity: id})
	assert.NilError(t, err)
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n", len(text)),
	} {
		c := newClient(&config.Upstream{Address: serveRaw(t, head+"\r\n"+string(text), "")}, 1, nil)
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		r := c.do(ctx, wire.PathPart, http.Header{}, nil, wire.MaxReplyBytes)
		cancel()
		got, _ := classify(&r, id, 0)
		assert.Equal(t, got, policy.CallMalformed)
		assert.Assert(t, time.Since(started) < time.Second, "it is known at once")
		r.release()
		c.close()
	}
}
