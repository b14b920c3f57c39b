package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// message makes the body of an attempt, and the identity that its reply must have.
type message func(part, attempt int) (wire.Identity, []byte, error)

// partCaller makes the calls of one request of a class.
type partCaller struct {
	engine  *engine
	service string
	path    string
	// snapshot is what every part must have; 0 for a write.
	snapshot uint64
	deadline time.Duration
	message  message
	// take merges a part.
	take func(p *wire.PartReply)
}

var _ runner.Caller[*wire.PartReply] = (*partCaller)(nil)

func (c *partCaller) Call(ctx context.Context, a policy.Action) runner.Reply[*wire.PartReply] {
	k := c.engine.kernel
	id, body, err := c.message(a.Part, a.Attempt)
	if err != nil {
		k.Log.Error().Err(err).Msg("message not encoded")
		return runner.Reply[*wire.PartReply]{Outcome: policy.CallNotSent}
	}
	outcome, part := c.engine.call(ctx, &upstreamCall{
		upstream: a.Upstream.Name, service: c.service, path: c.path,
		id: id, body: body, snapshot: c.snapshot, deadline: c.deadline,
	})
	if part != nil {
		k.Fleet.NoteStatus(k.Now(), a.Upstream, policy.Window{Oldest: part.Oldest, Newest: part.Newest, Known: true}, part.Leaving)
	}
	return runner.Reply[*wire.PartReply]{Outcome: outcome, Part: part}
}

func (c *partCaller) Take(_ int, p *wire.PartReply) { c.take(p) }

// upstreamCall is one call to an upstream, made here or through the host that
// holds its slots.
type upstreamCall struct {
	upstream string
	service  string
	// path is wire.PathPart or wire.PathPlace.
	path string
	// id is what the reply must repeat.
	id   wire.Identity
	body []byte
	// snapshot is what the reply must be made from; 0 for a write.
	snapshot uint64
	// deadline is when the call is given up, as time since the process started.
	deadline time.Duration
}

// call makes a call within a span of its own, or has the host that owns the
// upstream's slots make it.
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
		wire.TraceTo(ctx, header)
	}
	r := p.client.do(ctx, x.path, header, x.body)
	outcome, part := classify(&r, x.id, x.snapshot)
	outcome = runner.DetectCrash(ctx, outcome, p.client.address)
	if outcome == policy.CallGarbage {
		p.client.close()
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Outcome", string(outcome)), attribute.String("Status", strconv.Itoa(r.status)))
	}
	return outcome, part
}
