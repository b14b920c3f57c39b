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
	// soakBound is when a caller gives a request up.
	soakBound = 3 * time.Second
	// soakDialBound is when it gives a connection up.
	soakDialBound = time.Second
	// soakThink is the time between an answer and the caller's next request.
	soakThink = 15 * time.Millisecond
)

type soakKind string

// The kinds. A caller makes two gathers, then one of each other kind, and so on.
const (
	kindGather soakKind = "gather"
	// kindUnsafe is a request that is not repeatable.
	kindUnsafe soakKind = "unsafe"
	// kindSafe is one that is, on the newest route of the versions.
	kindSafe soakKind = "safe"
)

type asked struct {
	id   string
	kind soakKind
	host int
	// generation is the number of the host's daemon that was asked.
	generation int
	at, ended  time.Duration
	status     int
	header     http.Header
	body       []byte
	err        error
	// route is the number of the versions' route that was asked; 0 for none.
	route int
}

// call is one caller: it stays with a host as long as its connection lasts.
func (s *soak) call(ctx context.Context, n int) {
	c := &caller{host: n % len(s.hosts)}
	defer c.close()
	for i := 0; ctx.Err() == nil; i++ {
		a := asked{id: fmt.Sprintf("%d-%d-%d", s.Seed, n, i), host: c.host, at: s.now()}
		path, method := "", http.MethodGet
		switch i % 4 {
		case 0, 1:
			a.kind, path = kindGather, "/gather/x"
		case 2:
			a.kind, path, method = kindUnsafe, "/unsafe/x", http.MethodPost
		default:
			a.kind = kindSafe
			s.mu.Lock()
			a.route = s.routes
			s.mu.Unlock()
			path = fmt.Sprintf("/v%d/x", a.route)
		}
		a.err = c.ask(ctx, s, method, path, &a)
		a.ended = s.now()
		if ctx.Err() != nil {
			return // broken off by the soak's own end
		}
		s.mu.Lock()
		s.asked = append(s.asked, a)
		s.mu.Unlock()
		if a.err != nil {
			c.close()
			c.host = (c.host + 1) % len(s.hosts)
		}
		sleep(ctx, soakThink)
	}
}

// caller is one connection to a host. It never repeats a request by itself, as
// the client of package http does.
type caller struct {
	// host is the index of the host.
	host int
	// conn is nil while there is no connection; reader reads from it.
	conn   net.Conn
	reader *bufio.Reader
	// generation is the number of the daemon that the connection was made to.
	generation int
}

func (c *caller) connect(h *soakHost) error {
	if c.conn != nil {
		return nil
	}
	c.generation = h.generation()
	conn, err := net.DialTimeout("tcp", h.listen.String(), soakDialBound)
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

func (c *caller) ask(ctx context.Context, s *soak, method, path string, a *asked) error {
	if err := c.connect(s.hosts[c.host]); err != nil {
		return err
	}
	a.generation = c.generation
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := c.conn.SetDeadline(time.Now().Add(soakBound)); err != nil {
		return err
	}
	body := io.Reader(nil)
	if method == http.MethodPost {
		body = strings.NewReader("an order")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+soakHostName+path, body)
	if err != nil {
		return err
	}
	r.Header.Set(platform.Headers.RequestID, a.id)
	r.Header.Set(platform.Headers.DeadlineMillis, strconv.FormatInt(soakBound.Milliseconds(), 10))
	if err := r.Write(c.conn); err != nil {
		return err
	}
	answer, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	a.status, a.header = answer.StatusCode, answer.Header
	a.body, err = io.ReadAll(answer.Body)
	if answer.Close {
		c.close()
	}
	return err
}
