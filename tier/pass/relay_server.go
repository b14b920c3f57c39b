package pass

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/kernel"
	"loomgap/tier/peers"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// Bounds of calls made for another host.
const (
	// firstReplyReserve is how much earlier than a hedge the first answer comes.
	firstReplyReserve = 4 * time.Millisecond
	// firstReplyLeast is the least time that the calls have for the first answer.
	firstReplyLeast = 5 * time.Millisecond
	// failureDelay and progressDelay are how long after a call has failed, or has ended
	// when the first answer was due before, others are waited for: one message
	// costs as much as several calls of one.
	failureDelay  = 2 * time.Millisecond
	progressDelay = 8 * time.Millisecond
	// cutGrace is how long records that were left out are kept after the deadline.
	cutGrace = time.Second
	// maxBatchCalls bounds the calls of one message.
	maxBatchCalls = 4096
	// maxBatchTime bounds how long another host may keep calls going.
	maxBatchTime = 10 * time.Minute
)

// servedBatches holds the servedBatches of other hosts that have calls under way.
type servedBatches struct {
	mu      sync.Mutex
	batches map[string]*servedBatch
}

// servedBatch is a set of calls made for another host.
type servedBatch struct {
	engine *Engine
	in     *batchRequest
	// subject is what the request is remembered by. Its caller is not known here, and
	// its fingerprint is made from the head: sent along, both would be a tenth of the
	// bytes between regions.
	subject  policy.Subject
	deadline time.Duration
	cancel   context.CancelFunc

	mu sync.Mutex
	// ended are calls that were not reported yet, with their records.
	ended  []callReport
	merger merger
	// cut are the records that answers left out, for GatherRecords.
	cut [][]byte
	// open counts the calls under way.
	open int
	// calls are the calls under way, by index.
	calls map[int]*servedCall
	// finished is closed when no call is under way any more.
	finished chan struct{}
	// begun is when the calls began, due when the first answer is due.
	begun, due time.Duration
	// failed is true while ended has a call that did not go well.
	failed bool
	// stopped is true once nobody wants the calls any more.
	stopped bool
	// changed holds one item once a call has ended that was not reported.
	changed chan struct{}
}

// servedCall is one call under way for another host.
type servedCall struct {
	cancel context.CancelFunc
	// upstream is nil until its slot is held.
	upstream *policy.Upstream
	// lingering is true once the call goes on though it is not wanted.
	lingering bool
}

func (e *Engine) handleRelay() {
	handle(e, methodBatch, "gather", e.onBatch)
	handle(e, methodBatchProgress, "progress", e.onBatchProgress)
	handle(e, methodBatchStop, "batch name", e.onBatchStop)
	handle(e, methodRecords, "request for records", e.onRecords)
}

// onBatch makes the calls, tells of those that ended and answers when all have.
func (e *Engine) onBatch(ctx context.Context, in *batchRequest) (any, error) {
	if len(in.Upstreams) == 0 || len(in.Upstreams) > maxBatchCalls || in.Top < 1 {
		return nil, fmt.Errorf("bad gather: %d upstreams, top %d: send 1 to %d, and a top of 1 or more", len(in.Upstreams), in.Top, maxBatchCalls)
	}
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	metrics.GetOrCreateCounter("loomgap_relayed_calls_total").Add(len(in.Upstreams))
	b := e.startBatch(in)
	for told := 0; ; told++ {
		out, last := b.wait()
		switch {
		case b.isStopped():
			// Nobody wants to know; calls that linger end by themselves.
			return nil, errBatchStopped
		case last:
			out.ProgressSent = told
			return out, nil
		}
		out.ID = in.ID
		if err := kernel.Push(ctx, methodBatchProgress, out); err != nil {
			b.stop(0)
			return nil, fmt.Errorf("tell of batch %s: %w", in.ID, err)
		}
	}
}

func (e *Engine) startBatch(in *batchRequest) *servedBatch {
	left := min(time.Duration(in.DeadlineMillis)*time.Millisecond, maxBatchTime)
	ctx, cancel := context.WithTimeout(wire.TraceInto(context.Background(), in.Trace), left)
	now := e.kernel.Now()
	b := &servedBatch{
		engine: e, in: in, subject: e.subjectOf(in), deadline: now + left, cancel: cancel,
		begun: now, due: now + min(time.Duration(in.FirstMillis)*time.Millisecond, left),
		merger: merger{top: in.Top}, open: len(in.Upstreams), calls: map[int]*servedCall{},
		finished: make(chan struct{}), changed: make(chan struct{}, 1),
	}
	e.servedBatches.mu.Lock()
	e.servedBatches.batches[in.ID] = b
	e.servedBatches.mu.Unlock()
	// Nobody may ask for records that were left out.
	time.AfterFunc(left+cutGrace, func() { e.servedBatches.drop(in.ID) })
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, name := range in.Upstreams {
		ctx, cancel := context.WithCancel(ctx)
		c := &servedCall{cancel: cancel}
		b.calls[i] = c
		go b.call(ctx, i, name, c)
	}
	return b
}

// subjectOf returns what a relayed request is remembered by; the zero value while no
// request is remembered.
func (e *Engine) subjectOf(in *batchRequest) policy.Subject {
	if !e.kernel.Fleet.HasSuspects() {
		return policy.Subject{}
	}
	content := contentOf([]byte(in.Head), in.Body)
	return policy.Subject{Fingerprint: content.Fingerprint()}
}

// call makes one call within this host's slots.
func (b *servedBatch) call(ctx context.Context, i int, name string, c *servedCall) {
	defer c.cancel()
	k := b.engine.kernel
	reply := runner.Reply[*answer]{Outcome: policy.CallUnreachable}
	started := k.Now()
	u, l := k.Fleet.Find(name), (*b.engine.links.Load())[name]
	if u != nil && l != nil {
		switch {
		case k.Fleet.Stalled(started, u):
			reply.Outcome = policy.CallStalled
		case k.Fleet.Acquire(ctx, u, b.deadline, k.Now):
			started = k.Now()
			b.holdSlot(c, u)
			k.Fleet.Sent(started, u)
			reply = b.exchange(ctx, l, u)
			now := k.Now()
			near, _ := k.Fleet.RoutedPools(b.in.Route)
			policy.Deliver(k.Fleet.Finish(now, policy.Call{
				Upstream: u, Pool: near, Outcome: reply.Outcome, Took: now - started, Load: reply.Load, Crowded: reply.Crowded,
				Lingering: b.release(i, c),
			}))
		default:
			reply.Outcome = policy.CallNotSent
		}
	}
	out := callReport{Index: i, TookMicros: (k.Now() - started).Microseconds()}
	if reply.Outcome != policy.CallOK {
		out.Outcome = string(reply.Outcome)
		b.end(out, nil)
		return
	}
	out.Stamp = reply.Part.header.Get(b.engine.headers.Stamp)
	b.end(out, reply.Part.body)
}

func (b *servedBatch) holdSlot(c *servedCall, u *policy.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.upstream = u
}

// release takes a call out of those that may linger, and reports whether it did.
func (b *servedBatch) release(i int, c *servedCall) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.calls, i)
	return c.lingering
}

// stop ends the calls that nobody wants any more. Those that may linger go on
// for a while, since their answers show when an upstream answers again.
func (b *servedBatch) stop(linger time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	b.forget()
	for _, c := range b.calls {
		if linger > 0 && c.upstream != nil && b.engine.kernel.Fleet.Linger(c.upstream) {
			c.lingering = true
			time.AfterFunc(linger, c.cancel)
			continue
		}
		c.cancel()
	}
}

func (b *servedBatch) exchange(ctx context.Context, l *link, u *policy.Upstream) runner.Reply[*answer] {
	k := b.engine.kernel
	left := b.deadline - k.Now()
	if left <= 0 || !k.Awake() || ctx.Err() != nil {
		return runner.Reply[*answer]{Outcome: policy.CallNotSent}
	}
	if !b.engine.admits(k.Now(), &admission{route: b.in.Route, request: b.in.RequestID, subject: b.subject}, u) {
		return runner.Reply[*answer]{Outcome: policy.CallBarred}
	}
	ctx, span := k.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	out := l.call(ctx, &call{
		headers: &b.engine.headers, method: b.in.Method, head: []byte(b.in.Head), body: b.in.Body,
		id: b.in.RequestID, upstream: u.Name, left: left,
	}, true)
	if out.Outcome == policy.CallBroken && ctx.Err() != nil {
		out.Outcome = policy.CallCancelled
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Upstream", u.Name), attribute.String("Outcome", string(out.Outcome)))
	}
	return out
}

// end notes a call that ended, with its records if it went well.
func (b *servedBatch) end(c callReport, records []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.merger.add(records)
	b.ended = append(b.ended, c)
	b.failed = b.failed || c.Stamp == ""
	delete(b.calls, c.Index)
	if b.open--; b.open == 0 {
		close(b.finished)
		b.cancel()
		return
	}
	select {
	case b.changed <- struct{}{}:
	default: // the news before it was not taken in yet
	}
}

// wait returns what ended, as soon as there is something to tell; last is true if
// nothing follows. What is given is not given again.
func (b *servedBatch) wait() (out *batchReply, last bool) {
	b.await(b.engine.kernel.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.engine.kernel.Now()
	out = &batchReply{Ended: b.ended, Due: now >= b.due, Conditions: b.engine.kernel.Fleet.Conditions(now), HeldMicros: (now - b.begun).Microseconds()}
	out.Records, out.Cut = b.cutRecords(b.merger.result(), goodCalls(b.ended))
	b.ended, b.merger.records, b.failed = nil, nil, false
	last = b.open == 0 || now >= b.deadline
	if last {
		b.forget()
	}
	return out, last
}

func (b *servedBatch) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// goodCalls counts the calls that went well.
func goodCalls(ended []callReport) int {
	n := 0
	for _, c := range ended {
		if c.Stamp != "" {
			n++
		}
	}
	return n
}

// forget drops a batch that nobody asks for any more, but for records that were
// left out; it is locked. Those are dropped some time after the deadline.
func (b *servedBatch) forget() {
	if len(b.cut) == 0 {
		b.engine.servedBatches.drop(b.in.ID)
	}
}

// await returns when all calls have ended, when the first answer is due, soon
// after a call has failed, and once the first answer was due, soon after any
// call has ended.
func (b *servedBatch) await(now time.Duration) {
	due := now >= b.due
	until := b.due
	if due {
		until = b.deadline
	}
	timer := time.NewTimer(until - now)
	defer timer.Stop()
	for {
		select {
		case <-b.finished:
			return
		case <-timer.C:
			return
		case <-b.changed:
			now = b.engine.kernel.Now()
			if soon, told := b.progressDue(due); told && now+soon < until {
				until = now + soon
				timer.Reset(soon)
			}
		}
	}
}

// progressDue returns how long what ended may wait for others; false if it need not be
// told of by itself.
func (b *servedBatch) progressDue(due bool) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(b.ended) == 0:
		return 0, false
	case b.failed:
		return failureDelay, true
	default:
		return progressDelay, due
	}
}

func (r *servedBatches) find(id string) (*servedBatch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.batches[id]; b != nil {
		return b, nil
	}
	return nil, fmt.Errorf("%w: %q ended or was never begun", errNoBatch, id)
}

func (r *servedBatches) drop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.batches, id)
}

// onBatchStop ends the calls of a batch.
func (e *Engine) onBatchStop(_ context.Context, in *batchStop) (any, error) {
	b, err := e.servedBatches.find(in.ID)
	if err != nil {
		return nil, err
	}
	linger := policy.LingerFor
	verdict, _ := e.kernel.Fleet.Judge(e.kernel.Now(), b.subject)
	if in.CallerGone || verdict != policy.VerdictSound {
		linger = 0
	}
	b.stop(linger)
	return struct{}{}, nil
}

// unreached reports whether an error proves that no call of a batch was begun.
func unreached(err error) bool { return errors.Is(err, peers.ErrNoPeer) }
