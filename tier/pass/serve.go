package pass

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// Bounds of routed requests.
const (
	// responseReserve is kept back from a caller's own deadline, so that the answer is
	// there while the caller still waits: a link's delay and a late timer.
	responseReserve = 10 * time.Millisecond
	// defaultBody bounds a request's body where the document says nothing.
	defaultBody = 1 << 20
	// retryNoConfig and retryNoUpstream are when to ask again: a host reads
	// the platform at once when it starts, and an upstream that is gone is
	// replaced within about a second.
	retryNoConfig   = 300 * time.Millisecond
	retryNoUpstream = 200 * time.Millisecond
	// retryLeast is the least time after which to ask again, so that a caller does
	// not meet the same queue; upstreams rest 5 ms at first after they shed a call.
	retryLeast = 20 * time.Millisecond
	// retrySpread is by what part of it the time is made longer at random.
	retrySpread = 0.5
	// startBound is the age of the process up to which a request waits for the
	// first configuration: twice what it takes where the platform answers (20 to
	// 75 ms after the listener opens). It prevents the first callers after a
	// restart of all hosts from being refused for want of some milliseconds.
	startBound = 150 * time.Millisecond
)

// request is one routed request.
type request struct {
	engine *Engine
	id     string
	route  *config.Route
	class  *config.Class
	view   *kernel.View
	plan   plan
	// begun is when the request was read, deadline when its answer is due.
	begun, deadline time.Duration
	// patience is when an answer that covers enough is given, decidedAt when the
	// run had its end; 0 before.
	patience, decidedAt time.Duration
	head                []byte
	method              string
	body                []byte
	// subject is what the request is remembered by if it crashes upstreams; its
	// fingerprint is empty until the request is read.
	subject policy.Subject

	// single is the answer that was taken, failure the last failure that an
	// upstream answered with; both for a request to one group.
	single, failure *answer
	parts           gathered
	relaying        relaying
	// hostName and path are what the route was found by.
	hostName, path string
	// outcome is the last that was logged.
	outcome string
	// callerGone is true once the caller is gone.
	callerGone atomic.Bool
	// sends counts the calls sent for each part.
	sends []int
}

var (
	_ runner.Caller[*answer]   = (*request)(nil)
	_ runner.Observer[*answer] = (*request)(nil)
	_ http.Handler             = (*Engine)(nil)
)

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	e.kernel.Wake()
	q := &request{engine: e, id: r.Header.Get(e.headers.RequestID), begun: e.kernel.Now(), method: r.Method, subject: policy.Subject{Caller: callerOf(r)}}
	configured := e.awaitConfiguration(r.Context())
	q.view = e.kernel.View()
	if e.kernel.Phase() == kernel.PhaseDraining {
		w.Header().Set("Connection", "close")
	}
	if !configured {
		q.refuse(w, "no configuration yet", retryNoConfig)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = r.URL.EscapedPath()
	}
	q.hostName, q.path = hostOnly(r.Host), path
	q.route, q.class = q.view.Index.Route(q.hostName, q.path)
	switch {
	case q.route == nil:
		q.reject(w, http.StatusNotFound, outcomeNoRoute, "no route for "+r.Host+path)
		return
	case q.id == "":
		q.reject(w, http.StatusBadRequest, outcomeInvalid, "header "+e.headers.RequestID+" is missing: send an ID of the request")
		return
	}
	if !q.read(w, r) || q.quarantined(w) {
		return
	}
	ctx := wire.TraceFrom(r.Context(), r.Header)
	if !q.forward(ctx, w) {
		q.serve(ctx, w)
		q.noteTail()
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// noteTail observes how long the answer took to make and write.
func (q *request) noteTail() {
	if q.decidedAt > 0 {
		q.engine.margins.observeTail(q.engine.kernel.Now() - q.decidedAt)
	}
}

// quarantined refuses a request that crashes upstreams, at once and truly not run,
// and reports whether it did.
func (q *request) quarantined(w http.ResponseWriter) bool {
	k := q.engine.kernel
	verdict, left := k.Fleet.Judge(k.Now(), q.subject)
	if verdict != policy.VerdictQuarantined {
		return false
	}
	q.refuse(w, policy.ReasonQuarantined, left)
	return true
}

// callerOf returns the address that a request came from; the zero value if the
// server does not tell it.
func callerOf(r *http.Request) netip.Addr {
	at, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return at.Addr().Unmap()
}

// hostOnly takes the port off a Host header.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// read takes in deadline, headers and body; it answers what is wrong.
func (q *request) read(w http.ResponseWriter, r *http.Request) bool {
	limit := time.Duration(q.route.TimeLimit)
	if text := r.Header.Get(q.engine.headers.DeadlineMillis); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 {
			q.reject(w, http.StatusBadRequest, outcomeInvalid, "header "+q.engine.headers.DeadlineMillis+": write milliseconds above 0")
			return false
		}
		limit = min(limit, time.Duration(millis)*time.Millisecond)
	}
	q.deadline = q.begun + limit - min(responseReserve, limit/4)
	most := q.view.Index.Document.Limits.Body
	if most <= 0 {
		most = defaultBody
	}
	if r.Body != nil && r.Body != http.NoBody {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			q.reject(w, http.StatusRequestEntityTooLarge, outcomeTooLarge, "body over "+strconv.FormatInt(most, 10)+" bytes: send a shorter one")
			return false
		case err != nil:
			q.log(outcomeInvalid, http.StatusBadRequest).Err(err).Msg("request not read")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return false
		}
		q.body = body
	}
	q.head = headOf(r, &q.engine.headers, len(q.body))
	content := contentOf(q.head, q.body)
	q.subject.Fingerprint = content.Fingerprint()
	return true
}

// serve carries the request out and answers it; a caller that is gone gets no
// answer.
func (q *request) serve(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() != nil {
		q.log(outcomeGivenUp, 0).Msg("request given up by its caller")
		return
	}
	q.plan = q.engine.plan(q.view, q.route)
	if q.plan.reachable == 0 || float64(q.plan.reachable) < q.class.Coverage*float64(len(q.plan.groups)) {
		q.refuse(w, "too few groups have an upstream", retryNoUpstream)
		return
	}
	q.sends = make([]int, len(q.plan.groups))
	caller := ctx
	ctx, span := q.engine.kernel.Tracer.Start(ctx, "route")
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("RequestID", q.id), attribute.String("Route", q.route.Name))
	}
	result, err := q.run(ctx)
	var refusal *policy.Refusal
	switch {
	case errors.As(err, &refusal):
		q.refuse(w, refusal.Reason, refusal.RetryAfter)
	case err != nil:
		q.engine.kernel.Log.Error().Err(err).Str("RequestID", q.id).Msg("request not carried out")
		q.refuse(w, "internal error", retryNoUpstream)
	case caller.Err() != nil:
		q.log(outcomeGivenUp, 0).Int("Ran", result.Ran).Msg("request given up by its caller")
	case q.route.Gather != nil:
		q.answerGathered(ctx, w, &result)
	default:
		q.answerSingle(w, &result)
	}
}

// classOf returns the route's class with the patience that is left, at the start
// of the run, for a request that began before at another host, and whose answer
// takes this host long to write.
func (q *request) classOf(spent time.Duration) *config.Class {
	q.patience = q.begun + time.Duration(q.class.Patience) - q.engine.margins.beyondReserve()
	c := *q.class
	c.Patience = config.Duration(max(q.patience-q.begun-spent, 0))
	return &c
}

func (q *request) run(ctx context.Context) (policy.Result, error) {
	k := q.engine.kernel
	near, far := k.Fleet.RoutedPools(q.route.Name)
	spent := k.Now() - q.begun
	f, err := runner.New(runner.Config[*answer]{
		Kernel: k, Caller: q,
		Run: policy.RunConfig{
			Fleet: k.Fleet, Pool: near, Class: q.classOf(spent), Deadline: q.deadline,
			Replicas: q.plan.replicas, Repeatable: q.route.Repeatable, Subject: q.subject,
			Routed: &policy.Routed{
				Groups: q.plan.groups, FarPool: far, MaxAttempts: q.route.MaxAttempts,
				Objective: max(time.Duration(q.route.Objective)-spent, 0), Hall: q.plan.hall,
				Relayed: q.route.Gather != nil, Absent: q.plan.absent,
			},
		},
	})
	if err != nil {
		return policy.Result{}, err
	}
	stop := context.AfterFunc(ctx, func() { q.callerGone.Store(true) })
	defer stop()
	result, err := f.Run(ctx, ctx.Done())
	q.decidedAt = f.DecidedAt()
	return result, err
}

// Call implements runner.Caller.
func (q *request) Call(ctx context.Context, a policy.Action) runner.Reply[*answer] {
	l := (*q.engine.links.Load())[a.Upstream.Name]
	if l == nil {
		return runner.Reply[*answer]{Outcome: policy.CallUnreachable}
	}
	if !q.engine.admits(q.engine.kernel.Now(), &admission{route: q.route.Name, request: q.id, subject: q.subject}, a.Upstream) {
		return runner.Reply[*answer]{Outcome: policy.CallBarred}
	}
	ctx, span := q.engine.kernel.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	out := l.call(ctx, &call{
		headers: &q.engine.headers, method: q.method, head: q.head, body: q.body, id: q.id,
		upstream: a.Upstream.Name, left: q.deadline - q.engine.kernel.Now(),
		unrepeatable: !q.route.Repeatable,
	}, q.route.Gather != nil)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Upstream", a.Upstream.Name), attribute.String("Outcome", string(out.Outcome)))
	}
	return out
}

// Take implements runner.Caller.
func (q *request) Take(part int, a *answer) {
	if q.route.Gather == nil {
		q.single = a
		return
	}
	q.parts.take(part, a)
}

// Ended implements runner.Observer: it keeps an upstream's own failure, and
// logs the calls that did not go well.
func (q *request) Ended(a policy.Action, r runner.Reply[*answer], took time.Duration, over bool) {
	q.sends[a.Part]++
	if r.Outcome == policy.CallOK {
		return
	}
	if r.Outcome == policy.CallFailed && !over {
		q.failure = r.Part
	}
	q.engine.kernel.Decisions.Info().Str("RequestID", q.id).Str("Group", q.plan.groups[a.Part]).
		Str("Upstream", a.Upstream.Name).Int("Call", q.sends[a.Part]).Str("Outcome", string(r.Outcome)).
		Int64("TookMillis", took.Milliseconds()).Msg("call ended")
}
