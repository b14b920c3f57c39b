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

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

const (
	// maxAnswer bounds the body of an upstream's answer, in bytes, so that a few of them
	// fit into the memory of a small host.
	maxResponseBytes = 8 << 20
	// answersRead is how many answers are read for one call: a surplus answer to the
	// request before may come first.
	maxResponsesRead = 2
	// eagerBody is the largest body, in bytes, that is written before the answer is read. A
	// longer one is written meanwhile, since an upstream may answer early.
	maxSyncBodyBytes = 8 << 10
	// ownHeaderBytes is about the size of the headers that differ between upstreams.
	perUpstreamHeaderBytes = 128
)

// errCrossed means that an answer is not that of the call it was read for.
var errResponseMismatch = errors.New("answer belongs to another request")

// answer is an upstream's whole answer, or one part of a block.
type response struct {
	status int
	header http.Header
	body   []byte
	// block is nil unless the part came merged with others.
	block *block
}

type call struct {
	headers *kernel.Headers
	method  string
	// head is the request up to the headers that differ between upstreams.
	head []byte
	body []byte
	// route and id name the request that the call belongs to.
	route, id string
	// subject identifies the request if it crashes upstreams; the zero value if the host
	// that planned the call did not send it.
	subject policy.RequestIdentity
	// upstream is the name that the upstream must have to run the request.
	upstream string
	// left is the time until the deadline.
	timeLeft time.Duration
	// unrepeatable is true for a request that goes on new connections only, or on one
	// that was used a moment ago.
	nonRepeatable bool
	// gathered is true for one part of a gather.
	fromGather bool
	// batched is true for a call of a batch: one that broke after it was cancelled
	// counts as cancelled.
	fromBatch bool
}

// callUpstream makes a call within a span of its own, unless the upstream may not get it
// now.
func (e *engine) callUpstream(ctx context.Context, l *connPool, u *policy.Upstream, c *call) runner.Reply[*response] {
	if !e.admits(e.kernel.Now(), c, u) {
		return runner.Reply[*response]{Outcome: policy.CallBarred}
	}
	ctx, span := e.kernel.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	c.headers, c.upstream = &e.headers, u.Name
	out := l.call(ctx, c)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Upstream", u.Name), attribute.String("Outcome", string(out.Outcome)))
	}
	return out
}

// call makes a call and judges the result. One that was cancelled while its connection
// was being made is no evidence against the upstream.
func (l *connPool) call(ctx context.Context, c *call) runner.Reply[*response] {
	out := l.send(ctx, c)
	if out.Outcome == policy.CallUnreachable && ctx.Err() != nil {
		out.Outcome = policy.CallNotSent
	}
	out.Outcome = runner.DetectCrash(ctx, out.Outcome, l.address)
	if c.fromBatch && out.Outcome == policy.CallBroken && ctx.Err() != nil {
		out.Outcome = policy.CallCancelled
	}
	return out
}

func (l *connPool) send(ctx context.Context, c *call) runner.Reply[*response] {
	n, err := l.get(ctx, c.nonRepeatable)
	if err != nil {
		return runner.Reply[*response]{Outcome: policy.CallUnreachable}
	}
	// A cancelled call closes its connection: that is how the upstream learns of it.
	stop := context.AfterFunc(ctx, func() { _ = n.Close() })
	started := l.now()
	resp, reusable, err := n.roundTrip(c)
	out := classify(c, resp, err)
	if stop() && reusable {
		l.put(n)
		return out
	}
	_ = n.Close()
	if err != nil && n.reused && l.now()-started >= silentCallTimeout {
		l.closeIdle(func(c *conn) bool { return c.idleSince < started })
	}
	out.NewConnReset = !n.reused && errors.Is(err, syscall.ECONNRESET)
	return out
}

// exchange writes the request and reads its answer. The connection may be reused only if
// keep is true.
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
		// The upstream answered before it had the whole body. What is not
		// written yet must not be followed by another request.
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

// read reads the answer to a call; a surplus answer to the call before is skipped.
func (n *conn) readResponse(c *call) (resp *response, reusable bool, err error) {
	for range maxResponsesRead {
		resp, reusable, err = n.readOneResponse(c.method)
		if err != nil {
			return nil, false, err
		}
		echoed := resp.header.Get(c.headers.RequestID)
		if echoed == c.id {
			n.lastRequestID = c.id
			return resp, reusable && n.reader.Buffered() == 0, nil
		}
		if echoed == "" || echoed != n.lastRequestID || !reusable {
			return nil, false, errResponseMismatch
		}
	}
	return nil, false, errResponseMismatch
}

// readOne reads one answer; keep is false if nothing can follow it.
func (n *conn) readOneResponse(method string) (a *response, reusable bool, err error) {
	r, err := http.ReadResponse(n.reader, &http.Request{Method: method})
	for err == nil && r.StatusCode < http.StatusOK {
		r, err = http.ReadResponse(n.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, false, err
	}
	defer r.Body.Close()
	body, err := wire.ReadBody(r, maxResponseBytes)
	if err != nil {
		return nil, false, err
	}
	n.updateIdleTimeout(r.Header)
	reusable = !r.Close && n.idleTimeout > 0
	return &response{status: r.StatusCode, header: r.Header, body: body}, reusable, nil
}

// noteKeepAlive takes in how long the upstream keeps an idle connection.
func (n *conn) updateIdleTimeout(h http.Header) {
	_, after, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return
	}
	n.idleTimeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
}

// judge says what the answer to a call that was sent means, or its error. A reply carries the answer only if it may
// be given to the caller or merged.
func classify(c *call, resp *response, err error) runner.Reply[*response] {
	switch {
	case errors.Is(err, errResponseMismatch) || errors.Is(err, wire.ErrTooLarge):
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

// promisesNotRun reports whether a status promises that the request did not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// loadOf reads "running, waiting, slots"; zero if the text is not that.
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
