package pass

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// request is one routed request on its way; ServeHTTP has the stages that it passes.
type request struct {
	engine *engine
	// view is taken once; the request goes by it to its end.
	view *kernel.View
	// route and class are nil until the route is found.
	route *config.Route
	class *config.Class
	in    inboundRequest
	times requestTimes
	plan  plan
	// relays make calls of this request.
	relays    requestRelays
	responses responses
	// sends counts the calls sent for each part.
	callCounts []int
	// outcome is the last that was logged.
	outcome outcome
	// callerGone is true once the caller is gone.
	callerGone atomic.Bool
}

var (
	_ runner.Batcher[*response]  = (*request)(nil)
	_ runner.Caller[*response]   = (*request)(nil)
	_ runner.Observer[*response] = (*request)(nil)
	_ http.Handler               = (*engine)(nil)
)

// requestTimes are the times of a request, as time since the process started.
type requestTimes struct {
	// begun is when the request was read, by this host or before at another one.
	startedAt time.Duration
	// deadline is when the answer is due; 0 until the request is read.
	deadline time.Duration
	// patience is when an answer that covers enough is given; 0 until calls are made.
	patienceEnd time.Duration
	// decidedAt is when the run of the request ended; 0 before.
	decidedAt time.Duration
}

type responses struct {
	// single is the answer that was taken, for a request to one group.
	single *response
	// failure is the last failure that an upstream answered with.
	failure *response
	// parts are what was taken for a gather.
	parts gatheredParts
}

// ServeHTTP implements http.Handler. Each stage that a request passes has a file of its
// own, in the order of the package comment; findRoute, read, quarantined and handOver end
// the way of a request that they answer.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	e.kernel.AwaitPauseCheck()
	q := &request{
		engine: e, times: requestTimes{startedAt: e.kernel.Now()},
		in: inboundRequest{id: r.Header.Get(e.headers.RequestID), method: r.Method, subject: policy.RequestIdentity{Caller: callerAddr(r)}},
	}
	configured := e.start.await(r.Context(), startupWait-e.kernel.Now())
	q.view = e.kernel.View()
	if e.kernel.Phase() == kernel.PhaseDraining {
		w.Header().Set("Connection", "close")
	}
	if !configured {
		q.refuse(w, "no configuration yet", retryAfterNoConfig)
		return
	}
	if !q.findRoute(w, r) || !q.read(w, r) || q.refuseQuarantined(w) {
		return
	}
	ctx := wire.ExtractTrace(r.Context(), r.Header)
	if !q.forward(ctx, w) {
		q.serve(ctx, w)
		if q.times.decidedAt > 0 {
			e.overhead.response.Observe(e.kernel.Now() - q.times.decidedAt)
		}
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// serve plans the request, runs it and answers it. A caller that is gone gets no
// answer.
func (q *request) serve(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() != nil {
		q.log(outcomeGivenUp, 0).Msg("request given up by its caller")
		return
	}
	q.plan = q.engine.plan(q.view, q.route)
	if !q.plan.covers(q.class) {
		q.refuse(w, "too few groups have an upstream", retryAfterNoUpstream)
		return
	}
	q.callCounts = make([]int, len(q.plan.groups))
	caller := ctx
	ctx, span := q.engine.kernel.Tracer.Start(ctx, "route")
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("RequestID", q.in.id), attribute.String("Route", q.route.Name))
	}
	result, err := q.run(ctx)
	var refusal *policy.Refusal
	switch {
	case errors.As(err, &refusal):
		q.refuse(w, refusal.Reason, refusal.RetryAfter)
	case err != nil:
		q.engine.kernel.Log.Error().Err(err).Str("RequestID", q.in.id).Msg("request not carried out")
		q.refuse(w, "internal error", retryAfterNoUpstream)
	case caller.Err() != nil:
		q.log(outcomeGivenUp, 0).Int("Ran", result.Ran).Msg("request given up by its caller")
	case q.route.Gather != nil:
		q.respondGathered(ctx, w, &result)
	default:
		q.respondSingle(w, &result)
	}
}
