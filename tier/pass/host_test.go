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

// names are the header names used in the tests.
var names = kernel.Headers{
	RequestID: "X-Id", DeadlineMillis: "X-Left", Upstream: "X-Upstream", Stamp: "X-Stamp",
	NotRun: "X-Not-Run", Load: "X-Load", Parts: "X-Parts", Missing: "X-Missing",
}

// testTimeout is a generous timeout for anything in the tests; no result depends on it.
const testTimeout = 20 * time.Second

// replyFunc answers one request on a connection. If it returns false, the connection is
// closed.
type replyFunc func(u *fakeUpstream, c net.Conn, r *http.Request) bool

// fakeUpstream is an upstream that records the requests it gets.
type fakeUpstream struct {
	t        testing.TB
	name     string
	listener net.Listener

	mu sync.Mutex
	// arrivals counts the requests by ID; requests and bodies keep the last request of each
	// ID and its body.
	arrivals map[string]int
	requests map[string]*http.Request
	bodies   map[string]string
	accepted int
	// usedConns counts the connections that carried a request.
	usedConns int
	reply     replyFunc
	conns     []net.Conn
	// stalledConns is how many of conns, from the first, no longer respond.
	stalledConns int
}

// resetConns resets the open connections.
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

// stallConns makes the open connections unresponsive; new ones work.
func (u *fakeUpstream) stallConns() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stalledConns = len(u.conns)
}

func (u *fakeUpstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// isStalled reports whether a connection was stalled.
func (u *fakeUpstream) isStalled(c net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.conns[:min(u.stalledConns, len(u.conns))], c)
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
		if u.isStalled(c) {
			reply = hang
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

// writeResponse writes a whole response.
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

// good returns a reply as of a healthy upstream.
func good(body string) replyFunc {
	return func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		id := r.Header.Get(names.RequestID)
		return writeResponse(c, http.StatusOK, map[string]string{names.RequestID: id, names.Stamp: "stamp-" + u.name + "-" + id}, body)
	}
}

// fail returns a reply with a status code. With notRun, it has the header which says that
// the request did not run; otherwise it has a stamp.
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

// reset resets the connection.
func reset(_ *fakeUpstream, c net.Conn, _ *http.Request) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// hang never responds.
func hang(_ *fakeUpstream, c net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// host is an entry host in the process of the test.
type host struct {
	t      testing.TB
	kernel *kernel.Kernel
	engine *engine
	server *httptest.Server
	// revision is the revision of the last change.
	revision uint64
}

type hostConfig struct {
	name, hall  string
	peers       kernel.PeerCaller
	retryBudget kernel.RetryBudget
	log         io.Writer
	// age is the age of the process; a minute if 0.
	age time.Duration
	// cores is the number of CPU cores; one if 0.
	cores float64
	// regions maps halls to regions; none by default.
	regions config.Regions
	// overload is policy.OverloadNone if empty.
	overload policy.OverloadControl
	// settle and stopBound are Settings.Settle, also SettleMost, and Settings.StopBound.
	settle, stopBound time.Duration
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
		Settings: kernel.Settings{Host: c.name, Hall: c.hall, Incarnation: "1", Adapter: "Test", RetryBudget: c.retryBudget, Cores: c.cores, Regions: c.regions, ColdFactor: 1, Overload: c.overload, Settle: c.settle, SettleMost: c.settle, StopBound: c.stopBound},
		Log:      log, Tracer: noop.NewTracerProvider().Tracer(""), Started: time.Now().Add(-c.age),
		Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(1, 2))}),
	})
	k.Peers = c.peers
	stopCrashReports := peers.ServeCrashReports(k)
	e, closeEngine := newEngine(k, names)
	h := &host{t: t, kernel: k, engine: e, server: newServer(k, e), revision: 1}
	if w, ok := c.peers.(*network); ok && w.sender == nil {
		w.sender = h
	}
	t.Cleanup(func() {
		h.server.Close()
		closeEngine()
		stopCrashReports()
		stop()
	})
	return h
}

// newServer returns a server with the door for callers, on a port of its own.
func newServer(k *kernel.Kernel, e *engine) *httptest.Server {
	s := httptest.NewUnstartedServer(nil)
	door := newDoor(k)
	s.Config, s.Listener = door.Server(e), door.Wrap(s.Listener)
	s.Start()
	return s
}

// do runs a job on the control thread and waits for the view that results.
func (h *host) do(job func(s *kernel.State)) {
	for _, j := range []func(*kernel.State){job, func(*kernel.State) {}} {
		done := make(chan struct{})
		h.kernel.Do(func(s *kernel.State) { j(s); close(done) })
		<-done
	}
}

func (h *host) applyDocument(d config.Document) { h.applyFaulty(d) }

// applyFaulty applies a document whose given fields have faults.
func (h *host) applyFaulty(d config.Document, faulty ...string) {
	h.t.Helper()
	h.revision++
	h.do(func(s *kernel.State) {
		h.kernel.AcceptTranslation(s, &config.Translation{Document: &d}, config.Edition{Position: config.Position{Revision: h.revision}})
		s.Confirm(h.kernel.Now())
	})
	v := h.kernel.View()
	assert.Equal(h.t, v.Refused, "")
	var fields []string
	for _, f := range v.Index.Faults {
		fields = append(fields, f.Field)
	}
	assert.DeepEqual(h.t, fields, faulty)
}

// listUpstream adds an upstream to the directory.
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

// addMember makes another host a live member.
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
	// closed is true if the host closes the connection.
	closed bool
}

// send sends a request with an ID and a deadline in milliseconds.
func (h *host) send(method, path, id string, left int, body string) result {
	ctx, cancel := context.WithTimeout(h.t.Context(), testTimeout)
	defer cancel()
	return h.sendContext(ctx, method, path, id, left, body)
}

func (h *host) sendContext(ctx context.Context, method, path, id string, left int, body string) result {
	return h.sendReader(ctx, method, path, id, left, strings.NewReader(body))
}

// sendReader sends a request whose body may come slowly.
func (h *host) sendReader(ctx context.Context, method, path, id string, left int, body io.Reader) result {
	r, err := http.NewRequestWithContext(ctx, method, h.server.URL+path, body)
	assert.NilError(h.t, err)
	r.Host = "shop.example"
	if id != "" {
		r.Header.Set(names.RequestID, id)
	}
	r.Header.Set(names.DeadlineMillis, strconv.Itoa(left))
	resp, err := h.server.Client().Do(r)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(text), err: err, closed: resp.Close}
}

// network connects hosts in memory. Messages are encoded as JSON, as on a real connection.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
	// unreachable are hosts that cannot be reached; unresponsive are hosts that never
	// reply.
	unreachable, unresponsive map[string]bool
	// failingMethods are methods that cannot reach any host.
	failingMethods map[string]bool
	// pushesLeft is how many more pushes are delivered; all if negative.
	pushesLeft int
	calls      map[string]int
	// older is true if messages lose the fields that older versions do not know.
	older bool
	// before are functions that are called once before a message of a method is delivered.
	before map[string]func()
	// preconnected are the hosts that were connected to in advance.
	preconnected []string
	// sender is the host that calls others: the first one created.
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
	handler, unresponsive, err := w.handler(to, method)
	if err != nil {
		return err
	}
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	in, err := w.encode(params)
	if err != nil {
		return err
	}
	w.callBefore(method)
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
		out, err := w.encode(o.value)
		if err != nil {
			return err
		}
		return json.Unmarshal(out, result)
	}
}

func (w *network) addHost(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[h.kernel.Settings.Host] = h
}

func (w *network) setUnreachable(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable[host] = true
}

func (w *network) setUnresponsive(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive[host] = true
}

// losePushes has all further pushes be lost.
func (w *network) losePushes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pushesLeft = 0
}

// setSender changes the host that calls others.
func (w *network) setSender(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sender = h
}

// setOlder has messages lose the fields that older versions do not know.
func (w *network) setOlder() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.older = true
}

// callBeforeNext has a function be called before the next message of a method is delivered.
func (w *network) callBeforeNext(method string, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.before = map[string]func(){method: f}
}

// fieldsUnknownToOlder are the fields of messages that older versions neither send nor know.
var fieldsUnknownToOlder = []string{"MayDecline", "SpentBeforeMicros", "Room"}

// encode encodes a message, as an older version would read or write it if older is set.
func (w *network) encode(message any) ([]byte, error) {
	text, err := json.Marshal(message)
	w.mu.Lock()
	older := w.older
	w.mu.Unlock()
	if err != nil || !older {
		return text, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	for _, n := range fieldsUnknownToOlder {
		delete(fields, n)
	}
	return json.Marshal(fields)
}

// callBefore calls the function to call before a message of a method.
func (w *network) callBefore(method string) {
	w.mu.Lock()
	f := w.before[method]
	delete(w.before, method)
	w.mu.Unlock()
	if f != nil {
		f()
	}
}

// push delivers a message to the sender before the reply.
func (w *network) push(method string, params any) error {
	w.mu.Lock()
	lost := w.pushesLeft == 0
	if w.pushesLeft > 0 {
		w.pushesLeft--
	}
	sender := w.sender
	w.mu.Unlock()
	if lost {
		return nil
	}
	text, err := w.encode(params)
	if err != nil {
		return err
	}
	_, err = sender.kernel.Handler(method)(context.Background(), text)
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

// eventually waits until a condition holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}
