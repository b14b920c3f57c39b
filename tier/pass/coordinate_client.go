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

// This file is the sender's end of the coordinator protocol: a host with little capacity
// forwards whole gathers to one with more.

const (
	// maxCoordinatorAttempts limits the coordinators that a request is sent to before this
	// host executes it itself.
	maxCoordinatorAttempts = 2
	// firstHeartbeatTimeout is how long after the round trip the first heartbeat of a
	// coordinator may come. A busy coordinator needs up to 20 ms to respond. An
	// unresponsive one takes up no more than a sixth of an objective of 300 ms.
	firstHeartbeatTimeout = 50 * time.Millisecond
	// heartbeatTimeout is how long after a heartbeat the next one may come. Three are
	// missed by then.
	heartbeatTimeout  = 150 * time.Millisecond
	heartbeatInterval = 40 * time.Millisecond
)

// heartbeatTimeouts bound the waits for the heartbeats of a coordinator.
type heartbeatTimeouts struct {
	// first limits the wait for the first heartbeat, beyond the round trip; next the wait
	// for each later one.
	first, next time.Duration
}

// forward has a coordinator execute the request, and reports whether the caller was
// responded to. If a coordinator does not begin, the next one is tried. If a coordinator
// has begun and is lost, the request fails: its calls may have run, and further calls would
// exceed the attempts that a request may have. The last coordinator that is tried may not
// decline for lack of room: it refuses the request if its gate does.
func (q *request) forward(ctx context.Context, w http.ResponseWriter) bool {
	if q.route.Gather == nil || !q.route.Repeatable || !q.in.isText() {
		return false
	}
	tried := triedCoordinators{hosts: map[string]bool{}}
	for range maxCoordinatorAttempts {
		target, ok := q.coordinator(tried)
		if !ok {
			return false
		}
		tried.hosts[target.Host] = true
		s := &sentRequest{request: q, target: target}
		reply := s.do(ctx)
		if s.busy {
			tried.declinedBy = target.Hall
		}
		switch {
		case ctx.Err() != nil:
			q.log(outcomeCancelled, 0).Str("Coordinator", target.Host).Msg("request cancelled by caller")
			return true
		case reply != nil:
			q.respondCoordinated(w, target.Host, reply)
			return true
		case s.begun:
			q.log(outcomeUnknown, http.StatusBadGateway).Str("Coordinator", target.Host).Msg("coordinator lost, request may have run")
			http.Error(w, noResponseText(outcomeUnknown), http.StatusBadGateway)
			return true
		}
	}
	return false
}

// respondCoordinated writes the response of a coordinator.
func (q *request) respondCoordinated(w http.ResponseWriter, coordinator string, reply *coordinateReply) {
	h := w.Header()
	for name, value := range reply.Header {
		h.Set(name, value)
	}
	held := time.Duration(reply.HeldMicros) * time.Microsecond
	q.log(reply.Outcome, reply.Status).Str("Coordinator", coordinator).Int64("HeldMillis", held.Milliseconds()).Msg("request answered by coordinator")
	q.write(w, reply.Status, http.Header{}, reply.Body)
	q.engine.overhead.forwarding.Observe(q.engine.kernel.Now() - q.times.startedAt - held)
}

// sentRequest is a request that a coordinator executes for this host. It is used by one
// goroutine.
type sentRequest struct {
	request   *request
	target    policy.ChosenCoordinator
	startedAt time.Duration
	// responded is true once the coordinator has sent a heartbeat or a reply.
	responded bool
	// begun is true once the coordinator was told to begin. Before that it makes no calls.
	begun bool
	// busy is true if the coordinator declined the request for lack of room.
	busy  bool
	reply coordinateReply
}

// do sends the request and waits for the reply. It returns nil if the coordinator sent none
// or declined.
func (s *sentRequest) do(ctx context.Context) *coordinateReply {
	q, e := s.request, s.request.engine
	ctx, span := e.kernel.Tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Coordinator", s.target.Host))
	}
	s.startedAt = e.kernel.Now()
	in := q.coordinateRequest(ctx)
	in.MayDecline = s.target.MayDecline
	first := e.hosts.roundTrip(s.target.Host) + e.coordinate.heartbeat.first
	e.hosts.sent(s.target.Host, s.startedAt+first)
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
		case room := <-heartbeats:
			s.observeRoom(room)
			if !s.begin(ctx, in.ID) {
				return nil
			}
			timer.Reset(e.coordinate.heartbeat.next)
		case err := <-done:
			return s.finish(err)
		case <-timer.C:
			s.abort(in.ID, false)
			return nil
		case <-ctx.Done():
			s.abort(in.ID, true)
			return nil
		}
	}
}

// coordinateRequest builds the message for a coordinator.
func (q *request) coordinateRequest(ctx context.Context) *coordinateRequest {
	e := q.engine
	now := e.kernel.Now()
	spent := max(now-q.times.startedAt, e.overhead.forwarding.Estimate())
	out := &coordinateRequest{
		ID: e.ids.next(), RequestID: q.in.id, HostName: q.in.hostName, Path: q.in.path, Route: q.route.Digest(),
		Method: q.in.method, Head: string(q.in.head), Body: q.in.body, Caller: q.in.identity.Caller,
		SpentMicros: spent.Microseconds(), LeftMillis: (q.times.deadline - now).Milliseconds(), Trace: wire.TraceParent(ctx),
	}
	if e.limitsLoad() {
		out.SpentBeforeMicros = q.spentBefore.Microseconds()
	}
	return out
}

// begin tells the coordinator to begin, after its first heartbeat, and reports whether it
// was told. This costs a round trip, and prevents a coordinator that was paused or cut off
// from executing a request that another host executes meanwhile.
func (s *sentRequest) begin(ctx context.Context, id string) bool {
	if s.begun {
		return true
	}
	s.recordFirstResponse(0)
	e := s.request.engine
	if err := e.kernel.Peers.Notify(ctx, s.target.Host, methodCoordinateBegin, coordinateID{ID: id}); err != nil {
		s.log().Err(err).Msg("failed to tell coordinator to begin")
		// The message may have arrived despite the error.
		s.begun = !notDelivered(err)
		return false
	}
	s.begun = true
	return true
}

// recordFirstResponse records the first response of the coordinator and the round trip; held
// is the time between the arrival of the request and the response.
func (s *sentRequest) recordFirstResponse(held time.Duration) {
	if s.responded {
		return
	}
	s.responded = true
	e := s.request.engine
	now := e.kernel.Now()
	e.hosts.answered(s.target.Host, s.target.Hall, now, max(now-s.startedAt-held, time.Microsecond))
}

// finish handles the reply to the request, or its error.
func (s *sentRequest) finish(err error) *coordinateReply {
	e := s.request.engine
	if err != nil {
		if !s.responded {
			e.hosts.unanswered(s.target.Host, s.target.Hall, e.kernel.Now(), true)
		}
		s.log().Bool("Begun", s.begun).Err(err).Msg("failed to get reply from coordinator")
		return nil
	}
	s.recordFirstResponse(time.Duration(s.reply.HeldMicros) * time.Microsecond)
	if s.reply.Declined == "" {
		s.observeRoom(s.reply.Room)
		return &s.reply
	}
	e.hosts.declined(s.target.Host, e.kernel.Now(), s.reply.Declined)
	if s.reply.Declined == declineBusy {
		s.observeDeclined()
	}
	s.log().Str("Declined", string(s.reply.Declined)).Msg("request declined by coordinator")
	return nil
}

// observeRoom records the room that the coordinator has reported; nil if it reported none.
func (s *sentRequest) observeRoom(r *roomReport) {
	e := s.request.engine
	if e.limitsLoad() {
		e.hosts.observeRoom(s.roomKey(), e.kernel.Now(), r)
	}
}

// observeDeclined records that the coordinator declined the request for lack of room. It
// guarantees that it has made no call, even if it was told to begin.
func (s *sentRequest) observeDeclined() {
	e := s.request.engine
	s.begun, s.busy = false, true
	if e.limitsLoad() {
		s.observeRoom(s.reply.Room)
		e.hosts.declinedForRoom(s.roomKey(), e.kernel.Now())
	}
}

func (s *sentRequest) roomKey() roomKey {
	return roomKey{host: s.target.Host, gate: gateKey(s.request.route.Gather.Groups)}
}

// abort stops the request at the coordinator, because it is unresponsive or the caller is
// gone.
func (s *sentRequest) abort(id string, callerGone bool) {
	e := s.request.engine
	if !s.responded {
		e.hosts.unanswered(s.target.Host, s.target.Hall, e.kernel.Now(), !callerGone)
	}
	if !callerGone {
		s.log().Bool("Begun", s.begun).Msg("coordinator is unresponsive")
	}
	go func() {
		if err := e.notifyStop(s.target.Host, methodCoordinateStop, coordinateID{ID: id}); err != nil {
			s.log().Err(err).Msg("failed to stop forwarded request")
		}
	}()
}

// log starts a log event about the request at its coordinator.
func (s *sentRequest) log() *zerolog.Event {
	return s.request.engine.kernel.RequestLog.Info().Str("RequestID", s.request.in.id).Str("Coordinator", s.target.Host)
}

// onCoordinateHeartbeat handles a heartbeat of a coordinator. It is dropped if the request
// has ended or if the previous heartbeat is not handled yet.
func (e *engine) onCoordinateHeartbeat(_ context.Context, in *coordinateHeartbeat) (any, error) {
	e.coordinate.inboxes.deliver(in.ID, in.Room)
	return struct{}{}, nil
}
