package pass

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/policy"
	"loomgap/tier/runner"
	"loomgap/tier/wire"
)

// Bounds of batches that go to another host.
const (
	// relaySilent is how long the first sign of a host may be late until others
	// are asked first, and relayBackoff how long it is left alone then: twice as long
	// each time until it answers, relayBackoffMost at most. Each try of a host that
	// is cut off costs the calls of a batch.
	relaySilent      = 100 * time.Millisecond
	relayBackoff     = 2 * time.Second
	relayBackoffMost = 16 * time.Second
	// hallSilent is how many hosts of a hall in a row leave a batch unanswered
	// until its upstreams are called directly: this host may be cut off from the
	// hosts there, and not from the upstreams.
	hallSilent = 2
	// hedgesDue is when the first sign is due for a batch of hedges, which is told
	// of when a call ends: upstreams that pause answer within that.
	hedgesDue = policy.LingerFor
	// progressBacklog is how many replies before the answer may wait to be taken
	// in, and lateProgress how long they may come after it.
	progressBacklog = 64
	lateProgress    = 20 * time.Millisecond
	// stopBound is how long telling a host to stop may take.
	stopBound = time.Second
)

var _ runner.Batcher[*answer] = (*request)(nil)

// relaying is which hosts make calls for one request.
type relaying struct {
	mu sync.Mutex
	// hosts are those that make the calls of a batch, by number of the batch's
	// first attempt.
	hosts map[int]string
	// outstanding counts the batches that a host has not answered. A hedge must not
	// wait for the same host as the call that it hedges.
	outstanding map[string]int
}

// begin notes a batch that goes to a host; it is used with mu held.
func (r *relaying) begin(attempt int, host string) {
	if r.hosts == nil {
		r.hosts, r.outstanding = map[int]string{}, map[string]int{}
	}
	r.hosts[attempt] = host
	r.outstanding[host]++
}

// hostOf returns the host that a batch goes to.
func (r *relaying) hostOf(attempt int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts[attempt]
}

func (r *relaying) answered(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding[host]--
}

// Batches implements runner.Batcher: calls to upstreams of one other hall go
// together through a host there. Even a single call does: that host has
// connections to the upstream, and making one from afar takes longer than the
// call. Calls to a cold upstream go through its owner, whatever the hall.
func (q *request) Batches(sends []policy.Action) (batches [][]policy.Action, apart []policy.Action) {
	if q.route.Gather == nil {
		return nil, sends
	}
	k := q.engine.kernel
	q.relaying.mu.Lock()
	defer q.relaying.mu.Unlock()
	now := k.Now()
	byDestination := map[policy.Destination][]policy.Action{}
	for _, a := range sends {
		d := k.Fleet.DestinationOf(now, a.Upstream)
		byDestination[d] = append(byDestination[d], a)
	}
	for d, calls := range byDestination {
		host := q.relayTo(d, now)
		if host == "" {
			apart = append(apart, calls...)
			continue
		}
		q.relaying.begin(calls[0].Attempt, host)
		batches = append(batches, calls)
	}
	return batches, apart
}

// relayTo returns the host that is to make calls to a destination; empty if this
// host is, or if none answers.
func (q *request) relayTo(d policy.Destination, now time.Duration) string {
	s := &q.engine.kernel.Settings
	switch {
	case d.Owner == s.Host:
		return ""
	case d.Owner != "":
		return q.engine.relays.answering(q.view, d.Owner, now)
	case d.Hall == s.Hall:
		return ""
	default:
		return q.engine.relays.choose(q.view, d.Hall, now, q.relaying.outstanding)
	}
}

// CallBatch implements runner.Batcher.
func (q *request) CallBatch(ctx context.Context, batch []policy.Action, to runner.Reporter[*answer]) {
	e := q.engine
	k := e.kernel
	host := q.relaying.hostOf(batch[0].Attempt)
	ctx, span := k.Tracer.Start(ctx, "relay", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Relay", host), attribute.Int("Calls", len(batch)))
	}
	started := k.Now()
	roundTrip := e.relays.roundTrip(host)
	in := q.newBatchRequest(batch, roundTrip)
	due := started + roundTrip + time.Duration(in.FirstMillis)*time.Millisecond
	if in.FirstMillis == 0 {
		due = started + roundTrip + hedgesDue
	}
	e.relays.sent(host, due)
	in.Trace = wire.TraceOf(ctx)
	progress, forget := e.sentBatches.open(in.ID)
	defer forget()
	s := &sentBatch{request: q, calls: batch, in: in, host: host, started: started, due: due, roundTrip: roundTrip, to: to}
	answered := make(chan error, 1)
	go func() { answered <- e.callRelay(ctx, host, methodBatch, in, &s.last, q.deadline) }()
	for {
		select {
		case p := <-progress:
			s.take(p)
		case err := <-answered:
			s.finish(ctx, progress, err)
			return
		}
	}
}

// sentBatch is a batch that another host makes the calls of. It is used by one
// goroutine.
type sentBatch struct {
	request *request
	calls   []policy.Action
	in      *batchRequest
	host    string
	// started is when it was sent, due when the first sign of it is due.
	started, due time.Duration
	// roundTrip is how long a message takes there and back, as far as is known.
	roundTrip time.Duration
	to        runner.Reporter[*answer]
	// received counts what came before the answer.
	received int
	// heard is true once anything came, overdue once the calls that are not in
	// were said to be slow.
	heard, overdue bool
	// last is the answer.
	last batchReply
}

// hall is where the calls of the batch are made.
func (s *sentBatch) hall() string { return s.request.engine.kernel.Fleet.HallOf(s.calls[0].Upstream) }

// take reports the calls that a reply tells of. Those that are not in when the
// first answer was due are hedged.
func (s *sentBatch) take(g *batchReply) {
	s.received++
	s.noteFirstReply(g)
	s.report(g)
	if g.Due && !s.overdue {
		s.overdue = true
		s.to.Overdue()
	}
}

// noteFirstReply notes the first sign of the host, and how long the message took.
func (s *sentBatch) noteFirstReply(g *batchReply) {
	if s.heard {
		return
	}
	s.heard = true
	e := s.request.engine
	now := e.kernel.Now()
	held := time.Duration(g.HeldMicros) * time.Microsecond
	s.roundTrip = max(now-s.started-held, time.Microsecond)
	e.relays.answered(s.host, s.hall(), now, s.roundTrip)
	s.request.relaying.answered(s.host)
}

// finish takes the answer in, or that there is none.
func (s *sentBatch) finish(ctx context.Context, progress <-chan *batchReply, err error) {
	if err != nil {
		s.fail(ctx, err)
		return
	}
	s.noteFirstReply(&s.last)
	s.report(&s.last)
	// What was told before the answer may be handled after it.
	timer := time.NewTimer(lateProgress)
	defer timer.Stop()
	for s.received < s.last.ProgressSent {
		select {
		case p := <-progress:
			s.take(p)
		case <-timer.C:
			return
		}
	}
}

// fail reports the calls of a batch without an answer. That says nothing of the
// upstreams.
func (s *sentBatch) fail(ctx context.Context, err error) {
	q, host := s.request, s.host
	e := q.engine
	outcome := policy.CallLost
	if unreached(err) && !s.heard {
		outcome = policy.CallNotSent
	}
	if !s.heard {
		now := e.kernel.Now()
		e.relays.unanswered(host, s.hall(), now, ctx.Err() == nil || now-s.due > relaySilent)
		q.relaying.answered(host)
	}
	if ctx.Err() != nil {
		e.stopBatch(host, batchStop{ID: s.in.ID, CallerGone: q.callerGone.Load()}, q.id)
	} else {
		e.kernel.Decisions.Info().Str("RequestID", q.id).Str("Relay", host).Int("Calls", len(s.calls)).
			Str("Outcome", string(outcome)).Err(err).Msg("batch not answered")
	}
	for i := range s.calls {
		s.to.Report(i, runner.Reply[*answer]{Outcome: outcome})
	}
}

// report reports the calls that a reply tells of. Their records are kept as one
// block that stands for all of them.
func (s *sentBatch) report(g *batchReply) {
	fleet := s.request.engine.kernel.Fleet
	fleet.TakeConditions(s.request.engine.kernel.Now(), s.hall(), g.Conditions)
	block := &block{records: g.Records, stamps: map[int]string{}}
	if g.Cut > 0 {
		block.rest = &omitted{host: s.host, at: recordsRequest{ID: s.in.ID, Cut: g.Cut}}
	}
	ended := slices.DeleteFunc(g.Ended, func(c callReport) bool { return c.Index < 0 || c.Index >= len(s.calls) })
	for _, c := range ended {
		if c.Stamp != "" {
			block.stamps[s.calls[c.Index].Part] = c.Stamp
		}
	}
	for _, c := range ended {
		r := runner.Reply[*answer]{Outcome: policy.CallOutcome(c.Outcome), Took: time.Duration(c.TookMicros)*time.Microsecond + s.roundTrip}
		if c.Stamp != "" {
			r.Outcome, r.Part = policy.CallOK, &answer{block: block}
		}
		s.to.Report(c.Index, r)
	}
}

// sentBatches are the batches of this host that others make the calls of.
type sentBatches struct {
	// prefix begins the names of this process's batches; no other has it.
	prefix string
	count  atomic.Uint64
	// byID holds a chan *batchReply for each batch under way.
	byID sync.Map
}

// name returns a name for a batch that no other has.
func (s *sentBatches) name() string { return s.prefix + strconv.FormatUint(s.count.Add(1), 36) }

// open returns what is told of a batch until it is forgotten.
func (s *sentBatches) open(id string) (progress <-chan *batchReply, forget func()) {
	c := make(chan *batchReply, progressBacklog)
	s.byID.Store(id, c)
	return c, func() { s.byID.Delete(id) }
}

// onBatchProgress takes in what a host tells of a batch before its answer.
func (e *Engine) onBatchProgress(_ context.Context, in *batchReply) (any, error) {
	c, ok := e.sentBatches.byID.Load(in.ID)
	if !ok {
		return nil, fmt.Errorf("%w: %q ended", errNoBatch, in.ID)
	}
	select {
	case c.(chan *batchReply) <- in:
		return struct{}{}, nil
	default:
		return nil, fmt.Errorf("too much is told of batch %q", in.ID)
	}
}

// gatherRequest describes a batch for the host that makes its calls. The first
// answer is to be here before the calls that it lacks are hedged.
func (q *request) newBatchRequest(batch []policy.Action, roundTrip time.Duration) *batchRequest {
	now := q.engine.kernel.Now()
	in := &batchRequest{
		ID:    q.engine.sentBatches.name(),
		Route: q.route.Name, RequestID: q.id, Method: q.method, Head: string(q.head), Body: q.body, Top: q.route.Gather.Top,
		FirstMillis:    q.firstDue(batch, roundTrip).Milliseconds(),
		DeadlineMillis: (q.deadline - now).Milliseconds(),
	}
	if !q.engine.wantsAllRecords(q.route.Name) {
		in.Of = len(q.plan.groups)
	}
	for _, a := range batch {
		in.Upstreams = append(in.Upstreams, a.Upstream.Name)
	}
	return in
}

// firstDue is in what time the first answer for a batch is wanted: before its
// calls are hedged. Hedges are not hedged again: each that ends is told of.
func (q *request) firstDue(batch []policy.Action, roundTrip time.Duration) time.Duration {
	due := q.patience - q.engine.kernel.Now()
	for _, a := range batch {
		if a.HedgeIn == 0 {
			return 0
		}
		due = min(due, a.HedgeIn)
	}
	return max(due-roundTrip-firstReplyReserve, firstReplyLeast)
}

// callRelay calls another host and gives up with the context or the deadline.
func (e *Engine) callRelay(ctx context.Context, host, method string, in, out any, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, deadline-e.kernel.Now())
	defer cancel()
	return e.kernel.Peers.Call(ctx, host, method, in, out)
}

// stopBatch tells a host that the calls of a batch are not wanted any more.
func (e *Engine) stopBatch(host string, name batchStop, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	if err := e.kernel.Peers.Notify(ctx, host, methodBatchStop, name); err != nil {
		e.kernel.Decisions.Info().Str("RequestID", request).Str("Relay", host).Err(err).Msg("batch not stopped")
	}
}
