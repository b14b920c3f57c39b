package pass

import (
	"context"
	"errors"
	"net/http"

	"go.opentelemetry.io/otel/attribute"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// ServeHTTP implements http.Handler. Each stage that a request passes has a file of its
// own, in the order of the package comment; findRoute, read, quarantined and handOver end
// the way of a request that they answer.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	e.kernel.Wake()
	q := e.newRequest(r)
	configured := e.start.await(r.Context(), e.kernel.Now())
	q.view = e.kernel.View()
	if e.kernel.Phase() == kernel.PhaseDraining {
		w.Header().Set("Connection", "close")
	}
	if !configured {
		q.refuse(w, "no configuration yet", retryNoConfig)
		return
	}
	if !q.findRoute(w, r) || !q.read(w, r) || q.quarantined(w) {
		return
	}
	ctx := wire.TraceFrom(r.Context(), r.Header)
	if !q.handOver(ctx, w) {
		q.serve(ctx, w)
		q.noteAnswerTime()
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// noteAnswerTime observes how long the answer took to make and write.
func (q *request) noteAnswerTime() {
	if q.times.decidedAt > 0 {
		q.engine.overhead.answer.observe(q.engine.kernel.Now() - q.times.decidedAt)
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
		q.refuse(w, "too few groups have an upstream", retryNoUpstream)
		return
	}
	q.sends = make([]int, len(q.plan.groups))
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
		q.refuse(w, "internal error", retryNoUpstream)
	case caller.Err() != nil:
		q.log(outcomeGivenUp, 0).Int("Ran", result.Ran).Msg("request given up by its caller")
	case q.route.Gather != nil:
		q.answerGathered(ctx, w, &result)
	default:
		q.answerSingle(w, &result)
	}
}
