package pass

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// Methods of the peer protocol.
const (
	// MethodForward has a coordinator carry a whole request out.
	MethodForward = "Forward"
	// MethodForwardSign tells the sender of Forward, at once and again and again,
	// that the coordinator works on the request.
	MethodForwardSign = "ForwardSign"
	// MethodForwardBegin has the coordinator begin, once it has given its first sign.
	MethodForwardBegin = "ForwardBegin"
	// MethodForwardStop ends a request whose answer is not wanted any more.
	MethodForwardStop = "ForwardStop"
)

// ForwardRequest asks a coordinator to carry a request out.
type ForwardRequest struct {
	// ID names the request among those of the sender.
	ID        string
	RequestID string
	HostName  string
	Path      string
	// Route is the digest of the route at the sender. A coordinator whose route
	// differs declines, so that a caller never meets an older configuration
	// through one host than through the one before.
	Route  uint64
	Method string
	// Head is the request as it goes to every upstream.
	Head string
	Body []byte `json:",omitempty"`
	// Caller is the address that the request came from.
	Caller netip.Addr `json:",omitzero"`
	// SpentMicros is how much of the objective is gone, the way back included;
	// LeftMillis is how long the caller still waits.
	SpentMicros, LeftMillis int64
	Trace                   string `json:",omitempty"`
}

// Decline says why a coordinator did not take a request. No call was made then.
type Decline string

// The reasons to decline a request.
const (
	// DeclineStopping means that the host stops or has not started.
	DeclineStopping Decline = "Stopping"
	// DeclineRoute means that the request has another route there.
	DeclineRoute Decline = "Route"
	// DeclineNotBegun means that the sender did not say that it still wants it.
	DeclineNotBegun Decline = "NotBegun"
)

// beginBound is how long a coordinator waits to be told to begin: longer than a
// message takes to a busy host and back, and shorter than most objectives.
const beginBound = 200 * time.Millisecond

// ForwardReply is a coordinator's answer.
type ForwardReply struct {
	// Declined is empty if the request was carried out or refused.
	Declined Decline `json:",omitempty"`
	Status   int
	// Outcome is as in the log.
	Outcome string
	Header  map[string]string
	Body    []byte
	// HeldMicros is how long the request was carried out.
	HeldMicros int64
}

// ForwardSign names a request.
type ForwardSign struct {
	ID string
}

// carriedRequests holds the requests that are carried out for other hosts.
type carriedRequests struct {
	mu   sync.Mutex
	byID map[string]*carriedRequest
}

// carriedRequest is one request that is carried out for another host.
type carriedRequest struct {
	// begin is closed when it may begin.
	begin     chan struct{}
	beginOnce sync.Once
	cancel    context.CancelFunc
}

// await waits until the request may begin, and reports whether it may.
func (c *carriedRequest) await(ctx context.Context) bool {
	timer := time.NewTimer(beginBound)
	defer timer.Stop()
	select {
	case <-c.begin:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// add makes a request known until it is dropped.
func (c *carriedRequests) add(id string, cancel context.CancelFunc) (r *carriedRequest, drop func()) {
	r = &carriedRequest{begin: make(chan struct{}), cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID == nil {
		c.byID = map[string]*carriedRequest{}
	}
	c.byID[id] = r
	return r, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.byID, id)
	}
}

func (c *carriedRequests) find(id string) *carriedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// stop ends a request; one that has ended already needs nothing.
func (c *carriedRequests) stop(id string) {
	if r := c.find(id); r != nil {
		r.cancel()
	}
}

func (e *Engine) serveForwarded() {
	const name = "name of a forwarded request"
	handle(e, MethodForward, "forwarded request", e.onForward)
	handle(e, MethodForwardSign, name, e.onForwardSign)
	handle(e, MethodForwardBegin, name, e.onForwardBegin)
	handle(e, MethodForwardStop, name, e.onForwardStop)
}

// onForward carries a request out for another host.
func (e *Engine) onForward(ctx context.Context, in *ForwardRequest) (any, error) {
	if in.ID == "" || in.RequestID == "" || in.LeftMillis <= 0 {
		return nil, fmt.Errorf("bad forwarded request %q: send ID, RequestID and LeftMillis above 0", in.ID)
	}
	q, declined := e.accept(in)
	if declined != "" {
		return &ForwardReply{Declined: declined}, nil
	}
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	metrics.GetOrCreateCounter("loomgap_carried_requests_total").Inc()
	run, cancel := context.WithCancel(wire.TraceInto(context.Background(), in.Trace))
	defer cancel()
	carried, drop := e.carried.add(in.ID, cancel)
	defer drop()
	started := e.kernel.Now()
	go e.signWhile(ctx, run, in.ID)
	if !carried.await(run) {
		return &ForwardReply{Declined: DeclineNotBegun}, nil
	}
	w := &recorder{header: http.Header{}}
	q.serve(run, w)
	return w.reply(q.outcome, e.kernel.Now()-started), nil
}

// accept makes the request that another host has sent, or declines it.
func (e *Engine) accept(in *ForwardRequest) (*request, Decline) {
	e.kernel.Wake()
	if e.kernel.Phase() != kernel.PhaseReady {
		return nil, DeclineStopping
	}
	now := e.kernel.Now()
	q := &request{
		engine: e, id: in.RequestID, view: e.kernel.View(), method: in.Method, head: []byte(in.Head), body: in.Body,
		begun: now - max(time.Duration(in.SpentMicros)*time.Microsecond, 0), hostName: in.HostName, path: in.Path,
		deadline: now + time.Duration(in.LeftMillis)*time.Millisecond,
	}
	content := contentOf(q.head, q.body)
	q.subject = policy.Subject{Fingerprint: content.Fingerprint(), Caller: in.Caller}
	q.route, q.class = q.view.Index.Route(in.HostName, in.Path)
	if q.route == nil || q.route.Digest() != in.Route {
		return nil, DeclineRoute
	}
	return q, ""
}

// signWhile tells the sender of a request that it is worked on, until it ends.
func (e *Engine) signWhile(ctx, run context.Context, id string) {
	tick := time.NewTicker(forwardSignEvery)
	defer tick.Stop()
	for {
		if err := kernel.Push(ctx, MethodForwardSign, ForwardSign{ID: id}); err != nil {
			e.kernel.Decisions.Info().Err(err).Msg("sender of a request is gone")
			e.carried.stop(id)
			return
		}
		select {
		case <-run.Done():
			return
		case <-tick.C:
		}
	}
}

func (e *Engine) onForwardSign(_ context.Context, in *ForwardSign) (any, error) {
	e.forwards.sign(in.ID)
	return struct{}{}, nil
}

func (e *Engine) onForwardBegin(_ context.Context, in *ForwardSign) (any, error) {
	r := e.carried.find(in.ID)
	if r == nil {
		return nil, fmt.Errorf("request %q ended or was never sent", in.ID)
	}
	r.beginOnce.Do(func() { close(r.begin) })
	return struct{}{}, nil
}

func (e *Engine) onForwardStop(_ context.Context, in *ForwardSign) (any, error) {
	e.carried.stop(in.ID)
	return struct{}{}, nil
}

// recorder keeps an answer that is for another host's caller.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

var _ http.ResponseWriter = (*recorder)(nil)

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// reply describes the answer for the host that sent the request.
func (r *recorder) reply(outcome string, held time.Duration) *ForwardReply {
	out := &ForwardReply{
		Status: r.status, Outcome: outcome, Header: map[string]string{}, Body: r.body.Bytes(), HeldMicros: held.Microseconds(),
	}
	for name := range r.header {
		if v := r.header.Get(name); v != "" {
			out.Header[name] = v
		}
	}
	return out
}
