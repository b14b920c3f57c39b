package pass

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const millisecond = config.Duration(time.Millisecond)

// singleDoc returns a document with a repeatable and a non-repeatable route to one group.
func singleDoc() config.Document {
	return config.Document{
		Groups: []config.Group{{Name: "Orders", Connections: 100}, {Name: "Other", Connections: 100}},
		Routes: []config.Route{
			{Name: "Read", HostName: "shop.example", Prefix: "/read/", Repeatable: true, MaxAttempts: 2, TimeLimit: 5000 * millisecond, Objective: 500 * millisecond, Group: "Orders"},
			{Name: "Place", HostName: "shop.example", Prefix: "/place/", MaxAttempts: 2, TimeLimit: 5000 * millisecond, Objective: 500 * millisecond, Group: "Orders"},
			{Name: "Deep", HostName: "shop.example", Prefix: "/read/deep/", Repeatable: true, MaxAttempts: 2, TimeLimit: 5000 * millisecond, Objective: 500 * millisecond, Group: "Other"},
		},
		Limits: config.Limits{Body: 1000},
	}
}

func newSingleSetup(t *testing.T, replies ...replyFunc) (*host, []*fakeUpstream) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	h.applyDocument(singleDoc())
	var us []*fakeUpstream
	for i, r := range replies {
		u := newFakeUpstream(t, fmt.Sprintf("U%d", i+1), r)
		h.listUpstream("Orders", "A", u, false)
		us = append(us, u)
	}
	return h, us
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	h, us := newSingleSetup(t, good("the answer"))
	r := h.send(http.MethodPost, "/place/a%2Fb//c/?q=1&q=%20", "one", 1000, "the body")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "the answer")
	assert.Equal(t, r.header.Get(names.Stamp), "stamp-U1-one")
	assert.Equal(t, r.header.Get("Content-Type"), "", "no header is made up")
	seen := us[0].requests["one"]
	assert.Equal(t, seen.RequestURI, "/place/a%2Fb//c/?q=1&q=%20")
	assert.Equal(t, seen.Method, http.MethodPost)
	assert.Equal(t, seen.Host, "shop.example")
	assert.Equal(t, us[0].bodies["one"], "the body")
	assert.Equal(t, seen.Header.Get(names.Upstream), "U1")
	assert.Assert(t, seen.Header.Get(names.DeadlineMillis) != "")
	assert.Equal(t, seen.Header.Get("Connection"), "")
}

func TestConnectionHeadersAreNotForwarded(t *testing.T) {
	h, us := newSingleSetup(t, good("x"))
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, h.server.URL+"/read/", nil)
	assert.NilError(t, err)
	r.Host = "shop.example"
	for name, value := range map[string]string{
		names.RequestID: "one", names.Upstream: "forged", "Connection": "X-Mine, " + names.RequestID, "X-Mine": "1", "Te": "trailers", "X-Other": "kept",
	} {
		r.Header.Set(name, value)
	}
	resp, err := h.server.Client().Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	seen := us[0].requests["one"]
	assert.Assert(t, seen != nil, "the request has no ID")
	assert.DeepEqual(t, seen.Header.Values(names.Upstream), []string{"U1"})
	assert.Equal(t, seen.Header.Get("X-Mine")+seen.Header.Get("Te")+seen.Header.Get("Connection"), "")
	assert.Equal(t, seen.Header.Get("X-Other"), "kept")
}

func TestRejections(t *testing.T) {
	h, us := newSingleSetup(t, good("x"))
	tests := []struct {
		name, path, id, body string
		left, status         int
	}{
		{"no route", "/none/", "a", "", 100, http.StatusNotFound},
		{"prefix without its slash", "/read", "b", "", 100, http.StatusNotFound},
		{"no ID", "/read/", "", "", 100, http.StatusBadRequest},
		{"no deadline left", "/read/", "c", "", 0, http.StatusBadRequest},
		{"body too long", "/place/", "d", strings.Repeat("x", 1001), 100, http.StatusRequestEntityTooLarge},
		{"no upstream of the group", "/read/deep/", "e", "", 100, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := h.send(http.MethodPost, tt.path, tt.id, tt.left, tt.body)
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, tt.status)
			if tt.status == http.StatusServiceUnavailable {
				assert.Assert(t, r.header.Get("Retry-After") != "", "a refusal has Retry-After")
			}
		})
	}
	assert.Equal(t, us[0].total(), 0)
}

func TestHostWithoutDocumentRefusesRequests(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	r := h.send(http.MethodGet, "/read/", "one", 1000, "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
}

// TestRetryAfterHasJitter checks that callers that are refused together are not told to
// retry together.
func TestRetryAfterHasJitter(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	h.applyDocument(singleDoc())
	h.listUpstream("Other", "A", newFakeUpstream(t, "U1", good("x")), false)
	times := map[string]bool{}
	for i := range 8 {
		r := h.send(http.MethodGet, "/read/", fmt.Sprint(i), 1000, "")
		assert.Equal(t, r.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after >= retryAfterNoUpstream.Seconds() && after <= (1+retryAfterJitter)*retryAfterNoUpstream.Seconds(), "%v s", after)
		times[r.header.Get("Retry-After")] = true
	}
	assert.Assert(t, len(times) > 1, "same Retry-After for all: %v", times)
}

// TestRequestWaitsForFirstDocument checks that a request to a host that is just starting
// is served once there is a document.
func TestRequestWaitsForFirstDocument(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A", age: -testTimeout})
	u := newFakeUpstream(t, "U1", good("x"))
	results := make(chan result, 1)
	go func() { results <- h.send(http.MethodGet, "/read/", "one", 5000, "") }()
	eventually(t, "the request arrives", func() bool { return h.kernel.InFlight.Load() == 1 })
	h.listUpstream("Orders", "A", u, false)
	h.applyDocument(singleDoc())
	r := <-results
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
}

// TestFailures has two upstreams fail in the same way, and checks the response and how
// often the request reaches an upstream.
func TestFailures(t *testing.T) {
	tests := []struct {
		name string
		// reply is the reply of both upstreams.
		reply        replyFunc
		unsafeStatus int
		unsafeCalls  int
		safeStatus   int
		safeCalls    int
	}{
		{"reset after it was sent", reset, http.StatusBadGateway, 1, http.StatusBadGateway, 2},
		{"own failure", fail(http.StatusInternalServerError, false), http.StatusInternalServerError, 1, http.StatusInternalServerError, 2},
		{"a promise without its proof", fail(http.StatusServiceUnavailable, false), http.StatusBadGateway, 1, http.StatusBadGateway, 2},
		{"own refusal of the request", fail(http.StatusConflict, false), http.StatusConflict, 1, http.StatusConflict, 1},
		{"success without stamp", func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
			return writeResponse(c, 200, map[string]string{names.RequestID: r.Header.Get(names.RequestID)}, "x")
		}, http.StatusBadGateway, 1, http.StatusBadGateway, 2},
		{"answer to another request", func(_ *fakeUpstream, c net.Conn, _ *http.Request) bool {
			return writeResponse(c, 200, map[string]string{names.RequestID: "other", names.Stamp: "s"}, "x")
		}, http.StatusBadGateway, 1, http.StatusBadGateway, 2},
		{"no HTTP", func(_ *fakeUpstream, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "\x00\x01 what\r\n\r\n")
			return false
		}, http.StatusBadGateway, 1, http.StatusBadGateway, 2},
		{"answer cut off", func(_ *fakeUpstream, c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf", names.Stamp, names.RequestID, r.Header.Get(names.RequestID))
			return false
		}, http.StatusBadGateway, 1, http.StatusBadGateway, 2},
		{"answer without length, reset", func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\n\r\nhalf", names.Stamp, names.RequestID, r.Header.Get(names.RequestID))
			time.Sleep(20 * time.Millisecond) // a reset discards bytes that were not read yet
			return reset(u, c, r)
		}, http.StatusBadGateway, 1, http.StatusBadGateway, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, us := newSingleSetup(t, tt.reply, tt.reply)
			r := h.send(http.MethodPost, "/place/", "unsafe", 2000, "b")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, tt.unsafeStatus)
			if r.status == http.StatusBadGateway {
				assert.Equal(t, r.header.Get(names.Stamp), "", "a changed status carries no stamp")
			}
			assert.Equal(t, us[0].seen("unsafe")+us[1].seen("unsafe"), tt.unsafeCalls)
			r = h.send(http.MethodGet, "/read/", "safe", 2000, "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, tt.safeStatus)
			assert.Equal(t, us[0].seen("safe")+us[1].seen("safe"), tt.safeCalls)
		})
	}
}

func TestShedRequestIsSentToAnotherUpstream(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			h, us := newSingleSetup(t, fail(status, true), good("x"))
			for i := range 10 {
				r := h.send(http.MethodPost, "/place/", fmt.Sprint("n", i), 2000, "b")
				assert.NilError(t, r.err)
				assert.Equal(t, r.status, http.StatusOK)
				assert.Equal(t, us[1].seen(fmt.Sprint("n", i)), 1)
			}
			if status == http.StatusMisdirectedRequest {
				assert.Assert(t, us[0].total() <= 1, "a misdirected upstream is not called again")
			}
		})
	}
}

func TestRequestShedByAllUpstreamsIsRefused(t *testing.T) {
	h, _ := newSingleSetup(t, fail(http.StatusServiceUnavailable, true), fail(http.StatusServiceUnavailable, true))
	r := h.send(http.MethodPost, "/place/", "one", 300, "b")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Assert(t, r.header.Get("Retry-After") != "")
}

// TestNonRepeatableRequestIsSentOnce resets the connection on its second request: neither
// the transport nor the engine may send the request twice.
func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	h, us := newSingleSetup(t, good("x"))
	assert.Equal(t, h.send(http.MethodPost, "/place/", "first", 2000, "b").status, http.StatusOK)
	us[0].mu.Lock()
	us[0].reply = reset
	us[0].mu.Unlock()
	assert.Equal(t, h.send(http.MethodPost, "/place/", "second", 2000, "b").status, http.StatusBadGateway)
	assert.Equal(t, us[0].seen("second"), 1)
	// The connection is made before the upstream's own goroutine accepts and counts it.
	eventually(t, "a connection is made to see whether the upstream has ended", func() bool {
		us[0].mu.Lock()
		defer us[0].mu.Unlock()
		return us[0].accepted >= 2
	})
	us[0].mu.Lock()
	defer us[0].mu.Unlock()
	assert.Equal(t, us[0].usedConns, 1, "the kept connection was used")
	assert.Equal(t, us[0].accepted, 2)
}

// TestUpstreamFailsAndRecovers has one of two upstreams reset its connections from time
// to time: repeatable requests are all served, others never run twice, and the upstream
// is used again once it has recovered.
func TestUpstreamFailsAndRecovers(t *testing.T) {
	h, us := newSingleSetup(t, good("x"), good("x"))
	setReply := func(r replyFunc) {
		us[0].mu.Lock()
		defer us[0].mu.Unlock()
		us[0].reply = r
	}
	for round := range 4 {
		setReply(reset)
		for i := range 15 {
			id := fmt.Sprint("read", round, "-", i)
			assert.Equal(t, h.send(http.MethodGet, "/read/", id, 2000, "").status, http.StatusOK)
			id = fmt.Sprint("place", round, "-", i)
			status := h.send(http.MethodPost, "/place/", id, 2000, "b").status
			ran := us[0].seen(id) + us[1].seen(id)
			assert.Assert(t, ran <= 1 && (status == http.StatusOK || status == http.StatusBadGateway), "%d, ran %d times", status, ran)
		}
		setReply(good("x"))
		before := us[0].total()
		for i := 0; us[0].total() == before; i++ {
			assert.Equal(t, h.send(http.MethodGet, "/read/", fmt.Sprint("back", round, "-", i), 2000, "").status, http.StatusOK)
			assert.Assert(t, i < 20_000, "the recovered upstream is never used again")
		}
	}
}

// TestResetIdleConnections has an upstream reset its idle connections. Repeatable
// requests must still be served.
func TestResetIdleConnections(t *testing.T) {
	h, us := newSingleSetup(t, good("x"))
	for i := range 10 {
		id := fmt.Sprint("n", i)
		assert.Equal(t, h.send(http.MethodGet, "/read/", id, 2000, "").status, http.StatusOK)
		us[0].resetConns()
	}
}

// TestSurplusResponses sends a second response after each one, at once or when the next
// request arrives.
func TestSurplusResponses(t *testing.T) {
	twice := func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		id := r.Header.Get(names.RequestID)
		return good("body of "+id)(u, c, r) && writeResponse(c, 200, map[string]string{names.RequestID: id, names.Stamp: "again"}, "surplus")
	}
	var last string
	late := func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		if last != "" && !writeResponse(c, 200, map[string]string{names.RequestID: last, names.Stamp: "late"}, "surplus") {
			return false
		}
		last = r.Header.Get(names.RequestID)
		return good("body of "+last)(u, c, r)
	}
	for name, reply := range map[string]replyFunc{"at once": twice, "late": late} {
		t.Run(name, func(t *testing.T) {
			h, us := newSingleSetup(t, reply)
			for i := range 20 {
				id := fmt.Sprint("n", i)
				r := h.send(http.MethodPost, "/place/", id, 2000, "b")
				assert.NilError(t, r.err)
				assert.Equal(t, r.status, http.StatusOK)
				assert.Equal(t, r.body, "body of "+id)
				assert.Equal(t, r.header.Get(names.Stamp), "stamp-U1-"+id)
				assert.Equal(t, us[0].seen(id), 1)
			}
		})
	}
}

// TestEarlyResponse has an upstream respond before it has read a long body, and read on:
// what follows on the connection must be the rest of the body.
func TestEarlyResponse(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	d := singleDoc()
	d.Limits.Body = 10 << 20
	h.applyDocument(d)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	rest := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		head := make([]byte, 300)
		_, _ = io.ReadFull(c, head)
		writeResponse(c, http.StatusBadRequest, map[string]string{names.RequestID: "long", names.Stamp: "s"}, "too long")
		all, _ := io.ReadAll(c)
		rest <- string(all)
	}()
	u := &fakeUpstream{name: "U1", listener: l}
	h.listUpstream("Orders", "A", u, false)
	r := h.send(http.MethodPost, "/place/", "long", 5000, strings.Repeat("x", 4<<20))
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusBadRequest)
	text := <-rest
	_, body, found := strings.Cut(text, "\r\n\r\n")
	if !found {
		body = text
	}
	assert.Equal(t, strings.Trim(body, "x"), "", "nothing but the body follows")
}

// TestCallIsCancelledWhenCallerDisconnects checks that the connection to the upstream is
// closed soon after the caller's.
func TestCallIsCancelledWhenCallerDisconnects(t *testing.T) {
	left := make(chan struct{})
	h, us := newSingleSetup(t, func(_ *fakeUpstream, c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		close(left)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		eventually(t, "the request arrives", func() bool { return us[0].seen("one") == 1 })
		cancel()
	}()
	r := h.sendContext(ctx, http.MethodPost, "/place/", "one", 5000, "b")
	assert.ErrorIs(t, r.err, context.Canceled)
	select {
	case <-left:
	case <-time.After(testTimeout):
		t.Fatal("the call to the upstream was not cancelled")
	}
}

// TestCancelledConnectDoesNotCountAgainstUpstream cancels a call before its connection is
// made: unlike a refused connection, this does not count against the upstream.
func TestCancelledConnectDoesNotCountAgainstUpstream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	started := time.Now()
	p := &connPool{address: addr, now: func() time.Duration { return time.Since(started) }}
	ctx, cancel := context.WithCancel(t.Context())
	c := &call{headers: &names, method: http.MethodGet, id: "one", upstream: "U1", timeLeft: time.Second, fromGather: true}
	assert.Equal(t, p.call(ctx, c).Outcome, policy.CallUnreachable)
	cancel()
	assert.Equal(t, p.call(ctx, c).Outcome, policy.CallNotSent)
}

func TestUnresponsiveUpstream(t *testing.T) {
	h, us := newSingleSetup(t, hang, good("x"))
	for i := range 5 {
		r := h.send(http.MethodGet, "/read/", fmt.Sprint(i), 4000, "")
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, us[1].seen(fmt.Sprint(i)), 1)
	}
	h, us = newSingleSetup(t, hang)
	r := h.send(http.MethodPost, "/place/", "one", 200, "b")
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
	assert.Equal(t, us[0].seen("one"), 1)
}

func TestLeavingUpstreamGetsNoCalls(t *testing.T) {
	h, us := newSingleSetup(t, good("x"), good("x"))
	h.listUpstream("Orders", "A", us[0], true)
	before := us[0].total()
	for i := range 20 {
		assert.Equal(t, h.send(http.MethodGet, "/read/", fmt.Sprint(i), 2000, "").status, http.StatusOK)
	}
	assert.Equal(t, us[0].total(), before)
	h.do(func(s *kernel.State) {
		h.revision++
		s.ApplyDirectoryChange(&config.DirectoryChange{Revision: h.revision, Removed: []config.Removal{{Name: "U2", Revision: h.revision}}})
	})
	assert.Equal(t, h.send(http.MethodGet, "/read/", "last", 2000, "").status, http.StatusServiceUnavailable)
}

func TestSplitFollowsWeights(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	d := singleDoc()
	d.Groups = append(d.Groups, config.Group{Name: "Third", Connections: 10})
	d.Routes[0].Group = ""
	d.Routes[0].Split = []config.WeightedGroup{{Group: "Orders", Weight: 3}, {Group: "Other", Weight: 1}, {Group: "Third", Weight: 0}}
	h.applyDocument(d)
	var us []*fakeUpstream
	for _, g := range []string{"Orders", "Other", "Third"} {
		u := newFakeUpstream(t, g+"1", good("x"))
		h.listUpstream(g, "A", u, false)
		us = append(us, u)
	}
	for i := range 40 {
		assert.Equal(t, h.send(http.MethodGet, "/read/", fmt.Sprint(i), 2000, "").status, http.StatusOK)
	}
	assert.Equal(t, us[0].total(), 30)
	assert.Equal(t, us[1].total(), 10)
	assert.Equal(t, us[2].total(), 0)
	d.Routes[0].Split = []config.WeightedGroup{{Group: "Orders", Weight: 0}, {Group: "Other", Weight: 1}}
	h.applyDocument(d)
	for i := range 10 {
		assert.Equal(t, h.send(http.MethodGet, "/read/", fmt.Sprint("again", i), 2000, "").status, http.StatusOK)
	}
	assert.Equal(t, us[0].total(), 30)
}

// TestSplitDoesNotRedirectRefusedRequests has one group of a split without an upstream:
// its requests are refused, and the other group gets no more than its share.
func TestSplitDoesNotRedirectRefusedRequests(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	d := singleDoc()
	d.Routes[0].Group = ""
	d.Routes[0].Split = []config.WeightedGroup{{Group: "Orders", Weight: 1}, {Group: "Other", Weight: 3}}
	h.applyDocument(d)
	u := newFakeUpstream(t, "Orders1", good("x"))
	h.listUpstream("Orders", "A", u, false)
	refused := 0
	for i := range 40 {
		a := h.send(http.MethodGet, "/read/", fmt.Sprint(i), 2000, "")
		if a.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	assert.Equal(t, u.total(), 10)
	assert.Equal(t, refused, 30)
}

// TestRetriesStayWithinBudget has both upstreams fail all requests.
func TestRetriesStayWithinBudget(t *testing.T) {
	h := newHost(t, hostConfig{name: "H1", hall: "A", retryBudget: kernel.RetryBudget{Ratio: 0.1, Slack: 16}})
	h.applyDocument(singleDoc())
	bad1 := newFakeUpstream(t, "U1", fail(500, false))
	bad2 := newFakeUpstream(t, "U2", fail(500, false))
	h.listUpstream("Orders", "A", bad1, false)
	h.listUpstream("Orders", "A", bad2, false)
	const asked = 200
	for i := range asked {
		h.send(http.MethodGet, "/read/", fmt.Sprint(i), 2000, "")
	}
	extra := bad1.total() + bad2.total() - asked
	assert.Assert(t, extra > 0 && extra <= asked/10+16/minHosts, "%d retries", extra)
}

// TestRequestsAndCallsAreLogged looks up the log lines of a request by its ID.
func TestRequestsAndCallsAreLogged(t *testing.T) {
	var log lockedBuffer
	h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
	h.applyDocument(singleDoc())
	h.listUpstream("Orders", "A", newFakeUpstream(t, "U1", fail(500, false)), false)
	h.send(http.MethodPost, "/place/", "looked-for", 2000, "b")
	h.send(http.MethodPost, "/none/", "rejected", 2000, "b")
	lines := map[string][]map[string]any{}
	for _, text := range strings.Split(strings.TrimSpace(log.String()), "\n") {
		var line map[string]any
		assert.NilError(t, json.Unmarshal([]byte(text), &line))
		if id, ok := line["RequestID"].(string); ok {
			lines[id] = append(lines[id], line)
		}
	}
	assert.Equal(t, len(lines["looked-for"]), 2)
	assert.Equal(t, lines["looked-for"][0]["Upstream"], "U1")
	assert.Equal(t, lines["looked-for"][0]["Outcome"], "Failed")
	assert.Equal(t, lines["looked-for"][1]["Status"], 500.0)
	assert.Equal(t, lines["looked-for"][1]["Route"], "Place")
	assert.Equal(t, lines["rejected"][0]["Outcome"], string(outcomeNoRoute))
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestUnresponsiveConnectionsAreClosed has all idle connections to an upstream become
// unresponsive without a reset, while new ones work: only one call may be lost.
func TestUnresponsiveConnectionsAreClosed(t *testing.T) {
	u := newFakeUpstream(t, "U1", good("x"))
	p := &connPool{address: netip.MustParseAddrPort(u.listener.Addr().String()), now: sinceStart(time.Now())}
	t.Cleanup(p.close)
	var kept []*conn
	for range 3 {
		c, err := p.dial(t.Context())
		assert.NilError(t, err)
		kept = append(kept, c)
	}
	for _, c := range kept {
		p.put(c)
	}
	eventually(t, "connections are accepted", func() bool { return u.connections() == 3 })
	u.stallConns()
	call := func(id string, bound time.Duration) policy.CallOutcome {
		ctx, cancel := context.WithTimeout(t.Context(), bound)
		defer cancel()
		head := "GET / HTTP/1.1\r\nHost: x\r\n" + names.RequestID + ": " + id + "\r\n"
		return p.call(ctx, &call{headers: &names, method: http.MethodGet, head: []byte(head), id: id, upstream: "U1", timeLeft: testTimeout, fromGather: true}).Outcome
	}
	assert.Equal(t, call("one", unresponsiveCallTimeout+unresponsiveCallTimeout/4), policy.CallBroken)
	assert.Equal(t, call("two", testTimeout), policy.CallOK)
}

func sinceStart(start time.Time) func() time.Duration {
	return func() time.Duration { return time.Since(start) }
}
