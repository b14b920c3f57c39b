package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a backend got.
type arrival struct {
	At                 time.Duration
	ID, Method, Target string
	Body               int
	// Ran is true if the backend began to work on it, Ended if it answered.
	Ran, Ended bool
}

// backend is a server of the users, as their pages describe one.
type backend struct {
	w                 *world
	id, service, zone string
	slots, queue      int
	work              time.Duration
	addr              string
	born              int64
	listener          net.Listener
	server            *http.Server
	busy              chan struct{}
	waiting           atomic.Int64
	stamps            atomic.Int64
	// records are what it answers to a gather; nil for a plain answer.
	records [][]byte

	mu       sync.Mutex
	arrivals []*arrival
	listed   bool
	seq      int
	ended    bool
	stopBeat chan struct{}
}

// addBackend starts a backend and lists it in the store.
func (w *world) addBackend(service, zone string, slots int, work time.Duration) *backend {
	n := len(w.backends)
	b := &backend{
		w: w, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, zone: zone, slots: slots, queue: 16, work: work,
		born: time.Now().UnixMilli(), busy: make(chan struct{}, slots), listed: true, stopBeat: make(chan struct{}),
	}
	b.listener = w.listen(130 + n)
	b.addr = b.listener.Addr().String()
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(b.listener) }()
	w.backends = append(w.backends, b)
	b.beat("ready")
	go func() {
		tick := time.NewTicker(1200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				b.beat("ready")
			case <-b.stopBeat:
				return
			}
		}
	}()
	return b
}

// beat writes the backend's entry, unless it has left.
func (b *backend) beat(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.listed {
		return
	}
	b.seq++
	b.w.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.addr, "zone": b.zone, "version": "v1", "slots": b.slots, "state": state,
		"warmupLeftMs": 0, "seq": b.seq, "born": b.born,
	})
}

// leave removes the entry without having said that it drains, and returns the time of the ack.
func (b *backend) leave() time.Duration {
	b.mu.Lock()
	b.listed = false
	close(b.stopBeat)
	b.mu.Unlock()
	return b.w.store.remove("servers/" + b.id)
}

// end ends the process of the backend: its connections break.
func (b *backend) end() {
	b.mu.Lock()
	done := b.ended
	b.ended = true
	b.mu.Unlock()
	if !done {
		_ = b.server.Close()
	}
}

func (b *backend) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if id := r.Header.Get("Loomgap-Request-Id"); id != "" {
		h.Set("Loomgap-Request-Id", id)
	}
	h["Content-Type"], h["Date"] = nil, nil
	b.setLoad(h)
	if r.URL.Path == "/health" {
		h.Set("Loomgap-Instance-Id", b.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Loomgap-Target-Instance"); want != "" && want != b.id {
		h.Set("Loomgap-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{At: b.w.now(), ID: r.Header.Get("Loomgap-Request-Id"), Method: r.Method, Target: r.RequestURI, Body: len(body)}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	b.mu.Unlock()
	b.w.note("request reaches backend", "backend", b.id, "id", fmt.Sprintf("%+q", a.ID), "method", a.Method, "target", fmt.Sprintf("%+q", a.Target))
	if !b.acquire(r.Context()) {
		h.Set("Loomgap-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.busy }()
	b.mu.Lock()
	a.Ran = true
	b.mu.Unlock()
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		b.w.note("run is broken off", "backend", b.id, "id", a.ID)
		return
	}
	h.Set("Loomgap-Response-Stamp", b.stamp(a.ID))
	b.setLoad(h)
	b.mu.Lock()
	a.Ended = true
	b.mu.Unlock()
	if b.records != nil {
		_, _ = rw.Write(bytes.Join(b.records, nil))
		return
	}
	_, _ = rw.Write([]byte("done by " + b.id + " for " + a.ID))
}

func (b *backend) stamp(id string) string {
	sum := sha256.Sum256([]byte(b.id + "/" + id))
	return fmt.Sprintf("%s.%02x.%s", strings.TrimPrefix(b.id, "i-"), b.stamps.Add(1)%256, hex.EncodeToString(sum[:4]))
}

func (b *backend) setLoad(h http.Header) {
	h.Set("Loomgap-Backend-Load", fmt.Sprintf("%d,%d,%d", len(b.busy), b.waiting.Load(), b.slots))
}

// acquire waits for a slot. It returns false if the queue is full or the caller leaves.
func (b *backend) acquire(ctx context.Context) bool {
	select {
	case b.busy <- struct{}{}:
		return true
	default:
	}
	if b.waiting.Add(1) > int64(b.queue) {
		b.waiting.Add(-1)
		return false
	}
	defer b.waiting.Add(-1)
	select {
	case b.busy <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// got returns copies of the arrivals.
func (b *backend) got() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []arrival
	for _, a := range b.arrivals {
		out = append(out, *a)
	}
	return out
}
