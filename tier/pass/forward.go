package pass

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// Bounds of forwarded requests.
const (
	// forwardTries is how many coordinators are tried before the host carries the
	// request out itself.
	forwardTries = 2
	// forwardFirstSign is how long after the round trip the first sign of a
	// coordinator is waited for; a busy one needs up to 20 ms. It prevents a host
	// that is frozen or cut off from taking more than a sixth of an objective of
	// 300 ms from the requests that meet it.
	forwardFirstSign = 50 * time.Millisecond
	// forwardSilent is how long a coordinator that gave a sign may be silent: some
	// of its signs, forwardSignEvery, in a row.
	forwardSilent    = 150 * time.Millisecond
	forwardSignEvery = 40 * time.Millisecond
	// upstreamShare is the part of the upstreams of the fullest hall that a hall
	// must list for its hosts to carry gathers out: elsewhere most calls would
	// go to another hall again.
	upstreamShare = 0.5
)

// forwardTimes are the times within which a coordinator shows that it is there.
type forwardTimes struct {
	// firstSign is waited for beyond the round trip, silent from one sign to the next.
	firstSign, silent time.Duration
}

// hallsWithUpstreams names the halls that list many upstreams.
func hallsWithUpstreams(d *config.Directory) map[string]bool {
	listed := d.PerHall()
	most := 0
	for _, n := range listed {
		most = max(most, n)
	}
	out := map[string]bool{}
	for h, n := range listed {
		out[h] = float64(n) >= upstreamShare*float64(most)
	}
	return out
}

// coordinator picks the host that is to carry the request out; false for this one.
func (q *request) coordinator(tried map[string]bool) (policy.Candidate, bool) {
	e := q.engine
	all := e.candidates.Load()
	if all == nil {
		return policy.Candidate{}, false
	}
	carriers := e.places(q.view).Carriers(*all, q.route.Homes)
	best := policy.Coordinators(e.self(), e.relays.reachable(carriers, e.kernel.Now(), tried))
	if len(best) == 0 {
		return policy.Candidate{}, false
	}
	return best[0], true
}

// self describes this host as a candidate.
func (e *Engine) self() policy.Candidate {
	s := &e.kernel.Settings
	return policy.Candidate{Host: s.Host, Hall: s.Hall, Capacity: s.Capacity()}
}

// liveHosts describes the other live hosts that stay, of some halls.
func liveHosts(v *kernel.View, of func(hall string) bool) []policy.Candidate {
	var out []policy.Candidate
	for n, m := range v.Members {
		if m.Callable() && of(m.Hall) {
			out = append(out, policy.Candidate{Host: n, Hall: m.Hall, Capacity: m.Capacity})
		}
	}
	return out
}

// reachable returns the candidates that answer, with what is known of them.
func (r *relays) reachable(all []policy.Candidate, now time.Duration, tried map[string]bool) []policy.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []policy.Candidate
	for _, c := range all {
		if tried[c.Host] || now < r.hall(c.Hall).backoff.until || !r.answers(c.Host, now) {
			continue
		}
		c.Pending, c.RoundTrip = r.state(c.Host).open, r.hall(c.Hall).roundTrip
		out = append(out, c)
	}
	return out
}

// forward has a coordinator carry the request out, and reports whether the caller
// has its answer. Where a coordinator does not begin, another is asked; where one
// has begun and is lost, its calls may have run, and calls of this host would
// exceed what a request may have.
func (q *request) forward(ctx context.Context, w http.ResponseWriter) bool {
	if q.route.Gather == nil || !q.route.Repeatable {
		return false
	}
	tried := map[string]bool{}
	for range forwardTries {
		to, ok := q.coordinator(tried)
		if !ok {
			return false
		}
		tried[to.Host] = true
		f := &forwarded{request: q, host: to.Host, hall: to.Hall}
		answer := f.carryOut(ctx)
		switch {
		case ctx.Err() != nil:
			q.log(outcomeGivenUp, 0).Str("Coordinator", to.Host).Msg("request given up by its caller")
			return true
		case answer != nil:
			q.writeForwarded(w, f, answer)
			return true
		case f.begun:
			q.log(outcomeUnknown, http.StatusBadGateway).Str("Coordinator", to.Host).Msg("coordinator lost")
			http.Error(w, "no answer: "+outcomeUnknown, http.StatusBadGateway)
			return true
		}
	}
	return false
}

// writeForwarded gives the caller what a coordinator answered.
func (q *request) writeForwarded(w http.ResponseWriter, f *forwarded, a *ForwardReply) {
	h := w.Header()
	for name, value := range a.Header {
		h.Set(name, value)
	}
	q.log(a.Outcome, a.Status).Str("Coordinator", f.host).Int64("HeldMillis", a.HeldMicros/1000).Msg("request answered by a coordinator")
	q.write(w, a.Status, http.Header{}, a.Body)
	q.engine.margins.observeAround(q.engine.kernel.Now() - q.begun - time.Duration(a.HeldMicros)*time.Microsecond)
}

// forwarded is one request at one coordinator. It is used by one goroutine.
type forwarded struct {
	request *request
	host    string
	hall    string
	started time.Duration
	// heard is true once the coordinator gave a sign, begun once it was told to
	// begin: before that it makes no calls.
	heard, begun bool
	reply        ForwardReply
}

// carryOut sends the request and waits for its answer; nil if the coordinator
// gave none, or did not take it.
func (f *forwarded) carryOut(ctx context.Context) *ForwardReply {
	q, e := f.request, f.request.engine
	ctx, span := e.kernel.Tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Coordinator", f.host))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.started = e.kernel.Now()
	in := q.forwardRequest(ctx)
	first := e.relays.roundTrip(f.host) + e.times.firstSign
	e.relays.sent(f.host, f.started+first)
	signs, forget := e.forwards.open(in.ID)
	defer forget()
	answered := make(chan error, 1)
	go func() { answered <- e.callRelay(ctx, f.host, MethodForward, in, &f.reply, q.deadline) }()
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-signs:
			if !f.begin(ctx, in.ID) {
				return nil
			}
			timer.Reset(e.times.silent)
		case err := <-answered:
			return f.finish(err)
		case <-timer.C:
			f.giveUp(in.ID, false)
			return nil
		case <-ctx.Done():
			f.giveUp(in.ID, true)
			return nil
		}
	}
}

// log begins a line about the request at its coordinator.
func (f *forwarded) log() *zerolog.Event {
	return f.request.engine.kernel.Decisions.Info().Str("RequestID", f.request.id).Str("Coordinator", f.host)
}

// begin tells the coordinator to begin when it has given its first sign. That
// costs a round trip, and one that is frozen or cut off never begins a request
// that another host carries out meanwhile.
func (f *forwarded) begin(ctx context.Context, id string) bool {
	if f.begun {
		return true
	}
	f.noteSign(0)
	e := f.request.engine
	if err := e.kernel.Peers.Notify(ctx, f.host, MethodForwardBegin, ForwardSign{ID: id}); err != nil {
		f.log().Err(err).Msg("coordinator not told to begin")
		// Some of the message may have arrived.
		f.begun = !unreached(err)
		return false
	}
	f.begun = true
	return true
}

// noteSign notes the first sign of the coordinator, which held the request for a
// while before it.
func (f *forwarded) noteSign(held time.Duration) {
	if f.heard {
		return
	}
	f.heard = true
	e := f.request.engine
	now := e.kernel.Now()
	e.relays.answered(f.host, f.hall, now, max(now-f.started-held, time.Microsecond))
}

// finish takes the answer in, or that there is none.
func (f *forwarded) finish(err error) *ForwardReply {
	e := f.request.engine
	if err != nil {
		if !f.heard {
			e.relays.unanswered(f.host, f.hall, e.kernel.Now(), true)
		}
		f.log().Bool("Begun", f.begun).Err(err).Msg("request not answered by a coordinator")
		return nil
	}
	f.noteSign(time.Duration(f.reply.HeldMicros) * time.Microsecond)
	if f.reply.Declined != "" {
		e.relays.decline(f.host, e.kernel.Now(), f.reply.Declined)
		f.log().Str("Declined", string(f.reply.Declined)).Msg("request declined by a coordinator")
		return nil
	}
	return &f.reply
}

// giveUp ends the request at the coordinator: it is silent, or the caller is gone.
func (f *forwarded) giveUp(id string, callerGone bool) {
	e := f.request.engine
	if !f.heard {
		e.relays.unanswered(f.host, f.hall, e.kernel.Now(), !callerGone)
	}
	if !callerGone {
		f.log().Bool("Begun", f.begun).Msg("coordinator is silent")
	}
	go e.stopForwarded(f.host, id, f.request.id)
}

// stopForwarded tells a coordinator that an answer is not wanted any more.
func (e *Engine) stopForwarded(host, id, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	if err := e.kernel.Peers.Notify(ctx, host, MethodForwardStop, ForwardSign{ID: id}); err != nil {
		e.kernel.Decisions.Info().Str("RequestID", request).Str("Coordinator", host).Err(err).Msg("forwarded request not stopped")
	}
}

// forwardRequest describes the request for a coordinator.
func (q *request) forwardRequest(ctx context.Context) *ForwardRequest {
	e := q.engine
	now := e.kernel.Now()
	spent := max(now-q.begun, e.margins.aroundCoordinator())
	return &ForwardRequest{
		ID: e.batches.name(), RequestID: q.id, HostName: q.hostName, Path: q.path, Route: q.route.Digest(),
		Method: q.method, Head: string(q.head), Body: q.body, Caller: q.subject.Caller,
		SpentMicros: spent.Microseconds(), LeftMillis: (q.deadline - now).Milliseconds(), Trace: wire.TraceOf(ctx),
	}
}

// forwards are the requests of this host that coordinators carry out.
type forwards struct {
	// byID holds a chan struct{} for each request under way.
	byID sync.Map
}

// open returns the signs of a request's coordinator until it is forgotten.
func (s *forwards) open(id string) (signs <-chan struct{}, forget func()) {
	c := make(chan struct{}, 1)
	s.byID.Store(id, c)
	return c, func() { s.byID.Delete(id) }
}

// sign takes in that a coordinator works on a request.
func (s *forwards) sign(id string) {
	c, ok := s.byID.Load(id)
	if !ok {
		return // it has its answer
	}
	select {
	case c.(chan struct{}) <- struct{}{}:
	default: // the sign before it was not taken in yet
	}
}

// place keeps what coordinators are chosen from; it runs on the control thread.
func (e *Engine) place(v *kernel.View) {
	if v.Directory != e.servedIn {
		e.servedIn, e.served = v.Directory, hallsWithUpstreams(v.Directory)
	}
	all := liveHosts(v, func(hall string) bool { return e.served[hall] })
	e.candidates.Store(&all)
}

// forwarder is the part of an engine that hands requests over to coordinators, and
// carries them out for other hosts.
type forwarder struct {
	// candidates are the live hosts, of halls that have the upstreams of gathers; nil
	// until there is a view to take them from. They are not changed.
	candidates atomic.Pointer[[]policy.Candidate]
	forwards   forwards
	margins    margins
	times      forwardTimes
	// served are the halls with many upstreams in the directory servedIn, which
	// changes more rarely than the members do; used on the control thread.
	served   map[string]bool
	servedIn *config.Directory
	// carried are the requests that this host carries out for others.
	carried carriedRequests
}
