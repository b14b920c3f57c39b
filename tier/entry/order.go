package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"loomgap/tier/config"
	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/query"
	"loomgap/tier/wire"
)

// methodOrder is the peer method that forwards an order to the host that holds its ticket.
const methodOrder = "Order"

// order is a parsed request to write a record, which must run at most once.
type order struct {
	*request
	ticket  ticket
	payload *entrygen.OrderPayload
	place   *query.Place
	// shard is the shard of the record's key.
	shard *config.Shard
	// forwarded is true if another host sent the order. It is then not forwarded again.
	forwarded bool
}

// Bounds of the wait for news of the process that minted a ticket.
const (
	// minterNewsBeats is the number of heartbeat intervals to wait for news of a new process.
	minterNewsBeats = 2
	// minterPollInterval is the interval at which the members are looked at.
	minterPollInterval = 10 * time.Millisecond
)

// newOrder parses an order and sets its configuration and deadline. The error is
// errNoConfig, or wraps errInvalid and tells the caller what to do.
func (e *engine) newOrder(in *entrygen.OrderPayload) (*order, error) {
	t, err := parseTicket(in.Ticket)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	place, err := query.ParsePlace(in.Statement)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	q, err := e.newRequest(in.Ticket, in.Class, place.Service, in.DeadlineMillis)
	if err != nil {
		return nil, err
	}
	shard, err := q.service.ShardOf(place.Key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return &order{request: q, ticket: t, payload: in, place: place, shard: shard}, nil
}

// Order runs an order at most once, on this host or on the host that holds its ticket.
func (e *engine) Order(ctx context.Context, in *entrygen.OrderPayload) (*entrygen.Answer, error) {
	return e.order(ctx, in, false)
}

func (e *engine) order(ctx context.Context, in *entrygen.OrderPayload, forwarded bool) (*entrygen.Answer, error) {
	o, err := e.newOrder(in)
	if errors.Is(err, errNoConfig) {
		return e.unknownAnswer(in, "this host has no configuration yet; ask again with the same ticket"), nil
	}
	if err != nil {
		return nil, err
	}
	o.forwarded = forwarded
	return e.instrument(ctx, "order", in.Ticket, in.Class, func(ctx context.Context) (*entrygen.Answer, error) {
		return e.answerOrder(ctx, o)
	})
}

// answerOrder answers an order on this host, or asks the host that holds its ticket.
func (e *engine) answerOrder(ctx context.Context, o *order) (*entrygen.Answer, error) {
	tickets := e.ticketsOf(o.ticket)
	if tickets == nil || !o.forwarded && !tickets.holds(o.ticket.Counter) && e.minterRuns(o) {
		return e.forward(ctx, o)
	}
	return e.answerHere(ctx, tickets, o)
}

// minterRuns reports whether the process that minted the ticket may still run, so that it may not
// have handed over all of its tickets yet.
func (e *engine) minterRuns(o *order) bool {
	return o.ticket.Host != e.kernel.Settings.Host && o.view.Members[o.ticket.Host].Incarnation == o.ticket.Incarnation
}

// answerHere answers an order according to the state of its ticket in a store of this host: it runs
// the order, waits for the running attempt, returns the stored answer, or asks the hosts that got
// the ticket.
func (e *engine) answerHere(ctx context.Context, tickets *ticketStore, o *order) (*entrygen.Answer, error) {
	c := tickets.claim(e.kernel.Now(), o.ticket.Counter, o.payload.Statement)
	switch c.kind {
	case claimNotMinted:
		return nil, fmt.Errorf("%w: %w %q was never minted: get one from /tickets", errInvalid, errTicket, o.id)
	case claimMismatch:
		return nil, fmt.Errorf("%w: %w %q was used for another statement: get a new one", errInvalid, errTicket, o.id)
	case claimExpired:
		return e.unknownAnswer(o.payload, "the ticket expired; look the record up before placing it again"), nil
	case claimReleased:
		return e.askAfterHandover(ctx, o, c.done), nil
	case claimDone:
		return c.answer, nil
	case claimWait:
		return e.awaitAnswer(ctx, tickets, o, c), nil
	default:
	}
	answer := e.place(ctx, o)
	tickets.finish(o.ticket.Counter, answer)
	return answer, nil
}

// ticketsOf returns the store that a ticket belongs to; nil if this host does not hold the
// tickets of its process.
func (e *engine) ticketsOf(t ticket) *ticketStore {
	if t.Host == e.kernel.Settings.Host && t.Incarnation == e.kernel.Settings.Incarnation {
		return e.tickets
	}
	return e.adopted.find(processID(t.Host, t.Incarnation))
}

// awaitAnswer waits until the deadline for the answer of the running attempt.
func (e *engine) awaitAnswer(ctx context.Context, tickets *ticketStore, o *order, c claim) *entrygen.Answer {
	ctx, cancel := context.WithTimeout(ctx, o.deadline-e.kernel.Now())
	defer cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	if a := tickets.answer(o.ticket.Counter); a != nil {
		return a
	}
	return e.unknownAnswer(o.payload, "an earlier try has no answer yet; ask again with the same ticket")
}

// forward sends an order to the host that minted its ticket, or, if that process is gone, to
// the hosts that may have adopted the ticket. If that fails the answer is Unknown, since an
// earlier attempt may have run.
func (e *engine) forward(ctx context.Context, o *order) (*entrygen.Answer, error) {
	minter, known := o.view.Members[o.ticket.Host]
	if o.ticket.Host == e.kernel.Settings.Host || known && minter.Incarnation > o.ticket.Incarnation {
		return e.askSuccessors(ctx, o), nil
	}
	answer, err := e.sendOrder(ctx, o.ticket.Host, o)
	if err != nil && !e.knowsMinter(o.ticket) && e.awaitMinter(ctx, o) {
		answer, err = e.sendOrder(ctx, o.ticket.Host, o)
	}
	if err == nil {
		return answer, nil
	}
	e.kernel.Log.Warn().Err(err).Str("Ticket", o.id).Msg("failed to forward order")
	if tickets := e.ticketsOf(o.ticket); tickets != nil {
		// Its host may have handed the ticket over to this one meanwhile.
		return e.answerHere(ctx, tickets, o)
	}
	if o.deadline > e.kernel.Now() {
		return e.askSuccessors(ctx, o), nil
	}
	return e.unknownAnswer(o.payload, "the host that minted the ticket was not reached; ask again with the same ticket"), nil
}

// knowsMinter reports whether this host has heard of the process that minted a ticket, or of a
// later one of that host.
func (e *engine) knowsMinter(t ticket) bool {
	m, known := e.kernel.View().Members[t.Host]
	return known && m.Incarnation >= t.Incarnation
}

// awaitMinter waits until this host has heard of the process that minted the ticket, and reports
// whether it has.
func (e *engine) awaitMinter(ctx context.Context, o *order) bool {
	end := min(o.deadline, e.kernel.Now()+minterNewsBeats*e.kernel.Settings.Beat)
	for !e.knowsMinter(o.ticket) {
		if ctx.Err() != nil || e.kernel.Now() >= end {
			return false
		}
		kernel.Sleep(ctx, minterPollInterval)
	}
	return true
}

// sendOrder sends an order to another host and waits for the answer until the deadline.
func (e *engine) sendOrder(ctx context.Context, host string, o *order) (*entrygen.Answer, error) {
	left := o.deadline - e.kernel.Now()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	var out entrygen.Answer
	err := e.kernel.Peers.Call(ctx, host, methodOrder, wire.OrderRequest{
		Ticket: o.id, Statement: o.payload.Statement, Class: o.payload.Class,
		DeadlineMillis: left.Milliseconds(), Trace: wire.TraceParent(ctx),
	}, &out)
	return &out, err
}

// serveOrder serves an order that another host sent with sendOrder.
func (e *engine) serveOrder(ctx context.Context, in *wire.OrderRequest) (any, error) {
	t, err := parseTicket(in.Ticket)
	if err != nil {
		return nil, err
	}
	if e.ticketsOf(t) == nil {
		return nil, fmt.Errorf("%w %q: %w", errTicket, in.Ticket, errNotSuccessor)
	}
	return e.order(wire.WithTraceParent(ctx, in.Trace), &entrygen.OrderPayload{
		Ticket: in.Ticket, Statement: in.Statement, Class: in.Class, DeadlineMillis: &in.DeadlineMillis,
	}, true)
}

// place sends an order to one upstream of its shard. It tries another upstream only after
// proof that the order did not run.
func (e *engine) place(ctx context.Context, o *order) *entrygen.Answer {
	fields := make([]query.Field, 0, len(o.place.Fields))
	for _, a := range o.place.Fields {
		fields = append(fields, query.Field{Name: a.Field, Value: a.Value})
	}
	replicas, _ := e.kernel.Fleet.Plan([][]string{o.shard.Replicas})
	var placed wire.PartReply
	c := &partCaller{
		engine:       e,
		upstreamCall: upstreamCall{service: o.service.Name, path: wire.PathPlace, deadline: o.deadline},
		take:         func(p *wire.PartReply) { placed = *p },
		message: func(_, attempt int) (wire.Identity, any) {
			m := wire.PlaceRequest{
				Identity: wire.Identity{RequestID: o.id, Attempt: attempt, Shard: o.shard.Name, MapRevision: o.service.MapRevision},
				Service:  o.service.Name, Key: o.place.Key,
				DeadlineMillis: e.millisLeft(o.request), Fields: fields,
			}
			return m.Identity, &m
		},
	}
	result, err := e.run(ctx, c, o.request, replicas, false)
	var refusal *policy.Refusal
	switch {
	case errors.As(err, &refusal):
		return e.notRunAnswer(o.id, o.class.Name, refusal.Reason, refusal.RetryAfter)
	case err != nil:
		return e.notRunAnswer(o.id, o.class.Name, err.Error(), notReadyRetryAfter)
	case result.OutcomeUnknown:
		return e.unknownAnswer(o.payload, "the upstream's answer was lost; look the record up before placing it again")
	case result.Included == 0:
		return e.notRunAnswer(o.id, o.class.Name, "no upstream took it: "+string(result.Reasons[0]), time.Duration(o.class.Deadline))
	}
	answer := e.resultAnswer(o.request, []config.Shard{*o.shard}, &result)
	answer.Snapshot, answer.Count = placed.Snapshot, placed.Count
	return answer
}
