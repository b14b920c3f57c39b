package pass

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// cutBody is the body of the answers that are cut, of one record and a part.
const cutBody = "0123456789abcdefghijklmno\n"

// chunkedBody is cutBody in two chunks.
const chunkedBody = "a\r\n0123456789\r\n10\r\nabcdefghijklmno\n\r\n"

// framing is one way in which an upstream ends its answers. In text, {id} is the ID of the request.
type framing struct {
	name, text string
	// isShown is true if the answer shows where its body ends.
	isShown bool
}

// framings are the ways in which upstreams may end an answer whose body is cutBody.
func framings() []framing {
	const fields = "X-Id: {id}\r\nX-Stamp: s\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(cutBody))
	const chunks = "Transfer-Encoding: chunked\r\n"
	return []framing{
		{"length", "HTTP/1.1 200 X\r\n" + length + fields + "\r\n" + cutBody, true},
		{"length last", "HTTP/1.1 200 X\r\n" + fields + length + "\r\n" + cutBody, true},
		{"length in HTTP/1.0", "HTTP/1.0 200 X\r\n" + length + fields + "\r\n" + cutBody, true},
		{"chunks", "HTTP/1.1 200 X\r\n" + chunks + fields + "\r\n" + chunkedBody + "0\r\n\r\n", true},
		{"chunks and a trailer", "HTTP/1.1 200 X\r\n" + chunks + fields + "\r\n" + chunkedBody + "0\r\nX-More: 1\r\n\r\n", true},
		{"length behind a 103", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\n" + length + fields + "\r\n" + cutBody, true},
		{"length, bare LF", strings.ReplaceAll("HTTP/1.1 200 X\r\n"+length+fields+"\r\n", "\r", "") + cutBody, true},
		{"nothing", "HTTP/1.1 200 X\r\n" + fields + "\r\n" + cutBody, false},
		{"Connection: close", "HTTP/1.1 200 X\r\nConnection: close\r\n" + fields + "\r\n" + cutBody, false},
		{"nothing behind a 103", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\n" + fields + "\r\n" + cutBody, false},
		{"nothing in HTTP/1.0", "HTTP/1.0 200 X\r\n" + fields + "\r\n" + cutBody, false},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 X\r\n" + chunks + fields + "\r\n" + chunkedBody + "0\r\n\r\n", false},
		{"a space before the colon of the length", "HTTP/1.1 200 X\r\n" + strings.Replace(length, ":", " :", 1) + fields + "\r\n" + cutBody, false},
		{"a space before the colon of chunks", "HTTP/1.1 200 X\r\n" + strings.Replace(chunks, ":", " :", 1) + fields + "\r\n" + chunkedBody + "0\r\n\r\n", false},
		{"a length and a space before the colon of chunks", "HTTP/1.1 200 X\r\n" + length + strings.Replace(chunks, ":", " :", 1) + fields + "\r\n" + cutBody, false},
		{"a name with a space", "HTTP/1.1 200 X\r\n" + length + "X Y: 1\r\n" + fields + "\r\n" + cutBody, false},
		{"an empty length", "HTTP/1.1 200 X\r\nContent-Length:\r\n" + fields + "\r\n" + cutBody, false},
	}
}

// breakOff is how an upstream ends the connection after the bytes that it sends.
type breakOff string

const (
	breakOffClose breakOff = "Close"
	breakOffReset breakOff = "Reset"
	breakOffLater breakOff = "Later"
)

// laterTime is the time until an upstream closes by breakOffLater.
const laterTime = 20 * time.Millisecond

// cutAt returns a reply with the first bytes of an answer, as many as at holds then.
func cutAt(text string, at *atomic.Int64, how breakOff) replyFunc {
	return func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
		whole := strings.ReplaceAll(text, "{id}", r.Header.Get(names.RequestID))
		_, _ = io.WriteString(c, whole[:min(int64(len(whole)), at.Load())])
		switch how {
		case breakOffLater:
			time.Sleep(laterTime)
		case breakOffReset:
			_ = c.(*net.TCPConn).SetLinger(0)
		case breakOffClose:
		}
		return false
	}
}

// atOnce is the time within which a failure that is known has to reach the caller.
const atOnce = time.Second

// TestCutAnswerIsNoSuccess guards against an answer that was cut, in its head or its body, and reaches
// the caller as a whole 200, framed anew: an order that seems to have succeeded, or a body that lacks
// its end.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	for _, f := range framings() {
		for _, how := range []breakOff{breakOffClose, breakOffReset, breakOffLater} {
			t.Run(f.name+", "+string(how), func(t *testing.T) {
				var at atomic.Int64
				h, _ := newSingleSetup(t, wholeOrCut(cutAt(f.text, &at, how)))
				whole := len(strings.ReplaceAll(f.text, "{id}", "p0000"))
				for cut := 0; cut <= whole; cut++ {
					if how == breakOffLater && cut%8 != 0 && cut != whole {
						continue // the time is the same at each byte
					}
					// A whole answer in between, so that the upstream is not ejected.
					assert.Equal(t, h.send(http.MethodPost, "/place/", fmt.Sprint("whole", cut), 4000, "b").status, http.StatusOK)
					at.Store(int64(cut))
					started := time.Now()
					r := h.send(http.MethodPost, "/place/", fmt.Sprintf("p%04d", cut), 4000, "b")
					assert.NilError(t, r.err)
					isWhole := f.isShown && cut == whole
					if isWhole && how != breakOffReset {
						assert.Equal(t, r.status, http.StatusOK)
						assert.Equal(t, r.body, cutBody)
						assert.Equal(t, r.header.Get(names.Stamp), "s")
						continue
					}
					if !isWhole {
						assert.Equal(t, r.status, http.StatusBadGateway, "cut after %d of %d bytes: %q", cut, whole, r.body)
						assert.Equal(t, r.header.Get(names.Stamp), "")
					}
					assert.Assert(t, time.Since(started) < atOnce, "the failure is known at once")
				}
			})
		}
	}
}

// wholeOrCut returns a reply that is whole for requests whose ID begins so, else the given one.
func wholeOrCut(cut replyFunc) replyFunc {
	return func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.Header.Get(names.RequestID), "whole") {
			return good(cutBody)(u, c, r)
		}
		return cut(u, c, r)
	}
}

// TestAnswerWithoutEndIsRejected guards against an upstream that goes on sending answers which cannot show
// their end without anybody hearing of it, and checks that the caller does not wait for its close.
func TestAnswerWithoutEndIsRejected(t *testing.T) {
	for _, f := range framings() {
		if f.isShown {
			continue
		}
		for _, status := range []string{"200", "404", "500"} {
			t.Run(f.name+", "+status, func(t *testing.T) {
				var log lockedBuffer
				h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
				h.applyDocument(singleDoc())
				// raw leaves the connection open.
				h.listUpstream("Orders", "A", newFakeUpstream(t, "U1", raw(strings.Replace(f.text, " 200 ", " "+status+" ", 1))), false)
				rejected := metrics.GetOrCreateCounter("loomgap_responses_rejected_total")
				before := rejected.Get()
				started := time.Now()
				r := h.send(http.MethodPost, "/place/", "1", 4000, "b")
				assert.NilError(t, r.err)
				assert.Equal(t, r.status, http.StatusBadGateway, r.body)
				assert.Assert(t, time.Since(started) < atOnce, "the failure is known at once")
				assert.Assert(t, strings.Contains(log.String(), `"Upstream":"U1","message":"response rejected, connection closed"`), log.String())
				assert.Equal(t, rejected.Get(), before+1)
			})
		}
	}
}

// TestCutAnswerIsTriedElsewhere checks that a request that may be repeated gets the whole answer of another
// upstream, on new connections and on kept ones.
func TestCutAnswerIsTriedElsewhere(t *testing.T) {
	for _, f := range framings() {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection %t", f.name, kept), func(t *testing.T) {
				var at atomic.Int64
				var asked sync.Map
				reply := wholeOrCut(func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
					if _, again := asked.LoadOrStore(r.Header.Get(names.RequestID), true); !again {
						return cutAt(f.text, &at, breakOffClose)(u, c, r)
					}
					if kept {
						return good(cutBody)(u, c, r)
					}
					id := r.Header.Get(names.RequestID)
					writeResponse(c, http.StatusOK, map[string]string{names.RequestID: id, names.Stamp: "s", "Connection": "close"}, cutBody)
					return false
				})
				h, _ := newSingleSetup(t, reply, reply)
				whole := len(strings.ReplaceAll(f.text, "{id}", "g0000"))
				for cut := 0; cut < whole; cut += 2 {
					if kept {
						assert.Equal(t, h.send(http.MethodGet, "/read/", fmt.Sprint("whole", cut), 4000, "").status, http.StatusOK)
					}
					at.Store(int64(cut))
					r := h.send(http.MethodGet, "/read/", fmt.Sprintf("g%04d", cut), 4000, "")
					assert.NilError(t, r.err)
					assert.Equal(t, r.status, http.StatusOK, "cut after %d of %d bytes", cut, whole)
					assert.Equal(t, r.body, cutBody, "cut after %d of %d bytes", cut, whole)
				}
			})
		}
	}
}

// TestAnswersWithoutBodyNeedNoEnd checks the answers that show their end by having no body, cut at each byte
// of their heads.
func TestAnswersWithoutBodyNeedNoEnd(t *testing.T) {
	const fields = "X-Id: {id}\r\nX-Stamp: s\r\n\r\n"
	for _, tt := range []struct {
		method, head string
		status       int
	}{
		{http.MethodHead, "HTTP/1.1 200 X\r\n", 200},
		{http.MethodHead, "HTTP/1.1 200 X\r\nContent-Length: 26\r\n", 200},
		{http.MethodHead, "HTTP/1.0 200 X\r\n", 200},
		{http.MethodGet, "HTTP/1.1 204 X\r\n", 204},
		{http.MethodPost, "HTTP/1.1 204 X\r\n", 204},
		{http.MethodGet, "HTTP/1.1 304 X\r\n", 304},
		{http.MethodPost, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n", 200},
	} {
		t.Run(tt.method+" "+strings.TrimSpace(tt.head), func(t *testing.T) {
			text := tt.head + fields
			whole := len(strings.ReplaceAll(text, "{id}", "0000"))
			var at atomic.Int64
			h, _ := newSingleSetup(t, wholeOrCut(cutAt(text, &at, breakOffClose)))
			for cut := 0; cut <= whole; cut++ {
				assert.Equal(t, h.send(http.MethodPost, "/place/", fmt.Sprint("whole", cut), 4000, "").status, http.StatusOK)
				at.Store(int64(cut))
				r := h.send(tt.method, "/place/", fmt.Sprintf("%04d", cut), 4000, "")
				assert.NilError(t, r.err)
				if cut == whole {
					assert.Equal(t, r.status, tt.status)
					assert.Equal(t, r.header.Get(names.Stamp), "s")
					continue
				}
				assert.Equal(t, r.status, http.StatusBadGateway, "cut after %d of %d bytes", cut, whole)
			}
		})
	}
}

// TestCutPartIsNotCovered guards against a gather that counts a part as covered although the answer of its
// upstream was cut and lacks records, asked directly and through a relay.
func TestCutPartIsNotCovered(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 X\r\n", "HTTP/1.1 200 X\r\nConnection: close\r\n", "HTTP/1.0 200 X\r\n",
		"HTTP/1.1 200 X\r\nContent-Length : 164\r\n", "HTTP/1.1 200 X\r\nContent-Length: 164\r\n",
	} {
		for _, hall := range []string{"A", "B"} {
			t.Run(strings.ReplaceAll(strings.TrimSpace(head), "\r\n", ", ")+", hall "+hall, func(t *testing.T) {
				for cut := 0; cut < 164; cut += 20 {
					h, w := newTwoHalls(t, hall, 0.5, func(s, _ int) replyFunc {
						if s != 0 {
							return good(shardRecords(s))
						}
						return func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
							_, _ = io.WriteString(c, head+"X-Id: "+r.Header.Get(names.RequestID)+"\r\nX-Stamp: cut\r\n\r\n"+shardRecords(0)[:cut])
							return false
						}
					})
					r := h.send(http.MethodGet, "/find/x", "one", 3000, "")
					assert.NilError(t, r.err)
					assert.Equal(t, r.status, http.StatusOK, r.body)
					assert.Equal(t, r.header.Get(names.Missing), "1", "cut after %d of 164 bytes", cut)
					assert.Assert(t, !strings.Contains(r.header.Get(names.Parts), "cut"), r.header.Get(names.Parts))
					assert.Equal(t, r.body, topRecords(15, 1, 2, 3, 4, 5))
					assert.Equal(t, w.callCount(methodBatch) > 0, hall == "B", "asked through a relay")
				}
			})
		}
	}
}

// TestCutRequestIsNotSent guards against a caller's request that was cut in its body and is sent to an
// upstream as a whole one.
func TestCutRequestIsNotSent(t *testing.T) {
	for _, framed := range []string{"Content-Length: 26\r\n\r\n" + cutBody, "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody + "0\r\n\r\n"} {
		h, us := newSingleSetup(t, good("x"))
		text := "POST /place/ HTTP/1.1\r\nHost: shop.example\r\nX-Id: 1\r\nX-Left: 4000\r\n" + framed
		for cut := range text {
			c, err := net.Dial("tcp", h.server.Listener.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(c, text[:cut])
			assert.NilError(t, err)
			assert.NilError(t, c.(*net.TCPConn).CloseWrite())
			answer, _ := io.ReadAll(c)
			assert.Assert(t, !strings.Contains(string(answer), " 200 "), "cut after %d of %d bytes: %s", cut, len(text), answer)
			_ = c.Close()
		}
		assert.Equal(t, us[0].total(), 0)
	}
}
