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

// message makes the body of an attempt.
type message func(part, attempt int) (wire.Identity, []byte, error)

// partCaller makes the calls of one request of a class.
type partCaller struct {
	engine  *Engine
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

// Call implements runner.Caller.
func (c *partCaller) Call(ctx context.Context, a policy.Action) runner.Reply[*wire.PartReply] {
	k := c.engine.kernel
	id, body, err := c.message(a.Part, a.Attempt)
	if err != nil {
		k.Log.Error().Err(err).Msg("message not encoded")
		return runner.Reply[*wire.PartReply]{Outcome: policy.CallNotSent}
	}
	outcome, part := c.engine.exchange(ctx, &exchange{
		upstream: a.Upstream.Name, service: c.service, path: c.path,
		id: id, body: body, snapshot: c.snapshot, deadline: c.deadline,
	})
	if part != nil {
		k.Fleet.Note(k.Now(), a.Upstream, policy.Window{Oldest: part.Oldest, Newest: part.Newest, Known: true}, part.Leaving)
	}
	return runner.Reply[*wire.PartReply]{Outcome: outcome, Part: part}
}

// Take implements runner.Caller.
func (c *partCaller) Take(_ int, p *wire.PartReply) { c.take(p) }

// exchange is one call to an upstream, made here or through the host that
// holds its slots.
type exchange struct {
	upstream string
	service  string
	path     string
	id       wire.Identity
	body     []byte
	snapshot uint64
	deadline time.Duration
}

// exchange makes a call within a span of its own.
func (e *Engine) exchange(ctx context.Context, x *exchange) (policy.CallOutcome, *wire.PartReply) {
	route := e.route(x.upstream)
	if route == nil {
		return policy.CallUnreachable, nil
	}
	ctx, cancel := context.WithTimeout(ctx, x.deadline-e.kernel.Now())
	defer cancel()
	if route.owner != "" {
		return e.relay(ctx, route.owner, x)
	}
	ctx, span := e.kernel.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	header := http.Header{"Content-Type": {"application/json"}}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Upstream", x.upstream), attribute.String("Shard", x.id.Shard), attribute.Int("Attempt", x.id.Attempt))
		wire.TraceTo(ctx, header)
	}
	r := route.caller.do(ctx, x.path, header, x.body)
	outcome, part := judge(&r, x.id, x.snapshot)
	outcome = runner.LookInto(ctx, outcome, route.caller.address)
	if outcome == policy.CallGarbage {
		route.caller.close()
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Outcome", string(outcome)), attribute.String("Status", strconv.Itoa(r.status)))
	}
	return outcome, part
}
