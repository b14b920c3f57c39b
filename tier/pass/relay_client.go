package pass

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// This file is the sender's end of the relay protocol: calls to upstreams of another hall
// are sent there in batches, through a host of that hall.

const (
	// hedgeBatchDue is how long the first reply to a batch of hedges may take. The relay
	// reports each of these calls as it ends, and an upstream that only pauses responds
	// within that time.
	hedgeBatchDue = policy.LingerDuration
	// firstReplyMargin is how much earlier than the hedges of its calls the first reply to
	// a batch is due. Without it, replies arrived just after the hedges, which made 27% extra
	// calls.
	firstReplyMargin = 4 * time.Millisecond
	// minFirstReplyDelay is the minimum time that the calls have until the first reply.
	minFirstReplyDelay = 5 * time.Millisecond
	// shortageReportDivisor divides the objective to get the interval at which a relay reports
	// during a shortage. A gather holds its place until enough parts are known here; while
	// relays held back the parts that had ended, it took about twice as long as its calls.
	shortageReportDivisor = 8
	// progressBacklog limits the progress messages of a batch that are not handled yet.
	progressBacklog = 64
	// progressGrace limits the wait for progress messages that were sent before the last
	// reply but arrive after it.
	progressGrace = 20 * time.Millisecond
)

// requestRelays tracks the relays of one request. It is safe for concurrent use.
type requestRelays struct {
	mu sync.Mutex
	// pending counts the batches that each relay has not responded to yet. A hedge must not
	// wait for the same relay as the call that it hedges.
	pending map[string]int
}

func (r *requestRelays) answered(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[host]--
}

// Batches implements runner.Batcher. It groups calls to upstreams of another hall into
// batches, each for a relay of that hall. Even a single call goes through a relay, which
// has connections to the upstream: making one from another hall takes longer than the call.
// Calls to a cold upstream go through its owner, in whatever hall. A request that is no text is
// called for by this host alone.
func (q *request) Batches(sends []policy.Action) (batches []runner.Batch, direct []policy.Action) {
	if q.route.Gather == nil || !q.in.isText() {
		return nil, sends
	}
	k := q.engine.kernel
	q.relays.mu.Lock()
	defer q.relays.mu.Unlock()
	if q.relays.pending == nil {
		q.relays.pending = map[string]int{}
	}
	now := k.Now()
	byDestination := map[policy.Destination][]policy.Action{}
	for _, a := range sends {
		d := k.Fleet.DestinationOf(now, a.Upstream)
		byDestination[d] = append(byDestination[d], a)
	}
	for d, calls := range byDestination {
		relay := q.relayFor(d, now)
		if relay == "" {
			direct = append(direct, calls...)
			continue
		}
		q.relays.pending[relay]++
		batches = append(batches, runner.Batch{Host: relay, Calls: calls})
	}
	return batches, direct
}

// relayFor returns the relay for calls to a destination, or "" if this host is to make them
// itself, for example because no host there is responsive.
func (q *request) relayFor(d policy.Destination, now time.Duration) string {
	s := &q.engine.kernel.Settings
	switch {
	case d.Owner == s.Host:
		return ""
	case d.Owner != "":
		return q.engine.hosts.ifResponsive(q.view, d.Owner, now)
	case d.Hall == s.Hall:
		return ""
	default:
		return q.engine.hosts.leastPending(q.view, d.Hall, now, q.relays.pending)
	}
}

func (q *request) CallBatch(ctx context.Context, b runner.Batch, reporter *runner.Reporter[*response]) {
	e := q.engine
	ctx, span := e.kernel.Tracer.Start(ctx, "relay", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Relay", b.Host), attribute.Int("Calls", len(b.Calls)))
	}
	startedAt, roundTrip := e.kernel.Now(), e.hosts.roundTrip(b.Host)
	in := q.newBatchRequest(ctx, b.Calls, roundTrip)
	first := time.Duration(in.FirstMillis) * time.Millisecond
	if in.FirstMillis == 0 {
		first = hedgeBatchDue
	}
	s := &sentBatch{
		request: q, calls: b.Calls, in: in, relay: b.Host, reporter: reporter,
		startedAt: startedAt, dueAt: startedAt + roundTrip + first, roundTrip: roundTrip,
	}
	s.do(ctx)
}

// newBatchRequest builds the message for a relay. The first reply is due before the calls
// are hedged, so that those which it reports are not.
func (q *request) newBatchRequest(ctx context.Context, batch []policy.Action, roundTrip time.Duration) *batchRequest {
	e := q.engine
	now := e.kernel.Now()
	in := &batchRequest{
		ID:    e.ids.next(),
		Route: q.route.Name, RequestID: q.in.id, Method: q.in.method, Head: string(q.in.head), Body: q.in.body, Top: q.route.Gather.Top,
		FirstMillis:    q.firstReplyDelay(batch, roundTrip).Milliseconds(),
		DeadlineMillis: (q.times.deadline - now).Milliseconds(), Trace: wire.TraceParent(ctx),
	}
	if q.gate != nil {
		in.Loads = true
		if q.gate.Shortage(now) {
			in.Rank, in.ObjectiveMillis = q.route.Priority, q.objectiveMillis(now)
			in.ReportMillis = max(time.Duration(q.route.Objective).Milliseconds()/shortageReportDivisor, 1)
		}
	}
	if !e.relay.fullRecordRoutes.enabled(q.route.Name, now) {
		in.TotalParts = len(q.plan.groups)
	}
	for _, a := range batch {
		in.Upstreams = append(in.Upstreams, a.Upstream.Name)
	}
	return in
}

// objectiveMillis returns the time until the request loses its full worth, in milliseconds;
// at least 1, since 0 stands for none.
func (q *request) objectiveMillis(now time.Duration) int64 {
	return max((q.times.startedAt + time.Duration(q.route.Objective) - now).Milliseconds(), 1)
}

// firstReplyDelay returns how long after it gets a batch the relay sends the first reply,
// so that it arrives before the calls are hedged. It returns 0 for hedges, which are not
// hedged again: each is reported as it ends.
func (q *request) firstReplyDelay(batch []policy.Action, roundTrip time.Duration) time.Duration {
	due := q.times.patienceEnd - q.engine.kernel.Now()
	for _, a := range batch {
		if a.HedgeIn == 0 {
			return 0
		}
		due = min(due, a.HedgeIn)
	}
	return max(due-roundTrip-firstReplyMargin, minFirstReplyDelay)
}

// sentBatch is a batch of calls that a relay makes for this host. It is used by one
// goroutine.
type sentBatch struct {
	request *request
	calls   []policy.Action
	in      *batchRequest
	relay   string
	// startedAt is when the batch was sent; dueAt is when the first reply is due.
	startedAt, dueAt time.Duration
	// roundTrip is the shortest known round trip to the relay, and after the first reply
	// the one of this batch.
	roundTrip time.Duration
	reporter  *runner.Reporter[*response]
	// progressHandled counts the progress messages handled.
	progressHandled int
	// responded is true once the relay has sent progress or the last reply.
	responded bool
	// overdue is true once the first reply was due and the unreported calls were hedged.
	overdue   bool
	lastReply batchReply
}

// do sends the batch and reports its calls until all have ended.
func (s *sentBatch) do(ctx context.Context) {
	e := s.request.engine
	e.hosts.sent(s.relay, s.dueAt)
	progress, release := e.relay.inboxes.open(s.in.ID, progressBacklog)
	defer release()
	callCtx, cancel := s.request.untilDeadline(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- e.kernel.Peers.Call(callCtx, s.relay, methodBatch, s.in, &s.lastReply) }()
	for {
		select {
		case p := <-progress:
			s.handleProgress(p)
		case err := <-done:
			s.finish(ctx, progress, err)
			return
		}
	}
}

// untilDeadline returns a context for a message to another host that ends at the deadline
// of the request.
func (q *request) untilDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, q.times.deadline-q.engine.kernel.Now())
}

// hall returns the hall in which the calls of the batch are made.
func (s *sentBatch) hall() string {
	k := s.request.engine.kernel
	return k.Fleet.DestinationOf(k.Now(), s.calls[0].Upstream).Hall
}

// handleProgress reports the calls of a progress message. Calls that are unreported when
// the first reply is due are hedged.
func (s *sentBatch) handleProgress(reply *batchReply) {
	s.progressHandled++
	s.recordFirstReply(reply)
	s.reportCalls(reply)
	if reply.Due && !s.overdue {
		s.overdue = true
		s.reporter.HedgePending()
	}
}

// recordFirstReply records the first reply of the relay and its round trip.
func (s *sentBatch) recordFirstReply(reply *batchReply) {
	if s.responded {
		return
	}
	s.responded = true
	e := s.request.engine
	now := e.kernel.Now()
	held := time.Duration(reply.HeldMicros) * time.Microsecond
	s.roundTrip = max(now-s.startedAt-held, time.Microsecond)
	e.hosts.answered(s.relay, s.hall(), now, s.roundTrip)
	s.request.relays.answered(s.relay)
}

// finish handles the last reply, or the error of the batch.
func (s *sentBatch) finish(ctx context.Context, progress <-chan *batchReply, err error) {
	if err != nil {
		s.fail(ctx, err)
		return
	}
	s.recordFirstReply(&s.lastReply)
	s.reportCalls(&s.lastReply)
	// Progress that was sent before the last reply may arrive after it.
	timer := time.NewTimer(progressGrace)
	defer timer.Stop()
	for s.progressHandled < s.lastReply.ProgressSent {
		select {
		case p := <-progress:
			s.handleProgress(p)
		case <-timer.C:
			return
		}
	}
}

// fail reports the calls of a batch without a last reply. This does not count against the
// upstreams.
func (s *sentBatch) fail(ctx context.Context, err error) {
	q := s.request
	e := q.engine
	o := policy.CallLost
	if notDelivered(err) && !s.responded {
		o = policy.CallNotSent
	}
	if !s.responded {
		now := e.kernel.Now()
		e.hosts.unanswered(s.relay, s.hall(), now, ctx.Err() == nil || now-s.dueAt > replyGrace)
		q.relays.answered(s.relay)
	}
	if ctx.Err() != nil {
		s.stop()
	} else {
		e.kernel.RequestLog.Info().Str("RequestID", q.in.id).Str("Relay", s.relay).Int("Calls", len(s.calls)).
			Str("Outcome", string(o)).Err(err).Msg("failed to get batch reply from relay")
	}
	for i := range s.calls {
		s.reporter.Report(i, runner.Reply[*response]{Outcome: o})
	}
}

// stop tells the relay to cancel the calls.
func (s *sentBatch) stop() {
	q := s.request
	err := q.engine.notifyStop(s.relay, methodBatchStop, batchStop{ID: s.in.ID, CallerGone: q.callerGone.Load()})
	if err != nil {
		q.engine.kernel.RequestLog.Info().Str("RequestID", q.in.id).Str("Relay", s.relay).Err(err).Msg("failed to stop batch at relay")
	}
}

// reportCalls reports the calls of a reply. Those that succeeded share one block of
// records.
func (s *sentBatch) reportCalls(reply *batchReply) {
	k := s.request.engine.kernel
	k.Fleet.SetConditions(k.Now(), s.hall(), reply.Conditions)
	b := &block{records: reply.Records, stamps: map[int]string{}}
	if reply.OmittedID > 0 {
		b.omitted = &omittedRef{relay: s.relay, key: recordsRequest{ID: s.in.ID, OmittedID: reply.OmittedID}}
	}
	ended := slices.DeleteFunc(reply.Ended, func(c callReport) bool { return c.Index < 0 || c.Index >= len(s.calls) })
	// The block must be complete before its first part is reported.
	for _, c := range ended {
		if c.Stamp != "" {
			b.stamps[s.calls[c.Index].Part] = c.Stamp
		}
	}
	for _, c := range ended {
		r := runner.Reply[*response]{Outcome: policy.CallOutcome(c.Outcome), Took: time.Duration(c.TookMicros)*time.Microsecond + s.roundTrip}
		r.RelayedLoad, r.RelayQueued = c.load(), time.Duration(c.QueuedMicros)*time.Microsecond
		if c.Stamp != "" {
			r.Outcome, r.Answer = policy.CallOK, &response{block: b}
		}
		s.reporter.Report(c.Index, r)
	}
}

// onBatchProgress handles progress that a relay reports before its last reply.
func (e *engine) onBatchProgress(_ context.Context, in *batchReply) (any, error) {
	switch known, taken := e.relay.inboxes.deliver(in.ID, in); {
	case !known:
		return nil, fmt.Errorf("%w: %q ended", errNoBatch, in.ID)
	case !taken:
		return nil, fmt.Errorf("too much progress of batch %q waits to be taken in", in.ID)
	}
	return struct{}{}, nil
}
