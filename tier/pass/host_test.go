package pass

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/peers"
	"loomgap/tier/policy"
)

// names are the headers of these tests.
var names = kernel.Headers{
	RequestID: "X-Id", DeadlineMillis: "X-Left", Upstream: "X-Upstream", Stamp: "X-Stamp",
	NotRun: "X-Not-Run", Load: "X-Load", Parts: "X-Parts", Missing: "X-Missing",
}

// testBound is how long anything in these tests may take; it is far more than
// what is expected and judges nothing.
const testBound = 20 * time.Second

// replyFunc answers one request on a connection; false closes the connection.
type replyFunc func(u *fakeUpstream, c net.Conn, r *http.Request) bool

// upstream is a stand-in of an upstream. It counts what arrives.
type fakeUpstream struct {
	t        testing.TB
	name     string
	listener net.Listener

	mu sync.Mutex
	// arrivals counts requests by ID; requests keeps the last one of each ID,
	// bodies its body.
	arrivals map[string]int
	requests map[string]*http.Request
	bodies   map[string]string
	accepted int
	// carried counts the connections that brought a request.
	usedConns int
	reply     replyFunc
	conns     []net.Conn
	// silenced is how many of conns, the first, never answer again.
	silencedConns int
}

// forget resets the connections that are there, without a word.
func (u *fakeUpstream) resetConns() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	u.conns = nil
}

// silence has the connections that are there never answer again; new ones work.
func (u *fakeUpstream) silenceConns() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silencedConns = len(u.conns)
}

func (u *fakeUpstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// isSilenced reports whether a connection was there when they were silenced.
func (u *fakeUpstream) isSilenced(c net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.conns[:min(u.silencedConns, len(u.conns))], c)
}

func newFakeUpstream(t testing.TB, name string, reply replyFunc) *fakeUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &fakeUpstream{
		t: t, name: name, listener: l, reply: reply,
		arrivals: map[string]int{}, requests: map[string]*http.Request{}, bodies: map[string]string{},
	}
	t.Cleanup(func() { _ = l.Close() })
	go u.serve(l)
	return u
}

func (u *fakeUpstream) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.accepted++
		u.conns = append(u.conns, c)
		u.mu.Unlock()
		go u.serveConn(c)
	}
}

func (u *fakeUpstream) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for first := true; ; first = false {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if first {
			u.mu.Lock()
			u.usedConns++
			u.mu.Unlock()
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(names.RequestID)
		u.mu.Lock()
		u.arrivals[id]++
		u.requests[id], u.bodies[id] = r, string(body)
		reply := u.reply
		u.mu.Unlock()
		if u.isSilenced(c) {
			reply = silent
		}
		if !reply(u, c, r) {
			return
		}
	}
}

func (u *fakeUpstream) seen(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrivals[id]
}

func (u *fakeUpstream) total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, a := range u.arrivals {
		n += a
	}
	return n
}

// answerWith writes a whole answer.
func writeResponse(c net.Conn, status int, headers map[string]string, body string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for n, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", n, v)
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

// good answers as an upstream does that is well.
func good(body string) replyFunc {
	return func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		id := r.Header.Get(names.RequestID)
		return writeResponse(c, http.StatusOK, map[string]string{names.RequestID: id, names.Stamp: "stamp-" + u.name + "-" + id}, body)
	}
}

// failing answers with a status and, with notRun, the word that it did not run.
func fail(status int, notRun bool) replyFunc {
	return func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		h := map[string]string{names.RequestID: r.Header.Get(names.RequestID)}
		if notRun {
			h[names.NotRun] = "1"
		} else {
			h[names.Stamp] = "stamp-" + u.name
		}
		return writeResponse(c, status, h, "failed")
	}
}

// reset ends the connection with a reset.
func reset(_ *fakeUpstream, c net.Conn, _ *http.Request) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// silent never answers.
func silent(_ *fakeUpstream, c net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// host is an entry host in the test's own process.
type host struct {
	t      testing.TB
	kernel *kernel.Kernel
	engine *engine
	server *httptest.Server
	// revision is that of the last change.
	revision uint64
}

type hostConfig struct {
	name, hall  string
	peers       kernel.PeerCaller
	retryBudget kernel.RetryBudget
	log         io.Writer
	// age is that of the process; 0 for a minute.
	age time.Duration
	// cores is the share of processors; 0 for one.
	cores float64
	// regions says where halls lie; none by default.
	regions config.Regions
}

func newHost(t testing.TB, c hostConfig) *host {
	if c.retryBudget == (kernel.RetryBudget{}) {
		c.retryBudget = kernel.RetryBudget{Ratio: 1, Slack: 1000}
	}
	if c.age == 0 {
		c.age = time.Minute
	}
	log := zerolog.Nop()
	if c.log != nil {
		log = zerolog.New(c.log)
	}
	k, stop := kernel.New(kernel.Config{
		Settings: kernel.Settings{Host: c.name, Hall: c.hall, Incarnation: "1", Adapter: "Test", RetryBudget: c.retryBudget, Cores: c.cores, Regions: c.regions, ColdFactor: 1},
		Log:      log, Tracer: noop.NewTracerProvider().Tracer(""), Started: time.Now().Add(-c.age),
		Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(1, 2))}),
	})
	k.Peers = c.peers
	stopStrikes := peers.ServeCrashReports(k)
	e, closeEngine := newEngine(k, names)
	h := &host{t: t, kernel: k, engine: e, server: httptest.NewServer(e), revision: 1}
	if w, ok := c.peers.(*network); ok && w.sender == nil {
		w.sender = h
	}
	t.Cleanup(func() {
		h.server.Close()
		closeEngine()
		stopStrikes()
		stop()
	})
	return h
}

// do runs a job on the control thread and waits for its view.
func (h *host) do(job func(s *kernel.State)) {
	for _, j := range []func(*kernel.State){job, func(*kernel.State) {}} {
		done := make(chan struct{})
		h.kernel.Do(func(s *kernel.State) { j(s); close(done) })
		<-done
	}
}

func (h *host) applyDocument(d config.Document) {
	h.revision++
	h.do(func(s *kernel.State) {
		h.kernel.AcceptDocument(s, &d, config.Edition{Position: config.Position{Revision: h.revision}})
		s.Confirm(h.kernel.Now())
	})
	assert.Equal(h.t, h.kernel.View().Refused, "")
}

// list puts an upstream into the directory.
func (h *host) listUpstream(group, hall string, u *fakeUpstream, leaving bool) {
	h.revision++
	l := config.Listing{
		Name: u.name, Group: group, Hall: hall, Address: netip.MustParseAddrPort(u.listener.Addr().String()),
		Slots: 4, Leaving: leaving, Revision: h.revision,
	}
	h.do(func(s *kernel.State) {
		s.ApplyDirectoryChange(&config.DirectoryChange{Revision: h.revision, Listed: []config.Listing{l}})
	})
}

// member makes another host a live member.
func (h *host) addMember(o *host) {
	h.do(func(s *kernel.State) {
		n := o.kernel.Settings.Host
		s.Members[n] = kernel.Member{Host: n, Hall: o.kernel.Settings.Hall, Peer: netip.MustParseAddrPort("127.0.0.1:1"), Live: true, Capacity: o.kernel.Settings.Capacity()}
		s.Changed()
	})
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends one request with an ID and a deadline in milliseconds.
func (h *host) send(method, path, id string, left int, body string) result {
	ctx, cancel := context.WithTimeout(h.t.Context(), testBound)
	defer cancel()
	return h.sendContext(ctx, method, path, id, left, body)
}

func (h *host) sendContext(ctx context.Context, method, path, id string, left int, body string) result {
	r, err := http.NewRequestWithContext(ctx, method, h.server.URL+path, strings.NewReader(body))
	assert.NilError(h.t, err)
	r.Host = "shop.example"
	if id != "" {
		r.Header.Set(names.RequestID, id)
	}
	r.Header.Set(names.DeadlineMillis, strconv.Itoa(left))
	answer, err := h.server.Client().Do(r)
	if err != nil {
		return result{err: err}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return result{status: answer.StatusCode, header: answer.Header, body: string(text), err: err}
}

// cable joins hosts: calls between them go through JSON, as over a connection.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
	// cut are hosts that cannot be reached, mute those that never answer.
	unreachable, unresponsive map[string]bool
	// broken are methods that no host can be reached for.
	failingMethods map[string]bool
	// pushes is how many pushes arrive, the first ones; below 0 for all.
	pushesLeft int
	calls      map[string]int
	// met are the hosts that were connected to ahead.
	preconnected []string
	// sender is the host that calls others: the first that was made.
	sender *host
}

func newNetwork() *network {
	return &network{pushesLeft: -1, hosts: map[string]*host{}, unreachable: map[string]bool{}, unresponsive: map[string]bool{}, calls: map[string]int{}}
}

func (w *network) handler(to, method string) (kernel.Handler, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[method]++
	h := w.hosts[to]
	if h == nil || w.unreachable[to] || w.failingMethods[method] {
		return nil, false, fmt.Errorf("host %s: %w", to, peers.ErrNoPeer)
	}
	return h.kernel.Handler(method), w.unresponsive[to], nil
}

func (w *network) callCount(method string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[method]
}

// Call implements kernel.PeerCaller.
func (w *network) Call(ctx context.Context, to, method string, params, result any) error {
	handler, mute, err := w.handler(to, method)
	if err != nil {
		return err
	}
	if mute {
		<-ctx.Done()
		return ctx.Err()
	}
	in, err := json.Marshal(params)
	if err != nil {
		return err
	}
	type outcome struct {
		value any
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := handler(kernel.WithPush(context.Background(), w.push), in)
		done <- outcome{v, err}
	}()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case o := <-done:
		if o.err != nil {
			return o.err
		}
		out, err := json.Marshal(o.value)
		if err != nil {
			return err
		}
		return json.Unmarshal(out, result)
	}
}

// push tells the sender something before the answer.
func (w *network) push(method string, params any) error {
	w.mu.Lock()
	lost := w.pushesLeft == 0
	if w.pushesLeft > 0 {
		w.pushesLeft--
	}
	w.mu.Unlock()
	if lost {
		return nil
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = w.sender.kernel.Handler(method)(context.Background(), text)
	return err
}

// Connect implements kernel.PeerCaller.
func (w *network) Connect(_ context.Context, host string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.preconnected = append(w.preconnected, host)
	return nil
}

// Notify implements kernel.PeerCaller.
func (w *network) Notify(ctx context.Context, to, method string, params any) error {
	var none any
	return w.Call(ctx, to, method, params, &none)
}

// eventually waits until something holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testBound); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}
