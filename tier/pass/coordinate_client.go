package pass

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// This file is the sender's end of the exchange with a coordinator: a weak host hands
// a whole gather over to a stronger one.

const (
	// coordinatorsTried is how many coordinators are tried before the host carries the
	// request out itself.
	maxCoordinatorAttempts = 2
	// firstSignBound is how long, beyond the round trip, the first sign of a
	// coordinator is waited for. A busy one needs up to 20 ms. A host that is frozen
	// or cut off takes no more than a sixth of an objective of 300 ms.
	firstHeartbeatTimeout = 50 * time.Millisecond
	// signBound is how long a coordinator may be silent after a sign: it misses three signs
	// in a row.
	heartbeatTimeout = 150 * time.Millisecond
	// signEvery is the time from one sign of a coordinator to the next.
	heartbeatInterval = 40 * time.Millisecond
)

// signTimes are the times within which a coordinator shows that it works on a request.
type heartbeatTimeouts struct {
	// first is waited for beyond the round trip, next from one sign to the next.
	first, next time.Duration
}

// handOver has a coordinator carry the request out, and reports whether the caller has
// its answer. If a coordinator does not begin, the next is asked. If one has begun and
// is lost, its calls may have run, and calls of this host would exceed what a request
// may have.
func (q *request) forward(ctx context.Context, w http.ResponseWriter) bool {
	if q.route.Gather == nil || !q.route.Repeatable {
		return false
	}
	tried := map[string]bool{}
	for range maxCoordinatorAttempts {
		target, ok := q.coordinator(tried)
		if !ok {
			return false
		}
		tried[target.Host] = true
		s := &sentRequest{request: q, target: target}
		reply := s.do(ctx)
		switch {
		case ctx.Err() != nil:
			q.log(outcomeGivenUp, 0).Str("Coordinator", target.Host).Msg("request given up by its caller")
			return true
		case reply != nil:
			q.respondCoordinated(w, target.Host, reply)
			return true
		case s.begun:
			q.log(outcomeUnknown, http.StatusBadGateway).Str("Coordinator", target.Host).Msg("coordinator lost")
			http.Error(w, noResponseText(outcomeUnknown), http.StatusBadGateway)
			return true
		}
	}
	return false
}

// answerCoordinated gives the caller what a coordinator answered.
func (q *request) respondCoordinated(w http.ResponseWriter, coordinator string, reply *coordinateReply) {
	h := w.Header()
	for name, value := range reply.Header {
		h.Set(name, value)
	}
	held := time.Duration(reply.HeldMicros) * time.Microsecond
	q.log(reply.Outcome, reply.Status).Str("Coordinator", coordinator).Int64("HeldMillis", held.Milliseconds()).Msg("request answered by a coordinator")
	q.write(w, reply.Status, http.Header{}, reply.Body)
	q.engine.overhead.forwarding.Observe(q.engine.kernel.Now() - q.times.startedAt - held)
}

// sentRequest is a request that a coordinator carries out. It is used by one
// goroutine.
type sentRequest struct {
	request *request
	target  policy.Candidate
	started time.Duration
	// heard is true once there was a sign of the coordinator.
	responded bool
	// begun is true once the coordinator was told to begin: before that it makes no
	// calls.
	begun bool
	reply coordinateReply
}

// carryOut sends the request and waits for its answer; nil if the coordinator gave
// none, or declined.
func (s *sentRequest) do(ctx context.Context) *coordinateReply {
	q, e := s.request, s.request.engine
	ctx, span := e.kernel.Tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Coordinator", s.target.Host))
	}
	s.started = e.kernel.Now()
	in := q.coordinateRequest(ctx)
	first := e.hosts.roundTrip(s.target.Host) + e.coordinate.heartbeat.first
	e.hosts.sent(s.target.Host, s.started+first)
	heartbeats, release := e.coordinate.inboxes.open(in.ID, 1)
	defer release()
	callCtx, stop := q.untilDeadline(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- e.kernel.Peers.Call(callCtx, s.target.Host, methodCoordinate, in, &s.reply) }()
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-heartbeats:
			if !s.begin(ctx, in.ID) {
				return nil
			}
			timer.Reset(e.coordinate.heartbeat.next)
		case err := <-done:
			return s.finish(err)
		case <-timer.C:
			s.giveUp(in.ID, false)
			return nil
		case <-ctx.Done():
			s.giveUp(in.ID, true)
			return nil
		}
	}
}

// coordinateRequest describes the request for a coordinator.
func (q *request) coordinateRequest(ctx context.Context) *coordinateRequest {
	e := q.engine
	now := e.kernel.Now()
	spent := max(now-q.times.startedAt, e.overhead.forwarding.Estimate())
	return &coordinateRequest{
		ID: e.ids.next(), RequestID: q.in.id, HostName: q.in.hostName, Path: q.in.path, Route: q.route.Digest(),
		Method: q.in.method, Head: string(q.in.head), Body: q.in.body, Caller: q.in.subject.Caller,
		SpentMicros: spent.Microseconds(), LeftMillis: (q.times.deadline - now).Milliseconds(), Trace: wire.TraceParent(ctx),
	}
}

// begin tells the coordinator to begin after its first sign, and reports whether it
// was told. That costs a round trip; without it, a coordinator that was frozen or cut
// off could begin a request that another host carries out meanwhile.
func (s *sentRequest) begin(ctx context.Context, id string) bool {
	if s.begun {
		return true
	}
	s.noteHeartbeat(0)
	e := s.request.engine
	if err := e.kernel.Peers.Notify(ctx, s.target.Host, methodCoordinateBegin, coordinateID{ID: id}); err != nil {
		s.log().Err(err).Msg("coordinator not told to begin")
		// The message may have arrived all the same.
		s.begun = !notDelivered(err)
		return false
	}
	s.begun = true
	return true
}

// noteSign notes the first sign of the coordinator, which had the request for a while
// before it.
func (s *sentRequest) noteHeartbeat(held time.Duration) {
	if s.responded {
		return
	}
	s.responded = true
	e := s.request.engine
	now := e.kernel.Now()
	e.hosts.answered(s.target.Host, s.target.Hall, now, max(now-s.started-held, time.Microsecond))
}

// finish takes the answer in, or that there is none.
func (s *sentRequest) finish(err error) *coordinateReply {
	e := s.request.engine
	if err != nil {
		if !s.responded {
			e.hosts.unanswered(s.target.Host, s.target.Hall, e.kernel.Now(), true)
		}
		s.log().Bool("Begun", s.begun).Err(err).Msg("request not answered by a coordinator")
		return nil
	}
	s.noteHeartbeat(time.Duration(s.reply.HeldMicros) * time.Microsecond)
	if s.reply.Declined != "" {
		e.hosts.declined(s.target.Host, e.kernel.Now(), s.reply.Declined)
		s.log().Str("Declined", string(s.reply.Declined)).Msg("request declined by a coordinator")
		return nil
	}
	return &s.reply
}

// giveUp ends the request at the coordinator: it is silent, or the caller is gone.
func (s *sentRequest) giveUp(id string, callerGone bool) {
	e := s.request.engine
	if !s.responded {
		e.hosts.unanswered(s.target.Host, s.target.Hall, e.kernel.Now(), !callerGone)
	}
	if !callerGone {
		s.log().Bool("Begun", s.begun).Msg("coordinator is silent")
	}
	go func() {
		if err := e.notifyStop(s.target.Host, methodCoordinateStop, coordinateID{ID: id}); err != nil {
			s.log().Err(err).Msg("forwarded request not stopped")
		}
	}()
}

// log begins a line about the request at its coordinator.
func (s *sentRequest) log() *zerolog.Event {
	return s.request.engine.kernel.RequestLog.Info().Str("RequestID", s.request.in.id).Str("Coordinator", s.target.Host)
}

// onCoordinateSign takes in that a coordinator works on a request. The request may have
// its answer by now, or not have taken the sign before in.
func (e *engine) onCoordinateHeartbeat(_ context.Context, in *coordinateID) (any, error) {
	e.coordinate.inboxes.deliver(in.ID, struct{}{})
	return struct{}{}, nil
}
