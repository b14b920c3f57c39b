package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"loomgap/platform"
)

// Times of a caller.
const (
	soakRequestTimeout = 3 * time.Second
	soakDialTimeout    = time.Second
	// soakThinkTime is the pause between an answer and the next request without overload.
	soakThinkTime = 15 * time.Millisecond
)

// requestKind is the kind of a caller's request.
type requestKind string

// Kinds of requests. A caller sends two gathers and one request of each other kind in
// turn.
const (
	kindGather requestKind = "gather"
	// kindUnsafe is a request that is not repeatable.
	kindUnsafe requestKind = "unsafe"
	// kindSafe is a repeatable request to the route of the newest version.
	kindSafe requestKind = "safe"
)

// soakRequest is a request of a caller and its outcome.
type soakRequest struct {
	id   string
	kind requestKind
	// host is the index of the host.
	host int
	// generation identifies the daemon of the host that received the request.
	generation      int
	sentAt, endedAt time.Duration
	status          int
	header          http.Header
	body            []byte
	err             error
	// route is the version whose route was requested; 0 for the routes without a version.
	route int
}

// runCaller sends requests until ctx ends. It stays with a host while the connection
// lasts, and moves on to the next one after an error.
func (s *soak) runCaller(ctx context.Context, c *caller) {
	index := s.callers.Add(1)
	defer c.close()
	for i := 0; ctx.Err() == nil; i++ {
		req := soakRequest{id: fmt.Sprintf("%d-%d-%d", s.Seed, index, i), host: c.host, sentAt: s.now()}
		path, method := "", http.MethodGet
		switch i % 4 {
		case 0, 1:
			req.kind, path = kindGather, "/gather/x"
		case 2:
			req.kind, path, method = kindUnsafe, "/unsafe/x", http.MethodPost
		default:
			req.kind = kindSafe
			s.mu.Lock()
			req.route = s.routeCount
			s.mu.Unlock()
			path = fmt.Sprintf("/v%d/x", req.route)
		}
		req.err = c.do(ctx, s, method, path, &req)
		req.endedAt = s.now()
		if ctx.Err() != nil {
			return // the end of the soak may have cancelled the request
		}
		s.mu.Lock()
		s.requests = append(s.requests, req)
		s.mu.Unlock()
		if req.err != nil {
			c.close()
			c.host = (c.host + c.step) % len(s.hosts)
		}
		sleepContext(ctx, max(c.pause, c.retryAfter(&req)))
	}
}

// caller is a client with at most one connection. Unlike http.Client it never retries a
// request.
type caller struct {
	// host is the index of the host. After an error the caller moves on by step hosts.
	host, step int
	// pause is the time between an answer and the next request.
	pause time.Duration
	// honorsRetryAfter is true if the caller waits as long as a refusal says.
	honorsRetryAfter bool
	// conn is nil while there is no connection; reader reads from it.
	conn   net.Conn
	reader *bufio.Reader
	// generation identifies the daemon at the other end of conn.
	generation int
}

// retryAfter returns how long the caller waits because of the answer to a request.
func (c *caller) retryAfter(req *soakRequest) time.Duration {
	if !c.honorsRetryAfter || req.status != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(req.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func (c *caller) connect(h *soakHost) error {
	if c.conn != nil {
		return nil
	}
	c.generation = h.generation()
	conn, err := net.DialTimeout("tcp", h.listen.String(), soakDialTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and records its outcome in req.
func (c *caller) do(ctx context.Context, s *soak, method, path string, req *soakRequest) error {
	if err := c.connect(s.hosts[c.host]); err != nil {
		return err
	}
	req.generation = c.generation
	body := ""
	if method == http.MethodPost {
		body = "an order"
	}
	return c.send(ctx, method, path, body, soakRequestTimeout, req)
}

// send sends a request on the connection, and records its outcome in req.
func (c *caller) send(ctx context.Context, method, path, body string, limit time.Duration, req *soakRequest) error {
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := c.conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+soakHostName+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set(platform.Headers.RequestID, req.id)
	r.Header.Set(platform.Headers.DeadlineMillis, strconv.FormatInt(limit.Milliseconds(), 10))
	if err := r.Write(c.conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	req.status, req.header = resp.StatusCode, resp.Header
	req.body, err = io.ReadAll(resp.Body)
	if resp.Close {
		c.close()
	}
	return err
}
