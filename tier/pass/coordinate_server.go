package pass

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// This file is the coordinator's end of the protocol: it executes whole gathers for hosts
// with less capacity.

// beginTimeout is how long a coordinator waits to be told to begin. It exceeds the round
// trip to a busy host and is shorter than most objectives.
const beginTimeout = 200 * time.Millisecond

// servedRequest is a request that this host executes for another one.
type servedRequest struct {
	// begin opens when the sender has told this host to begin.
	begin  startGate
	cancel context.CancelFunc
}

// handleCoordinate registers the handlers of both ends of the protocol.
func (e *engine) handleCoordinate() {
	const name = "name of a forwarded request"
	kernel.HandleMessage(e.kernel, methodCoordinate, "forwarded request", e.onCoordinate)
	kernel.HandleMessage(e.kernel, methodCoordinateHeartbeat, name, e.onCoordinateHeartbeat)
	kernel.HandleMessage(e.kernel, methodCoordinateBegin, name, e.onCoordinateBegin)
	kernel.HandleMessage(e.kernel, methodCoordinateStop, name, e.onCoordinateStop)
}

func (e *engine) onCoordinate(ctx context.Context, in *coordinateRequest) (any, error) {
	if in.ID == "" || in.RequestID == "" || in.LeftMillis <= 0 {
		return nil, fmt.Errorf("bad forwarded request %q: send ID, RequestID and LeftMillis above 0", in.ID)
	}
	q, declined := e.accept(in)
	if declined != "" {
		return decline(declined, nil), nil
	}
	room := q.roomReporter()
	busy := func() bool { return in.MayDecline && e.limitsLoad() && e.isBusy(q.outlook()) }
	if busy() {
		return decline(declineBusy, room()), nil
	}
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	metrics.GetOrCreateCounter("loomgap_carried_requests_total").Inc()
	heldCtx, release := kernel.WithHeldBytes(wire.WithTraceParent(context.Background(), in.Trace))
	defer release()
	runCtx, cancel := context.WithCancel(heldCtx)
	defer cancel()
	served := &servedRequest{begin: newStartGate(), cancel: cancel}
	e.coordinate.served.add(in.ID, served)
	defer e.coordinate.served.drop(in.ID)
	started := e.kernel.Now()
	go e.sendHeartbeats(ctx, runCtx, coordinateHeartbeat{ID: in.ID}, room, cancel)
	if !served.begin.await(runCtx, beginTimeout) {
		return decline(declineNotBegun, nil), nil
	}
	// The room may have been used up since the first check. No call has been made yet.
	if busy() {
		return decline(declineBusy, room()), nil
	}
	w := &recorder{header: http.Header{}}
	q.serve(runCtx, w)
	reply := w.reply(q.outcome, e.kernel.Now()-started)
	reply.Room = room()
	return reply, nil
}

// decline returns the reply for a request that was declined, and counts it.
func decline(why declineReason, r *roomReport) *coordinateReply {
	metrics.GetOrCreateCounter(`loomgap_forward_declined_total{Reason="` + string(why) + `"}`).Inc()
	return &coordinateReply{Declined: why, Room: r}
}

// accept creates the request that another host has sent, or declines it.
func (e *engine) accept(in *coordinateRequest) (*request, declineReason) {
	e.kernel.AwaitPauseCheck()
	if e.kernel.Phase() != kernel.PhaseReady {
		return nil, declineStopping
	}
	now := e.kernel.Now()
	q := &request{
		engine: e, view: e.kernel.View(),
		in: inboundRequest{id: in.RequestID, hostName: in.HostName, path: in.Path, method: in.Method, identity: policy.RequestIdentity{Caller: in.Caller}},
		times: requestTimes{
			startedAt: now - max(time.Duration(in.SpentMicros)*time.Microsecond, 0),
			deadline:  now + time.Duration(in.LeftMillis)*time.Millisecond,
		},
		spentBefore: max(time.Duration(in.SpentBeforeMicros)*time.Microsecond, 0),
	}
	q.in.setContent([]byte(in.Head), in.Body)
	q.route, q.class = q.view.Index.Route(in.HostName, in.Path)
	if q.route == nil || q.route.Fault != nil || q.route.Digest() != in.Route {
		return nil, declineRoute
	}
	return q, ""
}

// sendHeartbeats sends heartbeats to the sender of a request until the request ends.
func (e *engine) sendHeartbeats(ctx, runCtx context.Context, beat coordinateHeartbeat, room func() *roomReport, cancel context.CancelFunc) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		beat.Room = room()
		if err := kernel.Push(ctx, methodCoordinateHeartbeat, beat); err != nil {
			e.kernel.RequestLog.Info().Err(err).Msg("sender of forwarded request is gone")
			cancel()
			return
		}
		select {
		case <-runCtx.Done():
			return
		case <-tick.C:
		}
	}
}

func (e *engine) onCoordinateBegin(_ context.Context, in *coordinateID) (any, error) {
	r := e.coordinate.served.find(in.ID)
	if r == nil {
		return nil, fmt.Errorf("request %q ended or was never sent", in.ID)
	}
	r.begin.open()
	return struct{}{}, nil
}

// onCoordinateStop cancels a request if it is still in flight.
func (e *engine) onCoordinateStop(_ context.Context, in *coordinateID) (any, error) {
	if r := e.coordinate.served.find(in.ID); r != nil {
		r.cancel()
	}
	return struct{}{}, nil
}

// recorder records a response for the host that sent the request.
type recorder struct {
	status int
	header http.Header
	bytes.Buffer
}

var _ http.ResponseWriter = (*recorder)(nil)

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) { r.status = status }

// reply converts the recorded response to a reply.
func (r *recorder) reply(o outcome, held time.Duration) *coordinateReply {
	out := &coordinateReply{
		Status: r.status, Outcome: o, Header: map[string]string{}, Body: r.Bytes(), HeldMicros: held.Microseconds(),
	}
	for name := range r.header {
		if v := r.header.Get(name); v != "" {
			out.Header[name] = v
		}
	}
	return out
}
