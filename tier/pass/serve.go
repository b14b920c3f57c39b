package pass

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"loomgap/tier/config"
	"loomgap/tier/guard"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// request is a routed request. ServeHTTP lists its stages.
type request struct {
	engine *engine
	// view is used for the whole request.
	view *kernel.View
	// route and class are nil until the route is found.
	route *config.Route
	class *config.Class
	in    inboundRequest
	times requestTimes
	plan  plan
	// relays tracks the relays that make calls of this request.
	relays    requestRelays
	responses responses
	// callCounts has the number of calls sent for each part.
	callCounts []int
	// gate is the gate that the request passes and ticket its place there; nil if routed
	// requests are not limited.
	gate   *gate
	ticket *policy.Ticket
	// gateDecision is shown in the log; nil unless the gate made the request wait or refused
	// it.
	gateDecision *gateDecision
	// admittedAt is when the gate admitted the request.
	admittedAt time.Duration
	// spentBefore is the time between the caller's first attempt and this one, as far as
	// known.
	spentBefore time.Duration
	// included counts the parts that were merged.
	included int
	// outcome is the last outcome that was logged.
	outcome outcome
	// conn is the caller's connection; nil if another host forwarded the request.
	conn *guard.Conn
	// awaitCaller notes that the caller does not take the response yet, until the returned function is
	// called; nil if another host forwarded the request.
	awaitCaller func() (done func())
	// callerGone is true once the caller has closed the connection.
	callerGone atomic.Bool
}

var (
	_ runner.Batcher[*response]  = (*request)(nil)
	_ runner.Caller[*response]   = (*request)(nil)
	_ runner.Observer[*response] = (*request)(nil)
	_ http.Handler               = (*engine)(nil)
)

// requestTimes are times of a request, each as the time since the process started.
type requestTimes struct {
	// startedAt is when the request was received, by this host or by the one that forwarded
	// it.
	startedAt time.Duration
	// deadline is when the response is due; 0 until the request is read.
	deadline time.Duration
	// patienceEnd is when a response that meets the coverage is returned without waiting
	// for further parts; 0 until calls are made.
	patienceEnd time.Duration
	// decidedAt is when the run of the request ended; 0 before that.
	decidedAt time.Duration
}

type responses struct {
	// single is the accepted response to a request to one group.
	single *response
	// failure is the last error response of an upstream.
	failure *response
	parts   gatheredParts
}

// ServeHTTP implements http.Handler. The stages of a request are in separate files, in the
// order listed in the package comment. If findRoute, read, refuseQuarantined or forward
// responds to the request, the later stages are skipped.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	e.kernel.AwaitPauseCheck()
	heldCtx, release := kernel.WithHeldBytes(r.Context())
	defer release()
	r = r.WithContext(heldCtx)
	q := &request{
		engine: e, conn: guard.FromContext(r.Context()), times: requestTimes{startedAt: e.kernel.Now()},
		in: inboundRequest{id: r.Header.Get(e.headers.RequestID), method: r.Method, identity: policy.RequestIdentity{Caller: callerAddr(r)}},
	}
	q.awaitCaller = func() (done func()) { return kernel.AwaitClient(heldCtx, q.conn.GiveWay) }
	q.resetTakeTime(w)
	configured := e.start.await(r.Context(), startupWait-e.kernel.Now())
	q.view = e.kernel.View()
	if e.kernel.Phase() == kernel.PhaseDraining {
		w.Header().Set("Connection", "close")
	}
	if !configured {
		q.refuse(w, "no configuration yet", retryAfterNoConfig)
		return
	}
	if !q.findRoute(w, r) || !q.read(w, r) || q.refuseQuarantined(w) || q.refuseAtStop(w) {
		return
	}
	ctx := wire.ExtractTrace(r.Context(), r.Header)
	began := e.kernel.Now()
	if q.forward(ctx, w) {
		q.recordRun(began)
	} else {
		q.serve(ctx, w)
		if q.times.decidedAt > 0 {
			e.overhead.response.Observe(e.kernel.Now() - q.times.decidedAt)
		}
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// serve plans the request, runs it and responds to it, unless the caller is gone.
func (q *request) serve(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() != nil {
		q.log(outcomeCancelled, 0).Msg("request cancelled by caller")
		return
	}
	q.makePlan()
	if !q.plan.covers(q.class) {
		q.refuse(w, "too few groups have an upstream", retryAfterNoUpstream)
		return
	}
	if !q.admit(ctx, w) {
		return
	}
	defer q.leaveGate(false)
	// The stop may have begun while the request waited.
	if q.refuseAtStop(w) {
		return
	}
	q.callCounts = make([]int, len(q.plan.groups))
	caller := ctx
	ctx, span := q.engine.kernel.Tracer.Start(ctx, "route")
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("RequestID", q.in.id), attribute.String("Route", q.route.Name))
	}
	began := q.engine.kernel.Now()
	result, err := q.run(ctx)
	if result.Ran > 0 {
		q.recordRun(began)
	}
	var refusal *policy.Refusal
	switch {
	case errors.As(err, &refusal):
		q.refuse(w, refusal.Reason, refusal.RetryAfter)
	case err != nil:
		q.engine.kernel.Log.Error().Err(err).Str("RequestID", q.in.id).Msg("failed to run request")
		q.refuse(w, "internal error", retryAfterNoUpstream)
	case caller.Err() != nil:
		q.log(outcomeCancelled, 0).Int("Ran", result.Ran).Msg("request cancelled by caller")
	case q.route.Gather != nil:
		q.respondGathered(ctx, w, &result)
	default:
		q.respondSingle(w, &result)
	}
}
