package pass

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/flight"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// Bounds of batches that go to another host.
const (
	// relaySilent is how long a host may owe an answer until others are asked
	// first, and relayRest how long it is left alone then.
	relaySilent = 150 * time.Millisecond
	relayRest   = 2 * time.Second
	// hedgesFirst is the part of the objective after which the first answer for
	// hedges is due: most calls to another hall take less.
	hedgesFirst = 0.3
	// stopBound is how long telling a host to stop may take.
	stopBound = time.Second
)

var _ flight.Batcher[*answer] = (*request)(nil)

// relays knows which hosts answer for the upstreams of other halls.
type relays struct {
	mu sync.Mutex
	// states are by name of host.
	states map[string]*relayState
}

// relayState is what is known of one host from its answers.
type relayState struct {
	// open counts the batches that it owes.
	open int
	// since is when the oldest unanswered batch was sent; 0 if none is.
	since time.Duration
	// restUntil is until when others are asked first.
	restUntil time.Duration
	// way is the least time that a message took there and back.
	way time.Duration
}

func (r *relays) state(host string) *relayState {
	s := r.states[host]
	if s == nil {
		s = &relayState{}
		r.states[host] = s
	}
	return s
}

// choose gives the live host of a hall that owes the fewest answers, and none to
// a certain request; empty if there is none that answers. Of those that owe
// alike, all hosts take the same one: it sees most calls to its upstreams, so it
// learns soon how they do. Choosing by chance was tried and was worse.
func (r *relays) choose(v *kernel.View, hall string, now time.Duration, owing map[string]int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for n, m := range v.Members {
		if m.Live && !m.Leaving && m.Hall == hall && m.Peer.IsValid() && owing[n] == 0 && r.answers(n, now) {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.state(a).open, r.state(b).open), cmp.Compare(a, b))
	})
}

func (r *relays) answers(host string, now time.Duration) bool {
	s := r.state(host)
	return now >= s.restUntil && (s.since == 0 || now-s.since < relaySilent)
}

func (r *relays) sent(host string, now time.Duration) (way time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(host)
	s.open++
	if s.since == 0 {
		s.since = now
	}
	return s.way
}

// answered notes an answer and how long the message took there and back.
func (r *relays) answered(host string, now, way time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(host)
	s.settle(now)
	if s.way == 0 || way < s.way {
		s.way = way
	}
}

// unanswered notes a batch without an answer; with late the answer was due
// long before, and the host is left alone for a while.
func (r *relays) unanswered(host string, now time.Duration, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(host)
	if !late {
		since := s.since
		s.settle(now)
		if s.open > 0 {
			s.since = since
		}
		return
	}
	s.settle(now)
	s.restUntil = now + relayRest
}

func (s *relayState) settle(now time.Duration) {
	s.open--
	s.since = 0
	if s.open > 0 {
		s.since = now
	}
}

// relaying is which hosts make calls for one request.
type relaying struct {
	mu sync.Mutex
	// begun are the batches, by number of the batch's first attempt.
	begun map[int]begun
	// owing counts the batches that a host has not answered. A hedge must not
	// wait for the same host as the call that it hedges.
	owing map[string]int
}

// begun is a batch on its way.
type begun struct {
	host string
	// floor and basis spare records that cannot be in the answer any more.
	floor []byte
	basis []*answer
}

func (r *relaying) begin(attempt int, b begun) {
	if r.begun == nil {
		r.begun, r.owing = map[int]begun{}, map[string]int{}
	}
	r.begun[attempt] = b
	r.owing[b.host]++
}

func (r *relaying) of(attempt int) begun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[attempt]
}

func (r *relaying) answered(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owing[host]--
}

// Batches implements flight.Batcher: calls to upstreams of one other hall go
// together through a host there. Even a single call does: that host has
// connections to the upstream, and making one from afar takes longer than the
// call.
func (q *request) Batches(sends []policy.Action) (batches [][]policy.Action, apart []policy.Action) {
	if q.route.Gather == nil {
		return nil, sends
	}
	k := q.engine.kernel
	q.relaying.mu.Lock()
	defer q.relaying.mu.Unlock()
	byHall := map[string][]policy.Action{}
	for _, a := range sends {
		h := k.Fleet.HallOf(a.Upstream)
		byHall[h] = append(byHall[h], a)
	}
	for h, calls := range byHall {
		host := ""
		if h != k.Settings.Hall {
			host = q.engine.relays.choose(q.view, h, k.Now(), q.relaying.owing)
		}
		if host == "" {
			apart = append(apart, calls...)
			continue
		}
		b := begun{host: host}
		if calls[0].HedgeIn == 0 {
			// Most parts are here when one is hedged.
			b.floor, b.basis = q.parts.floor(q.route.Gather.Top)
		}
		q.relaying.begin(calls[0].Attempt, b)
		batches = append(batches, calls)
	}
	return batches, apart
}

// CallBatch implements flight.Batcher.
func (q *request) CallBatch(ctx context.Context, batch []policy.Action, to flight.Reporter[*answer]) {
	e := q.engine
	k := e.kernel
	b := q.relaying.of(batch[0].Attempt)
	host := b.host
	ctx, span := k.Tracer.Start(ctx, "relay", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("Relay", host), attribute.Int("Calls", len(batch)))
	}
	started := k.Now()
	way := e.relays.sent(host, started)
	in := q.gatherRequest(batch, way)
	in.Floor, in.Trace = b.floor, wire.TraceOf(ctx)
	var first GatherReply
	err := e.callRelay(ctx, host, MethodGather, in, &first, q.deadline)
	took := k.Now() - started
	q.relaying.answered(host)
	if err != nil {
		due := time.Duration(in.FirstMillis)*time.Millisecond + way
		e.relays.unanswered(host, k.Now(), ctx.Err() == nil || took > due+relaySilent)
		if ctx.Err() != nil {
			e.stopRelay(host, BatchName{ID: in.ID, Left: q.left.Load()}, q.id)
		}
		q.batchFailed(ctx, batch, host, err, to)
		return
	}
	held := time.Duration(first.HeldMicros) * time.Microsecond
	e.relays.answered(host, k.Now(), max(took-held, time.Microsecond))
	q.reportBatch(batch, &first, b.basis, took-held, to)
	q.askForRest(ctx, batch, in.ID, &first, took-held, to)
}

// askForRest reports what a batch's first answer lacked, as it comes in. The
// calls that are not in when the first answer was due are hedged.
func (q *request) askForRest(ctx context.Context, batch []policy.Action, id string, last *GatherReply, way time.Duration, to flight.Reporter[*answer]) {
	b := q.relaying.of(batch[0].Attempt)
	overdue := false
	for last.Open > 0 {
		if last.Due && !overdue {
			overdue = true
			to.Overdue()
		}
		last = new(GatherReply)
		if err := q.engine.callRelay(ctx, b.host, MethodRest, BatchName{ID: id}, last, q.deadline); err != nil {
			if ctx.Err() == nil {
				q.engine.kernel.Decisions.Info().Str("RequestID", q.id).Str("Relay", b.host).Err(err).Msg("rest of a batch not answered")
			}
			q.engine.stopRelay(b.host, BatchName{ID: id, Left: q.left.Load()}, q.id)
			return
		}
		q.reportBatch(batch, last, b.basis, way, to)
	}
}

// gatherRequest describes a batch for the host that makes its calls. The first
// answer is to be here before the calls that it lacks are hedged.
func (q *request) gatherRequest(batch []policy.Action, way time.Duration) *GatherRequest {
	now := q.engine.kernel.Now()
	in := &GatherRequest{
		ID:    q.engine.batchPrefix + strconv.FormatUint(q.engine.batches.Add(1), 36),
		Route: q.route.Name, RequestID: q.id, Method: q.method, Head: string(q.head), Body: q.body, Top: q.route.Gather.Top,
		FirstMillis:    max(q.firstDue(batch)-way-gatherReserve, gatherLeast).Milliseconds(),
		DeadlineMillis: (q.deadline - now).Milliseconds(),
	}
	for _, a := range batch {
		in.Upstreams = append(in.Upstreams, a.Upstream.Name)
	}
	return in
}

// firstDue is in what time the first answer for a batch is wanted: before its
// calls are hedged. Hedges are not hedged again; theirs is wanted soon.
func (q *request) firstDue(batch []policy.Action) time.Duration {
	due := q.begun + time.Duration(q.class.Patience) - q.engine.kernel.Now()
	for _, a := range batch {
		if a.HedgeIn > 0 {
			due = min(due, a.HedgeIn)
		} else {
			due = min(due, time.Duration(hedgesFirst*float64(q.route.Objective)))
		}
	}
	return due
}

// callRelay calls another host and gives up with the context or the deadline.
func (e *Engine) callRelay(ctx context.Context, host, method string, in, out any, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, deadline-e.kernel.Now())
	defer cancel()
	return e.kernel.Peers.Call(ctx, host, method, in, out)
}

// reportBatch reports the calls that a reply tells of. Their records are kept
// as one block that stands for all of them.
func (q *request) reportBatch(batch []policy.Action, g *GatherReply, basis []*answer, way time.Duration, to flight.Reporter[*answer]) {
	fleet := q.engine.kernel.Fleet
	fleet.TakeConditions(q.engine.kernel.Now(), fleet.HallOf(batch[0].Upstream), g.Worse)
	block := &block{records: g.Records, stamps: map[int]string{}, basis: basis}
	for _, c := range g.Ended {
		if c.Index >= 0 && c.Index < len(batch) && c.Stamp != "" {
			block.stamps[batch[c.Index].Part] = c.Stamp
		}
	}
	for _, c := range g.Ended {
		if c.Index < 0 || c.Index >= len(batch) {
			continue
		}
		r := flight.Reply[*answer]{Outcome: policy.CallOutcome(c.Outcome), Took: time.Duration(c.TookMicros)*time.Microsecond + way}
		if c.Stamp != "" {
			r.Outcome, r.Part = policy.CallOK, &answer{block: block}
		}
		to.Report(c.Index, r)
	}
}

// batchFailed reports a batch whose host gave no answer. That says nothing of the
// upstreams.
func (q *request) batchFailed(ctx context.Context, batch []policy.Action, host string, err error, to flight.Reporter[*answer]) {
	outcome := policy.CallLost
	if unreached(err) {
		outcome = policy.CallNotSent
	}
	if ctx.Err() == nil {
		q.engine.kernel.Decisions.Info().Str("RequestID", q.id).Str("Relay", host).Int("Calls", len(batch)).
			Str("Outcome", string(outcome)).Err(err).Msg("batch not answered")
	}
	for i := range batch {
		to.Report(i, flight.Reply[*answer]{Outcome: outcome})
	}
}

// stopRelay tells a host that the calls of a batch are not wanted any more.
func (e *Engine) stopRelay(host string, name BatchName, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	if err := e.kernel.Peers.Notify(ctx, host, MethodStop, name); err != nil {
		e.kernel.Decisions.Info().Str("RequestID", request).Str("Relay", host).Err(err).Msg("batch not stopped")
	}
}
