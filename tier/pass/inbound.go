package pass

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"loomgap/tier/config"
	"loomgap/tier/guard"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

const (
	// deadlineReserve is subtracted from the caller's deadline, so that the response
	// arrives in time despite network delay and late timers.
	deadlineReserve = 10 * time.Millisecond
	// deadlineReserveDivisor limits the reserve to a quarter of the time limit.
	deadlineReserveDivisor = 4
	// defaultMaxBodyBytes limits the body of a request if the document sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// retryAfterNoMemory is the retry delay given to callers whose body does not fit beside
	// others, by its memory or its processor time.
	retryAfterNoMemory = time.Second
)

// errBodyGaveWay means that the body of a request gave way to those of other requests.
var errBodyGaveWay = fmt.Errorf("body gave way to those of other requests: %w", guard.ErrNoRoom)

type inboundRequest struct {
	id string
	// hostName and path select the route.
	hostName, path string
	method         string
	// head is the request line and the headers that are the same for all upstreams.
	head, body []byte
	// identity serves to detect requests that crash upstreams; its fingerprint is empty
	// until the request is read.
	identity policy.RequestIdentity
}

// isText reports whether the head can be sent to other hosts: their messages are JSON, in which bytes
// that are no UTF-8 would be replaced, also those of the request ID.
func (i *inboundRequest) isText() bool { return utf8.Valid(i.head) }

// setContent sets head and body, and the fingerprint computed from them.
func (i *inboundRequest) setContent(head, body []byte) {
	i.head, i.body = head, body
	content := parseContent(head, body)
	i.identity.Fingerprint = content.Fingerprint()
}

// callerAddr returns the address of the caller, or the zero value if the server does not
// provide a valid one.
func callerAddr(r *http.Request) netip.Addr {
	addrPort, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return addrPort.Addr().Unmap()
}

// findRoute finds the route of a request, and responds to a request that has none.
func (q *request) findRoute(w http.ResponseWriter, r *http.Request) bool {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = r.URL.EscapedPath()
	}
	q.in.hostName, q.in.path = stripPort(r.Host), path
	q.route, q.class = q.view.Index.Route(q.in.hostName, q.in.path)
	if q.route == nil && !q.view.Confirmed {
		// A newer document may have the route, so the caller may retry.
		q.refuse(w, "no such route in a document that may be old", retryAfterNoConfig)
		return false
	}
	if q.route == nil {
		q.reject(w, http.StatusNotFound, outcomeNoRoute, "no route for "+r.Host+path)
		return false
	}
	if q.route.Fault != nil {
		q.refuse(w, "the configuration of the route cannot be applied", retryAfterRouteFault)
		return false
	}
	return true
}

func stripPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// read reads the ID, deadline, headers and body, and responds to an invalid request.
func (q *request) read(w http.ResponseWriter, r *http.Request) bool {
	if q.in.id == "" {
		q.reject(w, http.StatusBadRequest, outcomeInvalid, "header "+q.engine.headers.RequestID+" is missing: send an ID of the request")
		return false
	}
	if !q.readDeadline(w, r) {
		return false
	}
	body, ok := q.receiveBody(w, r)
	if ok {
		q.in.setContent(buildHead(r, &q.engine.headers, len(body)), body)
	}
	return ok
}

// readDeadline sets the deadline to the shorter of the route's time limit and the caller's,
// less a reserve for the response.
func (q *request) readDeadline(w http.ResponseWriter, r *http.Request) bool {
	limit := time.Duration(q.route.TimeLimit)
	if text := r.Header.Get(q.engine.headers.DeadlineMillis); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 {
			q.reject(w, http.StatusBadRequest, outcomeInvalid, "header "+q.engine.headers.DeadlineMillis+": write milliseconds above 0")
			return false
		}
		limit = min(limit, time.Duration(config.FromMillis(millis)))
		// A time beyond the limit of the route would make all other requests look like retries.
		q.noteStatedTime(limit)
	}
	q.times.deadline = q.times.startedAt + limit - min(deadlineReserve, limit/deadlineReserveDivisor)
	return true
}

// receiveBody reads the body before the deadline. If that fails, it responds to the request and
// returns false.
func (q *request) receiveBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, true
	}
	maxBytes := q.view.Index.Document.Limits.Body
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	body, err := q.readBody(w, r, maxBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.Is(err, guard.ErrNoRoom):
		w.Header().Set("Connection", "close")
		q.refuse(w, "no memory for the body beside those of other requests", retryAfterNoMemory)
	case errors.Is(err, guard.ErrBusy):
		w.Header().Set("Connection", "close")
		q.refuse(w, "no processor time for the body beside those of other requests", retryAfterNoMemory)
	case errors.As(err, &tooLarge), errors.Is(err, wire.ErrTooLarge):
		w.Header().Set("Connection", "close")
		q.reject(w, http.StatusRequestEntityTooLarge, outcomeTooLarge, "body over "+strconv.FormatInt(maxBytes, 10)+" bytes: send a shorter one")
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		q.reject(w, http.StatusRequestTimeout, outcomeInvalid, "body incomplete at the deadline of the request: send it faster")
	default:
		q.log(outcomeInvalid, http.StatusBadRequest).Err(err).Msg("failed to read request body")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
	}
	return nil, false
}

// readBody reads a body of at most maxBytes, whose memory is held until the request ends.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	connection := http.NewResponseController(w)
	left := max(q.times.deadline-q.engine.kernel.Now(), 0)
	if err := connection.SetReadDeadline(time.Now().Add(left)); err != nil {
		return nil, err
	}
	body, err := wire.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes, q.conn)
	until := time.Time{} // the server reads on, to learn whether the caller goes away
	if err != nil {
		until = time.Now() // the server must not wait for the rest before it responds
	}
	err = cmp.Or(err, connection.SetReadDeadline(until))
	if !q.conn.EndBody() {
		return nil, errBodyGaveWay
	}
	return body, err
}

// connectionHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110, section
// 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripConnectionHeaders removes the hop-by-hop headers, including those that Connection
// lists.
func stripConnectionHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// parseContent parses a head written by buildHead.
func parseContent(head, body []byte) policy.RequestContent {
	line, rest, _ := strings.Cut(string(head), "\r\n")
	method, line, _ := strings.Cut(line, " ")
	host, _, _ := strings.Cut(strings.TrimPrefix(rest, "Host: "), "\r\n")
	return policy.RequestContent{Method: method, Target: strings.TrimSuffix(line, " HTTP/1.1"), HostName: host, Body: body}
}

// buildHead serializes the request line and the headers that are the same for all
// upstreams.
func buildHead(r *http.Request, names *kernel.Headers, body int) []byte {
	h := r.Header.Clone()
	stripConnectionHeaders(h)
	// A caller must not be able to remove the ID by listing it in Connection.
	h[http.CanonicalHeaderKey(names.RequestID)] = r.Header[http.CanonicalHeaderKey(names.RequestID)]
	h.Del(names.DeadlineMillis)
	h.Del(names.Upstream)
	h.Del("Expect")
	h.Del("Content-Length")
	if body > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(body))
	}
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = h.Write(&b) // a bytes.Buffer returns no error
	return b.Bytes()
}
