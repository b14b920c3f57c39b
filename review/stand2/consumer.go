package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// sentRequest is a consumer attempt and what came of it.
type sentRequest struct {
	ID, Host   string
	SentAt     time.Duration
	EndedAt    time.Duration
	Status     int
	Stamp, Err string
	Header     http.Header
	Body       []byte
}

// load sends requests at an even rate through the balancer, each consumer on kept connections.
type load struct {
	w         *world
	method    string
	target    func(n int) string
	hostName  string
	body      string
	timeLimit time.Duration
	perSecond float64
	consumers int
	// zones are the zones of the consumers in turn; none for one zone.
	zones []string

	mu   sync.Mutex
	sent []*sentRequest
	done sync.WaitGroup
}

// run sends requests until a time.
func (l *load) run(until time.Duration) {
	transports := make([]*http.Transport, l.consumers)
	for i := range transports {
		transports[i] = &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			h := l.w.balancer.pick(l.w.hosts, l.zoneOf(i), i)
			if h == nil {
				return nil, fmt.Errorf("no machine is in")
			}
			d := net.Dialer{Timeout: time.Second}
			return d.DialContext(ctx, "tcp", h.front)
		}, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}
	}
	gap := time.Duration(float64(time.Second) / l.perSecond)
	for n := 0; l.w.now() < until; n++ {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			l.send(transports[n%l.consumers], n)
		}()
		time.Sleep(gap)
	}
	l.done.Wait()
	for _, t := range transports {
		t.CloseIdleConnections()
	}
}

func (l *load) send(t *http.Transport, n int) {
	s := &sentRequest{ID: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, n), SentAt: l.w.now()}
	ctx, cancel := context.WithTimeout(context.Background(), l.timeLimit)
	defer cancel()
	var body io.Reader
	if l.body != "" {
		body = strings.NewReader(l.body)
	}
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { s.Host = l.w.machineAt(c.Conn.RemoteAddr().String()) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	r, err := http.NewRequestWithContext(ctx, l.method, "http://"+l.hostName+l.target(n), body)
	if err != nil {
		cannotRun("request: %v", err)
	}
	r.GetBody = nil // the transport must not send it again
	r.Header["Loomgap-Request-Id"] = []string{s.ID}
	r.Header.Set("Loomgap-Deadline-Ms", fmt.Sprint(l.timeLimit.Milliseconds()))
	resp, err := t.RoundTrip(r)
	if err == nil {
		s.Status, s.Header, s.Stamp = resp.StatusCode, resp.Header, resp.Header.Get("Loomgap-Response-Stamp")
		s.Body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		s.Err = err.Error()
	}
	s.EndedAt = l.w.now()
	l.w.note("consumer has its answer", "id", s.ID, "machine", s.Host, "sent", s.SentAt.Seconds(), "status", s.Status, "stamp", s.Stamp, "error", s.Err)
	l.mu.Lock()
	l.sent = append(l.sent, s)
	l.mu.Unlock()
}

// zoneOf returns the zone of a consumer; empty if all are in one zone.
func (l *load) zoneOf(consumer int) string {
	if len(l.zones) == 0 {
		return ""
	}
	return l.zones[consumer%len(l.zones)]
}

// machineAt returns the name of the machine that serves consumers at an address.
func (w *world) machineAt(addr string) string {
	for _, h := range w.hosts {
		if h.front == addr {
			return h.name
		}
	}
	return ""
}

// host returns a machine by its name.
func (w *world) host(name string) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	cannotRun("no machine %s", name)
	return nil
}
