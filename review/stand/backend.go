package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a server of one service. It works on slots requests at once, queues a few and
// rejects others as not executed, echoes the ID of a request, obeys Loomgap-Target-Instance
// and the time limit, and drops a request whose connection closes.
type backend struct {
	world             *world
	id, service, zone string
	slots, queue      int
	address           string
	// work returns how long a request takes.
	work func() time.Duration
	// body returns the body of the answer to a request.
	body func(r *received) []byte
	// surplus reports whether the answer just sent is to be sent a second time, late: when the
	// next request of the connection has come. nil stands for never.
	surplus func() bool
	// garbage reports whether bytes that are no answer are sent in place of the next answer,
	// until the connection ends; nil stands for never.
	garbage func() bool

	link     link
	listener net.Listener
	slot     chan struct{}
	waiting  atomic.Int64
	sequence atomic.Int64

	mu    sync.Mutex
	state string
	// runs counts how often each request ID was run.
	runs map[string]int
	seen []*received
	// shed and doubled count the answers that were rejections, and surplus answers.
	shed, doubled atomic.Int64
}

// received is a request that reached a backend.
type received struct {
	at     time.Time
	id     string
	method string
	target string
	body   string
	ran    bool
}

// startBackend starts a backend and lists it in the store.
func (w *world) startBackend(b *backend) error {
	b.world, b.state = w, "ready"
	l, err := net.Listen("tcp4", w.freeIP()+":0")
	if err != nil {
		return err
	}
	b.listener, b.address = l, l.Addr().String()
	b.slot, b.runs = make(chan struct{}, b.slots), map[string]int{}
	if err := b.beat(); err != nil {
		return err
	}
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	go b.accept()
	return nil
}

// beat writes the backend's entry.
func (b *backend) beat() error {
	b.mu.Lock()
	state := b.state
	b.mu.Unlock()
	return b.world.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": state,
		"warmupLeftMs": 0, "seq": b.sequence.Add(1),
	})
}

// drain writes that the backend is draining; the store has taken that when it returns.
func (b *backend) drain() error {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	return b.beat()
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// serve serves the requests of one connection, one at a time.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	var late []byte
	for {
		line, err := peekLine(r)
		if err != nil {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		in := &received{at: time.Now(), id: req.Header.Get("Loomgap-Request-Id"), method: req.Method, target: targetOf(line), body: string(body)}
		if late != nil {
			b.doubled.Add(1)
			b.world.logf("%s sends its last answer once more, now that %s has come on the connection", b.id, in.id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		// The connection is read ahead only to learn of its end.
		gone, cancel := context.WithCancel(context.Background())
		peeked := make(chan error, 1)
		go func() {
			_, err := r.Peek(1)
			if err != nil {
				cancel()
			}
			peeked <- err
		}()
		status, header, answer := b.handle(gone, req, in)
		if gone.Err() != nil {
			return
		}
		if b.garbage != nil && b.garbage() {
			b.sendGarbage(c, in)
			return
		}
		text := encodeAnswer(status, header, answer)
		if _, err := c.Write(text); err != nil {
			return
		}
		if b.surplus != nil && b.surplus() {
			late = text
		}
		if <-peeked != nil {
			return
		}
		cancel()
	}
}

// peekLine returns the first line of the next request without consuming it.
func peekLine(r *bufio.Reader) (string, error) {
	for n := 1; ; n++ {
		text, err := r.Peek(n)
		if err != nil {
			return "", err
		}
		if i := bytes.IndexByte(text, '\n'); i >= 0 {
			return string(text[:i]), nil
		}
		n = max(n, r.Buffered()-1)
	}
}

// targetOf returns the target of a request line, byte for byte.
func targetOf(line string) string {
	parts := bytes.SplitN([]byte(line), []byte(" "), 3)
	if len(parts) < 2 {
		return ""
	}
	return string(parts[1])
}

// handle works on a request and returns its answer.
func (b *backend) handle(gone context.Context, req *http.Request, in *received) (status int, header []string, body []byte) {
	echo := "Loomgap-Request-Id: " + in.id
	if want := req.Header.Get("Loomgap-Target-Instance"); want != "" && want != b.id {
		return http.StatusMisdirectedRequest, []string{echo, "Loomgap-Not-Executed: 1"}, nil
	}
	if in.id == "" {
		return http.StatusBadRequest, []string{"Loomgap-Not-Executed: 1"}, nil
	}
	limit := 30 * time.Second
	if ms, err := strconv.Atoi(req.Header.Get("Loomgap-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	until := time.NewTimer(limit)
	defer until.Stop()
	notRun := func(why string) (int, []string, []byte) {
		b.shed.Add(1)
		b.world.logf("%s rejects %s as not executed: %s", b.id, in.id, why)
		return http.StatusServiceUnavailable, []string{echo, "Loomgap-Not-Executed: 1", b.load()}, nil
	}
	select {
	case b.slot <- struct{}{}:
	default:
		if b.waiting.Add(1) > int64(b.queue) {
			b.waiting.Add(-1)
			return notRun("full")
		}
		select {
		case b.slot <- struct{}{}:
			b.waiting.Add(-1)
		case <-until.C:
			b.waiting.Add(-1)
			return notRun("time limit passed in the queue")
		case <-gone.Done():
			b.waiting.Add(-1)
			return 0, nil, nil
		}
	}
	defer func() { <-b.slot }()
	b.mu.Lock()
	in.ran = true
	b.runs[in.id]++
	b.seen = append(b.seen, in)
	b.mu.Unlock()
	b.world.logf("%s runs %s", b.id, in.id)
	select {
	case <-time.After(b.work()):
	case <-until.C:
		return http.StatusGatewayTimeout, []string{echo, b.stamp(), b.load()}, nil
	case <-gone.Done():
		return 0, nil, nil
	}
	return http.StatusOK, []string{echo, b.stamp(), b.load()}, b.body(in)
}

func (b *backend) stamp() string {
	return fmt.Sprintf("Loomgap-Response-Stamp: %s.%d", b.id, time.Now().UnixNano())
}

func (b *backend) load() string {
	return fmt.Sprintf("Loomgap-Backend-Load: %d,%d,%d", len(b.slot), b.waiting.Load(), b.slots)
}

func encodeAnswer(status int, header []string, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range header {
		out.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	return out.Bytes()
}

const (
	// garbageRate is what a backend sends as garbage in a second, on all connections
	// together: 0.4 of what the link of a machine, 1,000 Mbit/s, carries.
	garbageRate = 50_000_000
	// linkPause is the time between two pieces of garbage.
	linkPause = 2 * time.Millisecond
)

// link paces all that a backend sends as garbage, on all connections together.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
}

// wait waits until the link is free for another piece.
func (l *link) wait() {
	l.mu.Lock()
	now := time.Now()
	at := l.freeAt
	if at.Before(now) {
		at = now
	}
	l.freeAt = at.Add(linkPause)
	l.mu.Unlock()
	time.Sleep(at.Sub(now))
}

// sendGarbage sends bytes that are no answer until the connection ends.
func (b *backend) sendGarbage(c net.Conn, in *received) {
	piece := bytes.Repeat([]byte("x"), int(garbageRate*linkPause.Seconds()))
	b.world.logf("%s begins to send bytes that are no answer to %s", b.id, in.id)
	sent := 0
	for {
		b.link.wait()
		n, err := c.Write(piece)
		sent += n
		if err != nil {
			b.world.logf("%s has sent %d bytes that are no answer to %s", b.id, sent, in.id)
			return
		}
	}
}
