package pass

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

const (
	// maxSyncBodyBytes is the largest body that is written before the response is read. A
	// larger one is written concurrently, since an upstream may respond early.
	maxSyncBodyBytes = 8 << 10
	// perUpstreamHeaderBytes is the approximate size of the headers that differ between
	// upstreams.
	perUpstreamHeaderBytes = 128
)

type call struct {
	headers *kernel.Headers
	method  string
	// head is the request line and the headers that are the same for all upstreams.
	head []byte
	body []byte
	// route and id are the route name and the ID of the request.
	route, id string
	// identity serves to detect requests that crash upstreams; the zero value if the host
	// that planned the call did not send it.
	identity policy.RequestIdentity
	// upstream is the name of the upstream that may run the request; any other one must
	// refuse it.
	upstream string
	timeLeft time.Duration
	// nonRepeatable is true if the request is not repeatable. It is then sent only on a new
	// connection or a recently used one.
	nonRepeatable bool
	fromGather    bool
	// fromBatch is true for a call that a relay makes. If its connection breaks after it
	// was cancelled, it counts as cancelled.
	fromBatch bool
	// surplus are the IDs of the responses to earlier requests that were skipped.
	surplus []string
	// rejected is why a response was not accepted; nil if it was, or if none came.
	rejected error
	// noRoom is why a response was not held beside others; nil if it was, or if none came.
	noRoom error
}

// callUpstream makes a call in a span of its own, if it is admitted.
func (e *engine) callUpstream(ctx context.Context, pool *connPool, u *policy.Upstream, c *call) runner.Reply[*response] {
	if !e.admits(e.kernel.Now(), c, u) {
		return runner.Reply[*response]{Outcome: policy.CallBarred}
	}
	ctx, span := e.kernel.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	c.headers, c.upstream = &e.headers, u.Name
	out := pool.call(ctx, c)
	if out.Answer != nil {
		kernel.HoldBytes(ctx, out.Answer.memory)
	}
	e.reportBadResponses(c)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Upstream", u.Name), attribute.String("Outcome", string(out.Outcome)))
	}
	return out
}

// reportBadResponses counts and logs the responses to a call that belong to other requests, have no
// valid head, exceed a limit, or were not held beside others.
func (e *engine) reportBadResponses(c *call) {
	for _, id := range c.surplus {
		metrics.GetOrCreateCounter("loomgap_surplus_responses_total").Inc()
		e.kernel.RequestLog.Warn().Str("RequestID", c.id).Str("Upstream", c.upstream).Str("Surplus", config.Shorten(id)).
			Msg("surplus response skipped")
	}
	if c.noRoom != nil {
		metrics.GetOrCreateCounter("loomgap_responses_without_room_total").Inc()
		e.kernel.RequestLog.Warn().Err(c.noRoom).Str("RequestID", c.id).Str("Upstream", c.upstream).Msg("no memory for response, connection closed")
	}
	if c.rejected == nil {
		return
	}
	metrics.GetOrCreateCounter("loomgap_responses_rejected_total").Inc()
	if errors.Is(c.rejected, wire.ErrEndNotShown) {
		metrics.GetOrCreateCounter("loomgap_responses_without_end_total").Inc()
	}
	e.kernel.RequestLog.Warn().Err(c.rejected).Str("RequestID", c.id).Str("Upstream", c.upstream).Msg("response rejected, connection closed")
}

// call makes a call and classifies its result. A call that is cancelled while its
// connection is being made counts as not sent, and not against the upstream.
func (p *connPool) call(ctx context.Context, c *call) runner.Reply[*response] {
	out := p.send(ctx, c)
	if out.Outcome == policy.CallUnreachable && ctx.Err() != nil {
		out.Outcome = policy.CallNotSent
	}
	out.Outcome = runner.DetectCrash(ctx, out.Outcome, p.address)
	if c.fromBatch && out.Outcome == policy.CallBroken && ctx.Err() != nil {
		out.Outcome = policy.CallCancelled
	}
	return out
}

func (p *connPool) send(ctx context.Context, c *call) runner.Reply[*response] {
	n, err := p.get(ctx, c.id, c.nonRepeatable)
	if err != nil {
		return runner.Reply[*response]{Outcome: policy.CallUnreachable}
	}
	// Closing the connection tells the upstream that the call is cancelled.
	stop := context.AfterFunc(ctx, func() { _ = n.Close() })
	started := p.now()
	resp, reusable, err := n.roundTrip(c)
	switch {
	case errors.Is(err, kernel.ErrNoRoom):
		c.noRoom = err
	case isRejected(err):
		c.rejected = err
	}
	out := classify(c, resp, err)
	if out.Answer == nil && resp != nil {
		resp.memory.Release()
	}
	if stop() && reusable {
		p.put(n)
		return out
	}
	_ = n.Close()
	if err != nil && n.reused && p.now()-started >= unresponsiveCallTimeout {
		p.closeIdle(func(c *conn) bool { return c.idleSince < started })
	}
	out.NewConnReset = !n.reused && errors.Is(err, syscall.ECONNRESET)
	return out
}

// roundTrip writes the request and reads its response. The connection may be used again
// only if reusable is true.
func (n *conn) roundTrip(c *call) (resp *response, reusable bool, err error) {
	if err := n.SetDeadline(time.Now().Add(c.timeLeft)); err != nil {
		return nil, false, err
	}
	written := make(chan error, 1)
	if len(c.body) <= maxSyncBodyBytes {
		written <- n.write(c)
	} else {
		go func() { written <- n.write(c) }()
	}
	resp, reusable, err = n.readResponse(c)
	if err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		return resp, reusable && err == nil, nil
	default:
		// The upstream responded before it had the whole body, so the rest of the body may
		// still be written to the connection.
		return resp, false, nil
	}
}

func (n *conn) write(c *call) error {
	var b bytes.Buffer
	b.Grow(len(c.head) + len(c.body) + perUpstreamHeaderBytes)
	b.Write(c.head)
	fmt.Fprintf(&b, "%s: %d\r\n%s: %s\r\n\r\n", c.headers.DeadlineMillis, max(c.timeLeft.Milliseconds(), 1), c.headers.Upstream, c.upstream)
	b.Write(c.body)
	_, err := n.Write(b.Bytes())
	return err
}

// classify maps the response to a call that was sent, or its error, to an outcome. The
// reply contains the response only if it may be passed to the caller or merged.
func classify(c *call, resp *response, err error) runner.Reply[*response] {
	switch {
	case errors.Is(err, kernel.ErrNoRoom):
		return runner.Reply[*response]{Outcome: policy.CallNoRoom}
	case isRejected(err):
		return runner.Reply[*response]{Outcome: policy.CallMalformed}
	case err != nil:
		return runner.Reply[*response]{Outcome: policy.CallBroken}
	}
	out := runner.Reply[*response]{Load: parseLoad(resp.header.Get(c.headers.Load)), Answer: resp}
	switch {
	case resp.status == http.StatusMisdirectedRequest:
		out.Outcome = policy.CallMoved
	case resp.header.Get(c.headers.NotRun) != "":
		out.Outcome = policy.CallShed
	case resp.status < http.StatusMultipleChoices && resp.header.Get(c.headers.Stamp) == "":
		out.Outcome, out.Answer = policy.CallMalformed, nil
	case resp.status < http.StatusMultipleChoices || resp.status < http.StatusInternalServerError && !c.fromGather && !meansNotRun(resp.status):
		out.Outcome = policy.CallOK
	default:
		out.Outcome = policy.CallFailed
	}
	return out
}

// isRejected reports whether a call failed because its response was not accepted.
func isRejected(err error) bool {
	return errors.Is(err, errResponseMismatch) || errors.Is(err, errInvalidHead) || errors.Is(err, wire.ErrTooLarge)
}

// meansNotRun reports whether a status code means that the request was not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// parseLoad parses "running, waiting, slots". It returns the zero value for other text.
func parseLoad(text string) policy.Load {
	var counts [3]int
	rest := text
	for i := range counts {
		field, more, _ := strings.Cut(rest, ",")
		v, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || v < 0 {
			return policy.Load{}
		}
		counts[i], rest = v, more
	}
	return policy.Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
}
