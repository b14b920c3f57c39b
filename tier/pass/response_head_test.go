package pass

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// wholeResponse is a whole response of a sound upstream to the request {id}.
const wholeResponse = "HTTP/1.1 200 X\r\nContent-Length: 5\r\nX-Id: {id}\r\nX-Stamp: s\r\n\r\nfalse"

// raw returns a reply of a text, in which {id} is the ID of the request. The connection stays open.
func raw(text string) replyFunc {
	return func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "{id}", r.Header.Get(names.RequestID)))
		return err == nil
	}
}

// withStatus returns a response with a status line and an empty body.
func withStatus(line string) string {
	return line + "\r\nContent-Length: 0\r\nX-Id: {id}\r\nX-Stamp: s\r\n\r\n"
}

// withBody returns a response with a status line, whose body is a whole response.
func withBody(line string) string {
	return fmt.Sprintf("%s\r\nContent-Length: %d\r\nX-Id: {id}\r\nX-Stamp: s\r\n\r\n%s", line, len(wholeResponse)-len("{id}")+1, wholeResponse)
}

// unacceptableResponses are responses whose head is no answer to a request.
var unacceptableResponses = []struct{ name, text string }{
	{"000", withStatus("HTTP/1.1 000 X")},
	{"000 without a length", "HTTP/1.1 000 X\r\nX-Id: {id}\r\nX-Stamp: s\r\n\r\n"},
	{"000 whose body is a whole response", withBody("HTTP/1.1 000 X")},
	{"000, then a response", withStatus("HTTP/1.1 000 X") + wholeResponse},
	{"000 twice", withStatus("HTTP/1.1 000 X") + withStatus("HTTP/1.1 000 X")},
	{"001", withStatus("HTTP/1.1 001 X")},
	{"099", withBody("HTTP/1.1 099 X")},
	{"+20", withBody("HTTP/1.1 +20 X")},
	{"-20", withStatus("HTTP/1.1 -20 X")},
	{"20", withStatus("HTTP/1.1 20 X")},
	{"2000", withStatus("HTTP/1.1 2000 X")},
	{"no number", withStatus("HTTP/1.1 abc X")},
	{"600", withStatus("HTTP/1.1 600 X")},
	{"999", withStatus("HTTP/1.1 999 X")},
	{"101, then a response", withStatus("HTTP/1.1 101 X") + wholeResponse},
	{"101 that upgrades", "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n" + wholeResponse},
	{"103 whose body is a whole response", withBody("HTTP/1.1 103 X")},
	{"103 with chunks", "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" + wholeResponse},
	{"HTTP/0.9", withStatus("HTTP/0.9 200 X")},
	{"HTTP/2.0", withStatus("HTTP/2.0 200 X")},
	{"HTTP/3.7", withStatus("HTTP/3.7 200 X")},
	{"another protocol", withStatus("ICY/1.1 200 X")},
	{"two IDs, the right one first", "HTTP/1.1 200 X\r\nContent-Length: 0\r\nX-Id: {id}\r\nX-Id: other\r\nX-Stamp: s\r\n\r\n"},
	{"two stamps", "HTTP/1.1 200 X\r\nContent-Length: 0\r\nX-Id: {id}\r\nX-Stamp: s\r\nX-Stamp: t\r\n\r\n"},
	{"two lengths", "HTTP/1.1 200 X\r\nContent-Length: 0\r\nContent-Length: 5\r\nX-Id: {id}\r\nX-Stamp: s\r\n\r\nfalse"},
	{"no head at all", "no answer\r\n\r\n" + wholeResponse},
}

// TestUnacceptableResponseIsNoAnswer guards against a response without a valid status, such as 000,
// that is taken for an interim one: its body became the answer, or the caller waited for another one.
func TestUnacceptableResponseIsNoAnswer(t *testing.T) {
	for _, tt := range unacceptableResponses {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			t.Run(tt.name+", "+method, func(t *testing.T) {
				var log lockedBuffer
				h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
				h.applyDocument(singleDoc())
				h.listUpstream("Orders", "A", newFakeUpstream(t, "U1", raw(tt.text)), false)
				rejected := metrics.GetOrCreateCounter("loomgap_responses_rejected_total")
				before := rejected.Get()
				started := time.Now()
				r := h.send(method, "/place/", "1", 4000, "")
				assert.NilError(t, r.err)
				assert.Equal(t, r.status, http.StatusBadGateway, r.body)
				assert.Assert(t, time.Since(started) < time.Second, "the failure is known at once")
				assert.Assert(t, strings.Contains(log.String(), `"Upstream":"U1","message":"response rejected, connection closed"`), log.String())
				assert.Equal(t, rejected.Get(), before+1)
			})
		}
	}
}

// TestUnacceptableResponseIsTriedElsewhere checks that a request that may be repeated gets the answer
// of another upstream.
func TestUnacceptableResponseIsTriedElsewhere(t *testing.T) {
	for _, tt := range unacceptableResponses {
		t.Run(tt.name, func(t *testing.T) {
			var asked sync.Map
			reply := func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
				if _, again := asked.LoadOrStore(r.Header.Get(names.RequestID), true); !again {
					return raw(tt.text)(u, c, r)
				}
				return good("true")(u, c, r)
			}
			h, us := newSingleSetup(t, reply, reply)
			r := h.send(http.MethodGet, "/read/", "1", 4000, "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusOK)
			assert.Equal(t, r.body, "true")
			assert.Equal(t, us[0].seen("1"), 1)
			assert.Equal(t, us[1].seen("1"), 1)
		})
	}
}

// TestUnacceptableResponseIsNoPartOfGather checks the same for the parts of a gather, asked directly
// and through a relay.
func TestUnacceptableResponseIsNoPartOfGather(t *testing.T) {
	for _, tt := range unacceptableResponses {
		for _, hall := range []string{"A", "B"} {
			t.Run(tt.name+", hall "+hall, func(t *testing.T) {
				h, w := newTwoHalls(t, hall, 1, func(s, replica int) replyFunc {
					if replica == 0 {
						return raw(tt.text)
					}
					return good(shardRecords(s))
				})
				r := h.send(http.MethodGet, "/find/x", "one", 3000, "")
				assert.NilError(t, r.err)
				assert.Equal(t, r.status, http.StatusOK, r.body)
				assert.Equal(t, r.body, topRecords(15, 0, 1, 2, 3, 4, 5))
				assert.Equal(t, w.callCount(methodBatch) > 0, hall == "B", "asked through a relay")
			})
		}
	}
}

// TestAcceptableResponsesArePassedOn checks the responses near the unacceptable ones.
func TestAcceptableResponsesArePassedOn(t *testing.T) {
	const whole = "Content-Length: 4\r\nX-Id: {id}\r\nX-Stamp: s\r\n\r\ntrue"
	for _, tt := range []struct {
		name, text string
		status     int
	}{
		{"100 first", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\n" + whole, 200},
		{"103 first, twice", strings.Repeat("HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n", 2) + "HTTP/1.1 200 X\r\n" + whole, 200},
		{"unknown interim status first", "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 X\r\n" + whole, 200},
		{"interim response of no length", "HTTP/1.1 102 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 X\r\n" + whole, 200},
		{"no reason", "HTTP/1.1 200\r\n" + whole, 200},
		{"HTTP/1.0", "HTTP/1.0 200 X\r\n" + whole, 200},
		{"299", "HTTP/1.1 299 X\r\n" + whole, 299},
		{"302", "HTTP/1.1 302 X\r\n" + whole, 302},
		{"599", "HTTP/1.1 599 X\r\n" + whole, 599},
		{"stamp named by Connection", "HTTP/1.1 200 X\r\nConnection: X-Stamp, X-Id, X-More\r\nX-More: 1\r\n" + whole, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h, _ := newSingleSetup(t, raw(tt.text))
			r := h.send(http.MethodPost, "/place/", "1", 4000, "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, tt.status)
			assert.Equal(t, r.body, "true")
			assert.Equal(t, r.header.Get(names.Stamp), "s")
			assert.Equal(t, r.header.Get(names.RequestID), "1")
			assert.Equal(t, r.header.Get("X-More"), "")
		})
	}
}
