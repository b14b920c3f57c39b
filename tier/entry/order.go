package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"loomgap/tier/config"
	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/policy"
	"loomgap/tier/query"
	"loomgap/tier/wire"
)

// MethodOrder is the peer method that forwards an order to its ticket's host.
const MethodOrder = "Order"

// Mint makes a ticket for one not-repeatable request.
func (e *Engine) Mint() (Ticket, error) { return e.tickets.Mint(e.kernel.Now()) }

// Order runs a not-repeatable request at most once, here or at the host that
// minted its ticket.
func (e *Engine) Order(ctx context.Context, in *entrygen.OrderPayload) (*entrygen.Answer, error) {
	t, err := ParseTicket(in.Ticket)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	place, err := query.ParsePlace(in.Statement)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	h, err := e.hold(in.Class, place.Service, in.DeadlineMillis)
	if errors.Is(err, ErrNoConfig) {
		return e.unknown(in, "this host has no configuration yet; ask again with the same ticket"), nil
	}
	if err != nil {
		return nil, err
	}
	shard, err := h.service.ShardOf(place.Key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	e.kernel.InFlight.Add(1)
	defer e.kernel.InFlight.Add(-1)
	ctx, span := e.kernel.Tracer.Start(ctx, "order")
	defer span.End()
	span.SetAttributes(attribute.String("RequestID", in.Ticket), attribute.String("Class", in.Class))
	started := e.kernel.Now()
	answer, err := e.order(ctx, t, in, h, place, shard)
	if err != nil {
		return nil, err
	}
	span.SetAttributes(attribute.String("Outcome", answer.Outcome))
	e.count(answer, e.kernel.Now()-started)
	return answer, nil
}

// order runs an order under its ticket, here or where the ticket is held.
func (e *Engine) order(ctx context.Context, t Ticket, in *entrygen.OrderPayload, h *held, place *query.Place, shard *config.Shard) (*entrygen.Answer, error) {
	tickets := e.ticketsOf(t)
	if tickets == nil {
		return e.forward(ctx, t, in, h), nil
	}
	c := tickets.Claim(e.kernel.Now(), t.Counter, in.Statement)
	switch c.Kind {
	case ClaimNever:
		return nil, fmt.Errorf("%w: %w %q was never minted: get one from /tickets", ErrInvalid, ErrTicket, in.Ticket)
	case ClaimOther:
		return nil, fmt.Errorf("%w: %w %q was used for another statement: get a new one", ErrInvalid, ErrTicket, in.Ticket)
	case ClaimForgotten:
		return e.unknown(in, "the ticket expired; look the record up before placing it again"), nil
	case ClaimGiven:
		return e.askHeirs(ctx, t, in, h), nil
	case ClaimDone:
		return c.Answer, nil
	case ClaimWait:
		return e.await(ctx, tickets, t, in, h, c), nil
	default:
	}
	answer := e.place(ctx, in, h, place, shard)
	tickets.Settle(t.Counter, answer)
	return answer, nil
}

// ticketsOf returns the tickets that a ticket belongs to; nil if this host holds
// none of that process.
func (e *Engine) ticketsOf(t Ticket) *Tickets {
	if t.Host == e.kernel.Settings.Host && t.Incarnation == e.kernel.Settings.Incarnation {
		return e.tickets
	}
	return e.adopted.find(processOf(t.Host, t.Incarnation))
}

// await waits for the answer of the try that runs already.
func (e *Engine) await(ctx context.Context, tickets *Tickets, t Ticket, in *entrygen.OrderPayload, h *held, c Claim) *entrygen.Answer {
	timer := time.NewTimer(h.deadline - e.kernel.Now())
	defer timer.Stop()
	select {
	case <-c.Settled:
	case <-timer.C:
	case <-ctx.Done():
	}
	if a := tickets.Answer(t.Counter); a != nil {
		return a
	}
	return e.unknown(in, "an earlier try has no answer yet; ask again with the same ticket")
}

// forward hands an order to the host that minted its ticket, or if that process
// is gone, to those that may have adopted it. Whatever goes wrong, the answer is
// Unknown: an earlier try may have run.
func (e *Engine) forward(ctx context.Context, t Ticket, in *entrygen.OrderPayload, h *held) *entrygen.Answer {
	m, known := h.view.Members[t.Host]
	if t.Host == e.kernel.Settings.Host || known && m.Incarnation != t.Incarnation {
		return e.askHeirs(ctx, t, in, h)
	}
	var out entrygen.Answer
	err := e.sendOrder(ctx, t.Host, in, h, &out)
	if err == nil {
		return &out
	}
	e.kernel.Log.Warn().Err(err).Str("Ticket", in.Ticket).Msg("order not forwarded")
	if h.deadline > e.kernel.Now() {
		return e.askHeirs(ctx, t, in, h)
	}
	return e.unknown(in, "the host that minted the ticket was not reached; ask again with the same ticket")
}

// onOrder serves a forwarded order.
func (e *Engine) onOrder(ctx context.Context, params json.RawMessage) (any, error) {
	var in wire.OrderRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("bad order: %w", err)
	}
	t, err := ParseTicket(in.Ticket)
	if err != nil {
		return nil, err
	}
	if e.ticketsOf(t) == nil {
		return nil, fmt.Errorf("%w %q: %w", ErrTicket, in.Ticket, errNotSuccessor)
	}
	return e.Order(wire.TraceInto(ctx, in.Trace), &entrygen.OrderPayload{
		Ticket: in.Ticket, Statement: in.Statement, Class: in.Class, DeadlineMillis: &in.DeadlineMillis,
	})
}

// place sends an order to one upstream of its shard. Only proof that it did
// not run lets it go to another.
func (e *Engine) place(ctx context.Context, in *entrygen.OrderPayload, h *held, place *query.Place, shard *config.Shard) *entrygen.Answer {
	fields := make([]query.Field, 0, len(place.Fields))
	for _, a := range place.Fields {
		fields = append(fields, query.Field{Name: a.Field, Value: a.Value})
	}
	replicas, _ := e.kernel.Fleet.Plan([][]string{shard.Replicas})
	var placed wire.PartReply
	c := &partCaller{
		engine: e, service: h.service.Name, path: wire.PathPlace, deadline: h.deadline,
		take: func(p *wire.PartReply) { placed = *p },
		message: func(_, attempt int) (wire.Identity, []byte, error) {
			m := wire.PlaceRequest{
				Identity: wire.Identity{RequestID: in.Ticket, Attempt: attempt, Shard: shard.Name, MapRevision: h.service.MapRevision},
				Service:  h.service.Name, Key: place.Key,
				DeadlineMillis: max((h.deadline - e.kernel.Now()).Milliseconds(), 1), Fields: fields,
			}
			body, err := wire.Encode(&m)
			return m.Identity, body, err
		},
	}
	result, err := e.run(ctx, c, h, replicas, false)
	var refusal *policy.Refusal
	switch {
	case errors.As(err, &refusal):
		return e.refuse(in.Ticket, in.Class, refusal.Reason, refusal.RetryAfter)
	case err != nil:
		return e.refuse(in.Ticket, in.Class, err.Error(), notReadyRetry)
	case result.Unknown:
		return e.unknown(in, "the upstream's answer was lost; look the record up before placing it again")
	case result.Included == 0:
		return e.refuse(in.Ticket, in.Class, "no upstream took it: "+string(result.Reasons[0]), time.Duration(h.class.Deadline))
	}
	answer := e.describe(in.Ticket, h, []config.Shard{*shard}, &result)
	answer.Snapshot, answer.Count = placed.Snapshot, placed.Count
	return answer
}

// unknown describes a not-repeatable request that may have run.
func (e *Engine) unknown(in *entrygen.OrderPayload, remedy string) *entrygen.Answer {
	return &entrygen.Answer{
		RequestID: in.Ticket, Class: in.Class, Outcome: OutcomeUnknown, Remedy: text(remedy), Rows: []*entrygen.Row{},
		Included: []*entrygen.KeyRange{}, Missing: []*entrygen.Missing{}, EntryHost: e.kernel.Settings.Host,
	}
}
