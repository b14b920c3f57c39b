package pass

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/kernel"
	"loomgap/tier/peers"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// This file is the relay's end of the protocol: it makes the calls of a batch for a host of
// another hall. The relay of package entry is a different one: there, the host that owns an
// upstream's slots makes a single call for a host of the same hall.

const (
	maxBatchCalls = 4096
	// maxBatchDuration limits the deadline that another host may set.
	maxBatchDuration = 10 * time.Minute
)

// servedBatch is a batch of calls that this host makes for another one. It is safe for
// concurrent use.
type servedBatch struct {
	engine *engine
	in     *batchRequest
	// identity serves to detect requests that crash upstreams. Its caller is unknown here,
	// and its fingerprint is computed from the head, so that the messages between regions
	// need not contain them.
	identity policy.RequestIdentity
	// startedAt is when the calls began, firstDueAt when the first reply is due, and deadline
	// when the calls are cancelled.
	startedAt, firstDueAt, deadline time.Duration
	// reportInterval is batchRequest.ReportMillis.
	reportInterval time.Duration
	// cancel cancels all calls, and releaseMemory releases the memory of their responses.
	cancel, releaseMemory func()

	mu         sync.Mutex
	unreported unreported
	omitted    omittedRecords
	// openCalls counts the calls that have not ended.
	openCalls int
	// calls holds the calls that may still be cancelled, by index.
	calls map[int]*servedCall
	// finished is closed when openCalls is 0.
	finished chan struct{}
	// stopped is true once the sender no longer wants the results.
	stopped bool
	// changed has capacity 1 and holds an item if a call has ended that waitUntilDue has
	// not seen.
	changed chan struct{}
}

// servedCall is a call of a batch in flight.
type servedCall struct {
	cancel context.CancelFunc
	// upstream is nil until a slot is acquired.
	upstream *policy.Upstream
	// lingering is true once the call continues although its result is unwanted.
	lingering bool
}

func (e *engine) servedBatch(id string) (*servedBatch, error) {
	if b := e.relay.served.find(id); b != nil {
		return b, nil
	}
	return nil, fmt.Errorf("%w: %q ended or was never begun", errNoBatch, id)
}

// handleRelay registers the handlers of both ends of the protocol.
func (e *engine) handleRelay() {
	kernel.HandleMessage(e.kernel, methodBatch, "gather", e.onBatch)
	kernel.HandleMessage(e.kernel, methodBatchProgress, "progress", e.onBatchProgress)
	kernel.HandleMessage(e.kernel, methodBatchStop, "batch name", e.onBatchStop)
	kernel.HandleMessage(e.kernel, methodRecords, "request for records", e.onRecords)
}

// onBatch makes the calls of a batch, pushes progress, and returns the last reply when all
// calls have ended.
func (e *engine) onBatch(ctx context.Context, in *batchRequest) (any, error) {
	if len(in.Upstreams) == 0 || len(in.Upstreams) > maxBatchCalls || in.Top < 1 {
		return nil, fmt.Errorf("bad gather: %d upstreams, top %d: send 1 to %d, and a top of 1 or more", len(in.Upstreams), in.Top, maxBatchCalls)
	}
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	metrics.GetOrCreateCounter("loomgap_relayed_calls_total").Add(len(in.Upstreams))
	b := e.startBatch(in)
	for sent := 0; ; sent++ {
		out, last := b.nextReply()
		switch {
		case out == nil:
			// The sender no longer waits for a reply, and lingering calls end by
			// themselves.
			return nil, errBatchStopped
		case last:
			out.ProgressSent = sent
			return out, nil
		}
		out.ID = in.ID
		if err := kernel.Push(ctx, methodBatchProgress, out); err != nil {
			b.stop(0)
			return nil, fmt.Errorf("push progress of batch %s: %w", in.ID, err)
		}
	}
}

func (e *engine) onBatchStop(_ context.Context, in *batchStop) (any, error) {
	b, err := e.servedBatch(in.ID)
	if err != nil {
		return nil, err
	}
	linger := policy.LingerDuration
	verdict, _ := e.kernel.Fleet.Verdict(e.kernel.Now(), b.identity)
	if in.CallerGone || verdict != policy.VerdictClean {
		linger = 0
	}
	b.stop(linger)
	return struct{}{}, nil
}

func (e *engine) startBatch(in *batchRequest) *servedBatch {
	left := min(time.Duration(in.DeadlineMillis)*time.Millisecond, maxBatchDuration)
	ctx, releaseMemory := kernel.WithHeldBytes(wire.WithTraceParent(context.Background(), in.Trace))
	ctx, cancel := context.WithTimeout(ctx, left)
	now := e.kernel.Now()
	b := &servedBatch{
		engine: e, in: in, identity: e.identityOf(in), cancel: cancel, releaseMemory: releaseMemory,
		startedAt: now, firstDueAt: now + min(time.Duration(in.FirstMillis)*time.Millisecond, left), deadline: now + left,
		reportInterval: time.Duration(in.ReportMillis) * time.Millisecond,
		unreported:     unreported{merger: merger{top: in.Top}}, openCalls: len(in.Upstreams), calls: map[int]*servedCall{},
		finished: make(chan struct{}), changed: make(chan struct{}, 1),
	}
	e.relay.served.add(in.ID, b)
	// The sender may never fetch the omitted records.
	time.AfterFunc(left+omittedRetention, func() { e.relay.served.drop(in.ID) })
	context.AfterFunc(ctx, releaseMemory)
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

// identityOf identifies the request of a batch; the zero value while no request is
// suspected of crashing upstreams.
func (e *engine) identityOf(in *batchRequest) policy.RequestIdentity {
	if !e.kernel.Fleet.HasSuspects() {
		return policy.RequestIdentity{}
	}
	content := parseContent([]byte(in.Head), in.Body)
	return policy.RequestIdentity{Fingerprint: content.Fingerprint()}
}

// call makes one call, within this host's slots.
func (b *servedBatch) call(ctx context.Context, i int, name string, c *servedCall) {
	defer c.cancel()
	k := b.engine.kernel
	started := k.Now()
	requested := started
	reply := runner.Reply[*response]{Outcome: policy.CallUnreachable}
	u, pool := k.Fleet.Find(name), b.engine.connPool(name)
	switch {
	case u == nil || pool == nil:
	case k.Fleet.Stalled(started, u):
		reply.Outcome = policy.CallStalled
	case !k.Fleet.AcquireAs(ctx, b.waiter(u), k.Now):
		reply.Outcome = policy.CallNotSent
	default:
		started = k.Now()
		b.mu.Lock()
		c.upstream = u
		b.mu.Unlock()
		k.Fleet.RecordSent(started, u)
		reply = b.sendCall(ctx, pool, u)
		b.releaseSlot(i, c, &reply, started)
	}
	out := callReport{Index: i, TookMicros: (k.Now() - started).Microseconds()}
	if b.in.Loads {
		out.QueuedMicros = (started - requested).Microseconds()
		out.setLoad(reply.Load)
	}
	if reply.Outcome != policy.CallOK {
		out.Outcome = string(reply.Outcome)
		b.endCall(out, nil)
		return
	}
	out.Stamp = reply.Answer.header.Get(b.engine.headers.Stamp)
	b.endCall(out, reply.Answer.body)
}

// waiter returns the waiter for a slot of this host at an upstream.
func (b *servedBatch) waiter(u *policy.Upstream) *policy.Waiter {
	w := &policy.Waiter{Upstream: u, Deadline: b.deadline}
	if b.in.ObjectiveMillis > 0 {
		w.Rank, w.ObjectiveAt = b.in.Rank, b.startedAt+time.Duration(b.in.ObjectiveMillis)*time.Millisecond
	}
	return w
}

// sendCall sends a call that has acquired a slot and returns its result.
func (b *servedBatch) sendCall(ctx context.Context, pool *connPool, u *policy.Upstream) runner.Reply[*response] {
	k := b.engine.kernel
	timeLeft := b.deadline - k.Now()
	if timeLeft <= 0 || !k.Responsive() || ctx.Err() != nil {
		return runner.Reply[*response]{Outcome: policy.CallNotSent}
	}
	return b.engine.callUpstream(ctx, pool, u, &call{
		route: b.in.Route, id: b.in.RequestID, identity: b.identity,
		method: b.in.Method, head: []byte(b.in.Head), body: b.in.Body, timeLeft: timeLeft, fromGather: true, fromBatch: true,
	})
}

// releaseSlot releases the slot of a call that has ended.
func (b *servedBatch) releaseSlot(i int, c *servedCall, r *runner.Reply[*response], started time.Duration) {
	k := b.engine.kernel
	now := k.Now()
	near, _ := k.Fleet.RoutedLatencyPools(b.in.Route)
	b.mu.Lock()
	delete(b.calls, i)
	lingering := c.lingering
	b.mu.Unlock()
	policy.NotifyGranted(k.Fleet.Finish(now, policy.Call{
		Upstream: c.upstream, Pool: near, Outcome: r.Outcome, Took: now - started, Load: r.Load, NewConnReset: r.NewConnReset,
		Lingering: lingering,
	}))
}

// endCall records a call that has ended, with its records if it succeeded.
func (b *servedBatch) endCall(c callReport, records []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreported.add(c, records)
	delete(b.calls, c.Index)
	if b.openCalls--; b.openCalls == 0 {
		close(b.finished)
		b.cancel()
		return
	}
	select {
	case b.changed <- struct{}{}:
	default: // waitUntilDue has not seen the previous change either
	}
}

// stop cancels the calls, which are no longer wanted. Those that may linger continue for a
// while, since their results show whether an upstream responds again.
func (b *servedBatch) stop(linger time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	b.releaseMemory()
	b.unregister()
	for _, c := range b.calls {
		if linger > 0 && c.upstream != nil && b.engine.kernel.Fleet.TryLinger(c.upstream) {
			c.lingering = true
			time.AfterFunc(linger, c.cancel)
			continue
		}
		c.cancel()
	}
}

// unregister removes a batch that needs no further messages. One with omitted records is
// removed some time after the deadline. mu must be held.
func (b *servedBatch) unregister() {
	if len(b.omitted) == 0 {
		b.engine.relay.served.drop(b.in.ID)
	}
}

// nextReply waits until a reply is due and returns it, or nil if the batch was stopped.
// last is true if no further reply follows. Each call is reported once.
func (b *servedBatch) nextReply() (out *batchReply, last bool) {
	b.waitUntilDue(b.engine.kernel.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return nil, true
	}
	now := b.engine.kernel.Now()
	out = &batchReply{Due: now >= b.firstDueAt, Conditions: b.engine.kernel.Fleet.Conditions(now), HeldMicros: (now - b.startedAt).Microseconds()}
	ended, records, succeeded := b.unreported.take()
	out.Ended = ended
	out.Records, out.OmittedID = b.omitted.split(records, recordsToSend(b.in.Top, succeeded, b.in.TotalParts))
	last = b.openCalls == 0 || now >= b.deadline
	if last {
		b.unregister()
	}
	return out, last
}

// waitUntilDue waits until a reply is due: when all calls have ended; when the first reply
// is due; soon after a call has failed, so that another upstream can be called; once
// the first reply was due, soon after any call has ended, so that one call that hangs does
// not delay the others; and before that at each report interval, if any call has ended.
func (b *servedBatch) waitUntilDue(now time.Duration) {
	firstDuePassed := now >= b.firstDueAt
	until := b.firstDueAt
	if firstDuePassed {
		until = b.deadline
	} else if b.reportInterval > 0 {
		until = min(until, now+b.reportInterval)
	}
	timer := time.NewTimer(until - now)
	defer timer.Stop()
	for {
		select {
		case <-b.finished:
			return
		case <-timer.C:
			now = b.engine.kernel.Now()
			if firstDuePassed || now >= b.firstDueAt || b.hasUnreported() {
				return
			}
			until = min(b.firstDueAt, now+b.reportInterval)
			timer.Reset(until - now)
		case <-b.changed:
			now = b.engine.kernel.Now()
			b.mu.Lock()
			delay, due := b.unreported.replyDelay(firstDuePassed)
			b.mu.Unlock()
			if due && now+delay < until {
				until = now + delay
				timer.Reset(delay)
			}
		}
	}
}

// hasUnreported reports whether a call has ended that was not reported.
func (b *servedBatch) hasUnreported() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.unreported.calls) > 0
}

// notDelivered reports whether an error proves that a message did not reach its host and so
// had no effect there.
func notDelivered(err error) bool { return errors.Is(err, peers.ErrNoPeer) }
