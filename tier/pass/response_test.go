package pass

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writtenLimit is the most that an endless response of the tests sends, so that a host without
// limits does not use up the memory of the machine.
const writtenLimit = 64 << 20

// endless returns a reply that begins with a text and goes on with another one, again and again. It
// counts the bytes that the host took.
func endless(begin, repeat string, written *atomic.Int64) replyFunc {
	block := []byte(strings.Repeat(repeat, 1+(16<<10)/len(repeat)))
	return func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(begin, "{id}", r.Header.Get(names.RequestID)))
		for err == nil && written.Load() < writtenLimit {
			n := 0
			n, err = c.Write(block)
			written.Add(int64(n))
		}
		return false
	}
}

// TestEndlessResponseEndsAtItsLimit guards against an upstream whose endless bytes take a host
// above its memory limit: all requests of the host end with its process.
func TestEndlessResponseEndsAtItsLimit(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nX-Id: {id}\r\nX-Stamp: s\r\n"
	// socketBytes is what the sockets of both ends hold beside what the host has read.
	const socketBytes = 8 << 20
	for _, tt := range []struct {
		name, begin, repeat string
		limit               int64
		// logged is false if the parser has a limit of its own.
		logged bool
	}{
		{"bytes without a line end", "", "x", maxResponseHeadBytes, true},
		{"status line", "HTTP/1.1 200 ", "x", maxResponseHeadBytes, true},
		{"headers", head, "X-More: 1\r\n", maxResponseHeadBytes, true},
		{"one header", head + "X-More: ", "x", maxResponseHeadBytes, true},
		{"interim responses", "", "HTTP/1.1 103 X\r\nX-More: 1\r\n\r\n", maxResponseHeadBytes, true},
		{"body without an end", head + "\r\n", "x", maxResponseBytes, true},
		{"one chunk", head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x", maxResponseBytes, true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", 2 * maxResponseBytes, true},
		{"chunks of one byte", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 2 * maxChunkingBytes, true},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x", maxResponseHeadBytes, false},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n", maxResponseHeadBytes, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var written atomic.Int64
			var log lockedBuffer
			h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
			h.applyDocument(singleDoc())
			h.listUpstream("Orders", "A", newFakeUpstream(t, "U1", endless(tt.begin, tt.repeat, &written)), false)
			started := time.Now()
			r := h.send(http.MethodPost, "/place/", "1", 10_000, "b")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusBadGateway)
			assert.Assert(t, written.Load() <= tt.limit+socketBytes, "%d bytes", written.Load())
			assert.Assert(t, time.Since(started) < 5*time.Second, "it ends at its limit, not at the deadline")
			if tt.logged {
				assert.Assert(t, strings.Contains(log.String(), `"Upstream":"U1","message":"response rejected, connection closed"`), log.String())
			}
		})
	}
}

// TestLargeResponsesShareABudget guards against large responses that together take a host above its
// memory limit, and against a faulty upstream that leaves nothing for the others.
func TestLargeResponsesShareABudget(t *testing.T) {
	var all, held sync.WaitGroup
	release := make(chan struct{})
	const size = 6 << 20
	// accountBytes is what large responses of one upstream may take on the smallest host.
	const accountBytes = 16 << 20
	half := func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
		id := r.Header.Get(names.RequestID)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n", names.RequestID, id, names.Stamp, size)
		held.Done()
		<-release
		_, _ = c.Write(bytes.Repeat([]byte("x"), size))
		return true
	}
	h, us := newSingleSetup(t, half)
	sound := newFakeUpstream(t, "U9", good(strings.Repeat("y", 1<<20)))
	h.listUpstream("Other", "A", sound, false)
	const calls = 4
	held.Add(calls)
	statuses := make(chan int, calls)
	for i := range calls {
		all.Go(func() { statuses <- h.send(http.MethodPost, "/place/", fmt.Sprint("n", i), 20_000, "b").status })
	}
	held.Wait()
	// Two of the bodies fit into the account of one upstream.
	for range calls - accountBytes/size {
		assert.Equal(t, <-statuses, http.StatusBadGateway)
	}
	r := h.send(http.MethodGet, "/read/deep/", "sound", 5000, "")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, len(r.body), 1<<20)
	close(release)
	all.Wait()
	for range accountBytes / size {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
	assert.Equal(t, h.engine.pools.budget.Used(), int64(0))
	us[0].mu.Lock()
	us[0].reply = good(strings.Repeat("z", size))
	us[0].mu.Unlock()
	assert.Equal(t, len(h.send(http.MethodGet, "/read/", "last", 5000, "").body), size)
}

// TestUnsizedBodies reads bodies without a length around the sizes at which the budget grows.
func TestUnsizedBodies(t *testing.T) {
	const sizeStep = 4 << 10
	for _, size := range []int{0, 1, sizeStep - 1, sizeStep, sizeStep + 1, 3 * sizeStep, maxResponseBytes - 1, maxResponseBytes} {
		h, _ := newSingleSetup(t, func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n", names.RequestID, r.Header.Get(names.RequestID), names.Stamp)
			if size > 0 {
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return false
		})
		r := h.send(http.MethodGet, "/read/", "1", 10_000, "")
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, len(r.body), size)
		assert.Equal(t, h.engine.pools.budget.Used(), int64(0))
	}
}

// TestShortChunksAreRead guards against a limit for small chunks that a sound response meets: the whole body
// of an upstream that writes a few bytes at a time is read.
func TestShortChunksAreRead(t *testing.T) {
	for _, tt := range []struct{ chunk, count int }{{1, 100 << 10}, {8, maxResponseBytes / 8}} {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", tt.chunk, strings.Repeat("x", tt.chunk))
		h, _ := newSingleSetup(t, func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n", names.RequestID, r.Header.Get(names.RequestID), names.Stamp)
			_, _ = io.WriteString(c, strings.Repeat(chunk, tt.count)+"0\r\n\r\n")
			return false
		})
		r := h.send(http.MethodGet, "/read/", "1", 10_000, "")
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, len(r.body), tt.chunk*tt.count)
	}
}
