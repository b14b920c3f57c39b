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
	"gotest.tools/v3/poll"

	"loomgap/tier/kernel"
	"loomgap/tier/kernel/memory"
)

// stalled sends size bytes of a larger chunk, and then nothing until the host closes.
func stalled(size int, sent func()) replyFunc {
	return func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", names.RequestID, r.Header.Get(names.RequestID), names.Stamp, size+1)
		_, _ = c.Write(bytes.Repeat([]byte("x"), size))
		sent()
		_, _ = io.Copy(io.Discard, c)
		return false
	}
}

// TestSoundResponsesAreReadBesideFaultyOnes guards against faulty upstreams that use up the memory
// for responses, so that answers of sound upstreams are thrown away and count against them.
func TestSoundResponsesAreReadBesideFaultyOnes(t *testing.T) {
	for _, faulty := range []int{1, 2, 6} {
		t.Run(fmt.Sprint(faulty, " faulty upstreams"), func(t *testing.T) {
			var log lockedBuffer
			h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
			h.applyDocument(singleDoc())
			var stalledCalls sync.WaitGroup
			for i := range faulty {
				h.listUpstream("Orders", "A", newFakeUpstream(t, fmt.Sprint("F", i), stalled(4<<20-1, stalledCalls.Done)), false)
			}
			const size = 1 << 20
			h.listUpstream("Other", "A", newFakeUpstream(t, "Sound", good(strings.Repeat("y", size))), false)
			var all sync.WaitGroup
			for i := range 4 * faulty {
				stalledCalls.Add(1)
				all.Go(func() { h.send(http.MethodPost, "/place/", fmt.Sprint("f", i), 5000, "b") })
			}
			stalledCalls.Wait()
			var sound sync.WaitGroup
			for i := range 4 {
				sound.Go(func() {
					for j := range 5 {
						r := h.send(http.MethodGet, "/read/deep/", fmt.Sprint("s", i, "-", j), 3000, "")
						assert.Check(t, r.status == http.StatusOK && len(r.body) == size, "%d, %d bytes", r.status, len(r.body))
					}
				})
			}
			sound.Wait()
			h.server.CloseClientConnections()
			all.Wait()
			assert.Assert(t, !strings.Contains(log.String(), `"Upstream":"Sound"`), log.String())
		})
	}
}

// TestManyResponsesFitTheSmallestHost guards against responses that each keep their limit, and take a
// host above its memory together.
func TestManyResponsesFitTheSmallestHost(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nX-Id: {id}\r\nX-Stamp: s\r\n"
	const upstreams, calls = 32, 128
	defer kernel.LimitHeap(&kernel.Settings{MemoryMB: memory.HostMB})()
	for _, tt := range []struct{ name, begin, repeat string }{
		{"short headers", head, "X:\r\n"},
		{"different headers", head, "A:1\r\nB:1\r\nC:1\r\nD:1\r\nE:1\r\nF:1\r\nG:1\r\nH:1\r\n"},
		{"one chunk", head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var written atomic.Int64
			written.Store(-calls * writtenLimit) // all calls together may take so much
			h := newHost(t, hostConfig{name: "H1", hall: "A"})
			h.applyDocument(singleDoc())
			for i := range upstreams {
				h.listUpstream("Orders", "A", newFakeUpstream(t, fmt.Sprint("F", i), endless(tt.begin, tt.repeat, &written)), false)
			}
			peak := memory.PeakHeap(func() {
				var all sync.WaitGroup
				for i := range calls {
					all.Go(func() {
						r := h.send(http.MethodPost, "/place/", fmt.Sprint("f", i), 5000, "b")
						assert.Check(t, r.err == nil && r.status >= http.StatusInternalServerError, "%d %v", r.status, r.err)
					})
				}
				all.Wait()
			})
			t.Logf("peak heap %d MB", peak>>20)
			assert.Assert(t, peak < memory.HostBytes*3/4, "%d MB", peak>>20)
		})
	}
}

// TestResponsesToSlowCallersAreCounted guards against callers that do not take their responses, which
// a host holds without a limit.
func TestResponsesToSlowCallersAreCounted(t *testing.T) {
	const callers, size = 12, 5 << 20
	h, _ := newSingleSetup(t, good(strings.Repeat("z", size)))
	statuses := make(chan string, callers)
	var conns []net.Conn
	for i := range callers {
		c, err := net.Dial("tcp", h.server.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		conns = append(conns, c)
		_, err = fmt.Fprintf(c, "GET /read/ HTTP/1.1\r\nHost: shop.example\r\n%s: c%d\r\n%s: 5000\r\n\r\n", names.RequestID, i, names.DeadlineMillis)
		assert.NilError(t, err)
		go func() {
			line := make([]byte, len("HTTP/1.1 200"))
			_, _ = io.ReadFull(c, line)
			statuses <- string(line)
		}()
	}
	served := 0
	for range callers {
		if <-statuses == "HTTP/1.1 200" {
			served++
		}
	}
	assert.Assert(t, served >= 1 && served*size <= 16<<20, "%d responses of %d bytes are held for callers", served, size)
	for _, c := range conns {
		_ = c.Close()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := h.engine.pools.budget.Used(); n != 0 {
			return poll.Continue("%d bytes in use", n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// TestResponsesNotTakenGiveWay guards against callers that do not take their responses, so that there is
// no room for those of others from the same upstream for as long as the callers may take.
func TestResponsesNotTakenGiveWay(t *testing.T) {
	const slow, size = 12, 5 << 20
	h, _ := newSingleSetup(t, good(strings.Repeat("z", size)))
	for i := range slow {
		c, err := net.Dial("tcp", h.server.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = fmt.Fprintf(c, "GET /read/ HTTP/1.1\r\nHost: shop.example\r\n%s: c%d\r\n%s: 500\r\n\r\n", names.RequestID, i, names.DeadlineMillis)
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := h.engine.pools.budget.Used(); used < 10<<20 {
			return poll.Continue("%d bytes held", used)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	time.Sleep(1500 * time.Millisecond) // callers that take their responses are done by then
	for i := range 20 {
		r := h.send(http.MethodGet, "/read/", fmt.Sprint("o", i), 3000, "")
		assert.Assert(t, r.status == http.StatusOK && len(r.body) == size, "%d, %d bytes", r.status, len(r.body))
	}
}

// TestCallerThatTakesNothingIsCutOff guards against a caller that holds its response for good, and
// that a limit of one response ends the next.
func TestCallerThatTakesNothingIsCutOff(t *testing.T) {
	const size = 4 << 20
	h, _ := newSingleSetup(t, good(strings.Repeat("z", size)))
	h.engine.take = takeLimit{least: 200 * time.Millisecond, rate: 1 << 30}
	c, err := net.Dial("tcp", h.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	for i := range 10 {
		_, err = fmt.Fprintf(c, "GET /read/ HTTP/1.1\r\nHost: shop.example\r\n%s: c%d\r\n%s: 5000\r\n\r\n", names.RequestID, i, names.DeadlineMillis)
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.engine.pools.budget.Used() < size/2 {
			return poll.Continue("the response is not held yet")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := h.engine.pools.budget.Used(); n != 0 {
			return poll.Continue("%d bytes in use", n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	for i := range 2 {
		r := h.send(http.MethodGet, "/read/", fmt.Sprint("kept", i), 3000, "")
		assert.Equal(t, len(r.body), size)
		time.Sleep(250 * time.Millisecond) // the limit of the response passes between two requests
	}
}

// sendBody sends a request whose body has a length and stops before its end.
func (h *host) sendBody(id string, length, sent int) net.Conn {
	c, err := net.Dial("tcp", h.server.Listener.Addr().String())
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /place/ HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 2000\r\nContent-Length: %d\r\n\r\n",
		names.RequestID, id, names.DeadlineMillis, length)
	assert.NilError(h.t, err)
	// The host may refuse the request, and read no more, before it has the whole body.
	go func() { _, _ = c.Write(bytes.Repeat([]byte("b"), sent)) }()
	return c
}

// statusOf reads the status code of a response.
func statusOf(t *testing.T, c net.Conn) string {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	line := make([]byte, len("HTTP/1.1 200"))
	_, err := io.ReadFull(c, line)
	assert.NilError(t, err)
	return string(line[len(line)-3:])
}

// TestBodiesOfCallersFitTheSmallestHost guards against callers whose bodies do not end, which a host
// held for good, and without a limit for all of them.
func TestBodiesOfCallersFitTheSmallestHost(t *testing.T) {
	const size, callers = 4 << 20, 12
	h, _ := newSingleSetup(t, good("done"))
	d := singleDoc()
	d.Limits.Body = size
	h.applyDocument(d)
	var conns []net.Conn
	for i := range callers {
		conns = append(conns, h.sendBody(fmt.Sprint("b", i), size, size-1))
	}
	refused, incomplete := 0, 0
	for _, c := range conns {
		switch s := statusOf(t, c); s {
		case "503":
			refused++
		case "408":
			incomplete++
		default:
			t.Errorf("status %s", s)
		}
	}
	assert.Assert(t, incomplete >= 1 && incomplete*size <= 16<<20, "%d bodies of %d bytes are held", incomplete, size)
	assert.Equal(t, refused+incomplete, callers)
	assert.Equal(t, h.send(http.MethodPost, "/place/", "last", 2000, strings.Repeat("b", size)).status, http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// Connections at rest hold 8 KiB each.
		if n := h.kernel.Clients.Held() - int64(h.kernel.Clients.Open())*8<<10; n != 0 {
			return poll.Continue("%d bytes in use", n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}
