package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/kernel"
	"loomgap/tier/peers"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// partCaller makes the calls of one request.
type partCaller struct {
	engine *engine
	// upstreamCall holds the fields that the calls of all parts share.
	upstreamCall
	// message returns the message of an attempt and the identity that its reply must
	// have.
	message func(part, attempt int) (wire.Identity, any)
	// take merges a part into the answer.
	take func(p *wire.PartReply)
}

var _ runner.Caller[*wire.PartReply] = (*partCaller)(nil)

func (c *partCaller) Call(ctx context.Context, a policy.Action) runner.Reply[*wire.PartReply] {
	k := c.engine.kernel
	id, message := c.message(a.Part, a.Attempt)
	body, err := wire.Encode(message)
	if err != nil {
		k.Log.Error().Err(err).Msg("failed to encode message")
		return runner.Reply[*wire.PartReply]{Outcome: policy.CallNotSent}
	}
	x := c.upstreamCall
	x.upstream, x.id, x.body = a.Upstream.Name, id, body
	outcome, part := c.engine.call(ctx, &x)
	if part != nil {
		k.Fleet.RecordStatus(k.Now(), a.Upstream, policy.SnapshotRange{Oldest: part.Oldest, Newest: part.Newest, Known: true}, part.Leaving)
	}
	return runner.Reply[*wire.PartReply]{Outcome: outcome, Answer: part}
}

func (c *partCaller) Merge(_ int, p *wire.PartReply) { c.take(p) }

// upstreamCall is one call to an upstream, made by this host or through the host that owns
// the upstream's slots.
type upstreamCall struct {
	upstream string
	service  string
	// path is wire.PathPart or wire.PathPlace.
	path string
	// id is the identity that the reply must have.
	id   wire.Identity
	body []byte
	// snapshot is the snapshot that the reply must be based on; 0 for a write.
	snapshot uint64
	// deadline is when the call is aborted, as time since the process started.
	deadline time.Duration
}

// call makes a call within its own span, or has the host that owns the upstream's slots
// make it.
func (e *engine) call(ctx context.Context, x *upstreamCall) (policy.CallOutcome, *wire.PartReply) {
	p := e.endpoint(x.upstream)
	if p == nil {
		return policy.CallUnreachable, nil
	}
	ctx, cancel := context.WithTimeout(ctx, x.deadline-e.kernel.Now())
	defer cancel()
	if p.owner != "" {
		return e.sendRelay(ctx, p.owner, x)
	}
	ctx, span := e.kernel.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	header := http.Header{"Content-Type": {"application/json"}}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Upstream", x.upstream), attribute.String("Shard", x.id.Shard), attribute.Int("Attempt", x.id.Attempt))
		wire.InjectTrace(ctx, header)
	}
	r := p.client.do(ctx, x.path, header, x.body, wire.MaxReplyBytes)
	outcome, part := classify(&r, x.id, x.snapshot)
	if part == nil || !kernel.HoldBytes(ctx, r.memory) {
		r.release()
	}
	if outcome == policy.CallNoRoom {
		e.kernel.RequestLog.Warn().Err(r.err).Str("RequestID", x.id.RequestID).Str("Upstream", x.upstream).Msg("no memory for response, connection closed")
	}
	outcome = runner.DetectCrash(ctx, outcome, p.client.address)
	if outcome == policy.CallMalformed {
		p.client.close()
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Outcome", string(outcome)), attribute.String("Status", strconv.Itoa(r.status)))
	}
	return outcome, part
}

// methodRelay is the peer method that makes a call for another host.
const methodRelay = "Relay"

// sendRelay has the host that owns an upstream's slots make a call. The request is sent only
// once: as soon as it may have been sent, only the owner's reply can tell whether the call
// ran.
func (e *engine) sendRelay(ctx context.Context, owner string, x *upstreamCall) (policy.CallOutcome, *wire.PartReply) {
	ctx, span := e.kernel.Tracer.Start(ctx, "relay", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("Owner", owner), attribute.String("Upstream", x.upstream))
	in := wire.RelayRequest{
		Upstream: x.upstream, Service: x.service, Path: x.path, Body: string(x.body), Identity: x.id,
		Snapshot: x.snapshot, DeadlineMillis: (x.deadline - e.kernel.Now()).Milliseconds(), Trace: wire.TraceParent(ctx),
	}
	var out wire.RelayReply
	err := e.kernel.Peers.Call(ctx, owner, methodRelay, in, &out)
	switch {
	case errors.Is(err, peers.ErrNoPeer):
		return policy.CallUnreachable, nil
	case err != nil:
		return policy.CallBroken, nil
	case policy.CallOutcome(out.Outcome) != policy.CallOK:
		return policy.CallOutcome(out.Outcome), nil
	case out.Part.Identity != x.id || x.snapshot > 0 && out.Part.Snapshot != x.snapshot:
		return countDroppedReply("crossed"), nil
	}
	return policy.CallOK, &out.Part
}

// maxRelayTimeout limits the deadline of relayed calls. It is the longest deadline that a
// class may have.
const maxRelayTimeout = 10 * time.Minute

// serveRelay makes a call that another host sent with sendRelay.
func (e *engine) serveRelay(ctx context.Context, in *wire.RelayRequest) (any, error) {
	if in.Path != wire.PathPart && in.Path != wire.PathPlace {
		return nil, fmt.Errorf("bad relay path %q: use %s or %s", in.Path, wire.PathPart, wire.PathPlace)
	}
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	ctx, release := kernel.WithHeldBytes(wire.WithTraceParent(ctx, in.Trace))
	defer release()
	left := min(time.Duration(in.DeadlineMillis)*time.Millisecond, maxRelayTimeout)
	x := &upstreamCall{
		upstream: in.Upstream, service: in.Service, path: in.Path, id: in.Identity,
		body: []byte(in.Body), snapshot: in.Snapshot, deadline: e.kernel.Now() + left,
	}
	outcome, part := e.callWithinSlots(ctx, x)
	out := wire.RelayReply{Outcome: string(outcome)}
	if part != nil {
		out.Part = *part
	}
	return out, nil
}

// callWithinSlots makes a call for another host as soon as this host has a free slot of the
// upstream. The call is shed if no slot becomes free before the deadline.
func (e *engine) callWithinSlots(ctx context.Context, x *upstreamCall) (policy.CallOutcome, *wire.PartReply) {
	u := e.kernel.Fleet.Find(x.upstream)
	p := e.endpoint(x.upstream)
	if u == nil || p == nil || p.owner != "" {
		// The hosts' views differ for the moment. The caller retries elsewhere.
		return policy.CallShed, nil
	}
	if !e.kernel.Fleet.Acquire(ctx, u, x.deadline, e.kernel.Now) {
		return policy.CallShed, nil
	}
	started := e.kernel.Now()
	outcome, part := policy.CallNotSent, (*wire.PartReply)(nil)
	if e.kernel.Responsive() && started < x.deadline {
		outcome, part = e.call(ctx, x)
	}
	now := e.kernel.Now()
	policy.NotifyGranted(e.kernel.Fleet.Finish(now, policy.Call{
		Upstream: u, Pool: e.kernel.Fleet.LatencyPool(x.service), Outcome: outcome, Took: now - started,
	}))
	return outcome, part
}
