package pass

import (
	"context"
	"encoding/json"
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

// Methods of the peer protocol.
const (
	// MethodGather has a host near some upstreams make calls and merge what
	// they answer. It is answered when all calls have ended.
	MethodGather = "Gather"
	// MethodProgress reports calls to the sender of Gather that ended before: when
	// the first answer is due, soon after a call has failed, so that another
	// upstream can be asked, and from then on soon after any call ended, so that
	// a call that is stuck does not hold back the others.
	MethodProgress = "GatherProgress"
	// MethodStop cancels the calls still under way.
	MethodStop = "GatherStop"
)

// Bounds of calls made for another host.
const (
	// gatherReserve is how much earlier than a hedge the first answer comes.
	gatherReserve = 4 * time.Millisecond
	// gatherLeast is the least time that the calls have for the first answer.
	gatherLeast = 5 * time.Millisecond
	// failureDelay and progressDelay are how long after a call has failed, or has ended
	// when the first answer was due before, others are waited for: one message
	// costs as much as several calls of one.
	failureDelay  = 2 * time.Millisecond
	progressDelay = 8 * time.Millisecond
	// cutGrace is how long records that were left out are kept after the deadline.
	cutGrace = time.Second
	// maxGathered bounds the calls of one message.
	maxGathered = 4096
	// maxGatherTime bounds how long another host may keep calls going.
	maxGatherTime = 10 * time.Minute
)

// GatherRequest asks for calls to upstreams in the hall of the host it goes to.
type GatherRequest struct {
	// ID names the batch among those of the sender.
	ID string
	// Route names the route whose latencies the calls belong to.
	Route     string
	RequestID string
	Method    string
	// Head is the request as it goes to every upstream.
	Head string
	Body []byte `json:",omitempty"`
	// Upstreams are called once each.
	Upstreams []string
	// Top is how many records the answer to the caller has, Of how many parts it
	// is made of. Records that are hardly needed may be left out of an answer;
	// with 0 for Of none are.
	Top int
	Of  int `json:",omitempty"`
	// FirstMillis is when the first answer is due, 0 if any call that ends is to be
	// told of; DeadlineMillis is when the calls end; both from now.
	FirstMillis, DeadlineMillis int64
	Trace                       string `json:",omitempty"`
}

// GatherReply reports the calls that ended and were not reported before.
type GatherReply struct {
	// ID is that of the batch, for GatherProgress only.
	ID string `json:",omitempty"`
	// Ended are the calls that ended, by index of Upstreams.
	Ended []GatheredCall
	// Records are the greatest records of all calls in Ended that went well, the
	// greatest first. With Cut above 0 there are more, which GatherRecords gives
	// under that number.
	Records []byte
	Cut     int `json:",omitempty"`
	// Due is true once the first answer was due: calls not reported are slow.
	Due bool `json:",omitempty"`
	// ProgressSent is how many times GatherProgress reported the batch before, in
	// the answer to Gather.
	ProgressSent int `json:",omitempty"`
	// Conditions are the upstreams of the answering host's hall that do worse than
	// others at the moment.
	Conditions []policy.Condition `json:",omitempty"`
	// HeldMicros is how long the answer was waited for here.
	HeldMicros int64
}

// GatheredCall tells what became of one call.
type GatheredCall struct {
	Index int
	// Stamp is the upstream's proof; only if the call went well.
	Stamp string `json:",omitempty"`
	// Outcome is empty if the call went well.
	Outcome    string `json:",omitempty"`
	TookMicros int64
}

// StopRequest names a batch that was asked for before.
type StopRequest struct {
	ID string
	// Left is true if the caller of the request is gone.
	Left bool `json:",omitempty"`
}

// Errors of batches.
var (
	errNoBatch = errors.New("no such batch")
	errStopped = errors.New("batch was stopped")
)

// relayedBatches holds the relayedBatches of other hosts that have calls under way.
type relayedBatches struct {
	mu      sync.Mutex
	batches map[string]*batch
}

// batch is a set of calls made for another host.
type batch struct {
	engine *Engine
	in     *GatherRequest
	// subject is what the request is remembered by. Its caller is not known here, and
	// its fingerprint is made from the head: sent along, both would be a tenth of the
	// bytes between regions.
	subject  policy.Subject
	deadline time.Duration
	cancel   context.CancelFunc

	mu sync.Mutex
	// ended are calls that were not reported yet, with their records.
	ended  []GatheredCall
	merger merger
	// cut are the records that answers left out, for GatherRecords.
	cut [][]byte
	// open counts the calls under way.
	open int
	// calls are the calls under way, by index.
	calls map[int]*relayedCall
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

// relayedCall is one call under way for another host.
type relayedCall struct {
	cancel context.CancelFunc
	// upstream is nil until its slot is held.
	upstream *policy.Upstream
	// lingering is true once the call goes on though it is not wanted.
	lingering bool
}

func (e *Engine) serveRelay() {
	e.kernel.Handle(MethodGather, e.onGather)
	e.kernel.Handle(MethodProgress, e.onProgress)
	e.kernel.Handle(MethodStop, e.onStop)
	e.kernel.Handle(MethodRecords, e.onRecords)
}

// onGather makes the calls, tells of those that ended and answers when all have.
func (e *Engine) onGather(ctx context.Context, params json.RawMessage) (any, error) {
	var in GatherRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("bad gather: %w", err)
	}
	if len(in.Upstreams) == 0 || len(in.Upstreams) > maxGathered || in.Top < 1 {
		return nil, fmt.Errorf("bad gather: %d upstreams, top %d: send 1 to %d, and a top of 1 or more", len(in.Upstreams), in.Top, maxGathered)
	}
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	metrics.GetOrCreateCounter("loomgap_relayed_calls_total").Add(len(in.Upstreams))
	b := e.startBatch(&in)
	for told := 0; ; told++ {
		out, last := b.wait()
		switch {
		case b.isStopped():
			// Nobody wants to know; calls that linger end by themselves.
			return nil, errStopped
		case last:
			out.ProgressSent = told
			return out, nil
		}
		out.ID = in.ID
		if err := kernel.Push(ctx, MethodProgress, out); err != nil {
			b.stop(0)
			return nil, fmt.Errorf("tell of batch %s: %w", in.ID, err)
		}
	}
}

func (e *Engine) startBatch(in *GatherRequest) *batch {
	left := min(time.Duration(in.DeadlineMillis)*time.Millisecond, maxGatherTime)
	ctx, cancel := context.WithTimeout(wire.TraceInto(context.Background(), in.Trace), left)
	now := e.kernel.Now()
	b := &batch{
		engine: e, in: in, subject: e.subjectOf(in), deadline: now + left, cancel: cancel,
		begun: now, due: now + min(time.Duration(in.FirstMillis)*time.Millisecond, left),
		merger: merger{top: in.Top}, open: len(in.Upstreams), calls: map[int]*relayedCall{},
		finished: make(chan struct{}), changed: make(chan struct{}, 1),
	}
	e.relayed.mu.Lock()
	e.relayed.batches[in.ID] = b
	e.relayed.mu.Unlock()
	// Nobody may ask for records that were left out.
	time.AfterFunc(left+cutGrace, func() { e.relayed.drop(in.ID) })
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, name := range in.Upstreams {
		ctx, cancel := context.WithCancel(ctx)
		c := &relayedCall{cancel: cancel}
		b.calls[i] = c
		go b.call(ctx, i, name, c)
	}
	return b
}

// subjectOf returns what a relayed request is remembered by; the zero value while no
// request is remembered.
func (e *Engine) subjectOf(in *GatherRequest) policy.Subject {
	if !e.kernel.Fleet.HasSuspects() {
		return policy.Subject{}
	}
	content := contentOf([]byte(in.Head), in.Body)
	return policy.Subject{Fingerprint: content.Fingerprint()}
}

// call makes one call within this host's slots.
func (b *batch) call(ctx context.Context, i int, name string, c *relayedCall) {
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
	out := GatheredCall{Index: i, TookMicros: (k.Now() - started).Microseconds()}
	if reply.Outcome != policy.CallOK {
		out.Outcome = string(reply.Outcome)
		b.end(out, nil)
		return
	}
	out.Stamp = reply.Part.header.Get(b.engine.headers.Stamp)
	b.end(out, reply.Part.body)
}

func (b *batch) holdSlot(c *relayedCall, u *policy.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.upstream = u
}

// release takes a call out of those that may linger, and reports whether it did.
func (b *batch) release(i int, c *relayedCall) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.calls, i)
	return c.lingering
}

// stop ends the calls that nobody wants any more. Those that may linger go on
// for a while, since their answers show when an upstream answers again.
func (b *batch) stop(linger time.Duration) {
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

func (b *batch) exchange(ctx context.Context, l *link, u *policy.Upstream) runner.Reply[*answer] {
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
func (b *batch) end(c GatheredCall, records []byte) {
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
func (b *batch) wait() (out *GatherReply, last bool) {
	b.await(b.engine.kernel.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.engine.kernel.Now()
	out = &GatherReply{Ended: b.ended, Due: now >= b.due, Conditions: b.engine.kernel.Fleet.Conditions(now), HeldMicros: (now - b.begun).Microseconds()}
	out.Records, out.Cut = b.cutRecords(b.merger.result(), goodCalls(b.ended))
	b.ended, b.merger.records, b.failed = nil, nil, false
	last = b.open == 0 || now >= b.deadline
	if last {
		b.forget()
	}
	return out, last
}

func (b *batch) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// goodCalls counts the calls that went well.
func goodCalls(ended []GatheredCall) int {
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
func (b *batch) forget() {
	if len(b.cut) == 0 {
		b.engine.relayed.drop(b.in.ID)
	}
}

// await returns when all calls have ended, when the first answer is due, soon
// after a call has failed, and once the first answer was due, soon after any
// call has ended.
func (b *batch) await(now time.Duration) {
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
func (b *batch) progressDue(due bool) (time.Duration, bool) {
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

func (r *relayedBatches) find(id string) (*batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.batches[id]; b != nil {
		return b, nil
	}
	return nil, fmt.Errorf("%w: %q ended or was never begun", errNoBatch, id)
}

func (r *relayedBatches) drop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.batches, id)
}

// onStop ends the calls of a batch.
func (e *Engine) onStop(_ context.Context, params json.RawMessage) (any, error) {
	var in StopRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("bad batch name: %w", err)
	}
	b, err := e.relayed.find(in.ID)
	if err != nil {
		return nil, err
	}
	linger := policy.LingerFor
	verdict, _ := e.kernel.Fleet.Judge(e.kernel.Now(), b.subject)
	if in.Left || verdict != policy.VerdictSound {
		linger = 0
	}
	b.stop(linger)
	return struct{}{}, nil
}

// unreached reports whether an error proves that no call of a batch was begun.
func unreached(err error) bool { return errors.Is(err, peers.ErrNoPeer) }
