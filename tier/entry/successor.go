package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/kernel"
	"loomgap/tier/peers"
	"loomgap/tier/wire"
)

// MethodAdopt is the peer method that hands tickets over at a planned stop.
const MethodAdopt = "Adopt"

// Bounds of handing over.
const (
	// handedAtOnce is how many tickets one message has.
	handedAtOnce = 500
	// maxAdopted is how many processes' tickets a host keeps.
	maxAdopted = 64
	// successorsAsked is how many hosts are asked for a ticket whose process is gone.
	successorsAsked = 2
	adoptBound      = 2 * time.Second
)

// errNotSuccessor is returned by a host that has not adopted a ticket.
var errNotSuccessor = errors.New("ticket not held here")

// HandedTicket is a ticket on its way to another host.
type HandedTicket struct {
	Counter uint64
	// Left is how long it is still to be remembered.
	Left time.Duration
	// Statement is what it was first used for; empty while unused.
	Statement string `json:",omitempty"`
	// Answer is the final answer, if it has one.
	Answer *entrygen.Answer `json:",omitempty"`
}

// adoptRequest hands tickets of one process over.
type adoptRequest struct {
	Host, Incarnation string
	// Next is the counter of the first ticket that was never minted.
	Next    uint64
	Tickets []HandedTicket
}

// GiveAway ends all claims here, for good, and then gives the tickets that do
// not run. Since nothing here can run them any more, another host may.
func (t *Tickets) GiveAway(now time.Duration) []HandedTicket {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.given = true
	var out []HandedTicket
	for n, s := range t.states {
		if s.settled == nil && now < s.expires {
			out = append(out, HandedTicket{Counter: n, Left: s.expires - now, Statement: s.statement, Answer: s.answer})
		}
	}
	return out
}

// take adds handed tickets to those of the same process.
func (t *Tickets) take(now time.Duration, next uint64, handed []HandedTicket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, next)
	for _, h := range handed {
		if len(t.states) < maxTickets && t.states[h.Counter] == nil {
			t.oldest = min(t.oldest, h.Counter)
			t.states[h.Counter] = &ticketState{expires: now + min(h.Left, t.life), statement: h.Statement, answer: h.Answer}
		}
	}
}

// adopted holds the tickets of processes that stopped as planned.
type adopted struct {
	mu  sync.Mutex
	all map[string]*Tickets
	// order lists the processes by when they were adopted.
	order []string
}

func processOf(host, incarnation string) string { return host + "/" + incarnation }

// find returns the tickets of a process; nil if they are not held here.
func (a *adopted) find(process string) *Tickets {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.all[process]
}

// open returns the tickets of a process, made empty at first; the oldest process
// is dropped when there are too many, and its tickets are Unknown from then on.
func (a *adopted) open(host, incarnation string, life time.Duration) *Tickets {
	a.mu.Lock()
	defer a.mu.Unlock()
	process := processOf(host, incarnation)
	if t := a.all[process]; t != nil {
		return t
	}
	if len(a.order) >= maxAdopted {
		delete(a.all, a.order[0])
		a.order = a.order[1:]
	}
	t := NewTickets(TicketsConfig{Host: host, Incarnation: incarnation, Life: life})
	if a.all == nil {
		a.all = map[string]*Tickets{}
	}
	a.all[process] = t
	a.order = append(a.order, process)
	return t
}

// list gives all that was adopted.
func (a *adopted) list() []*Tickets {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*Tickets
	for _, p := range a.order {
		out = append(out, a.all[p])
	}
	return out
}

// onAdopt takes tickets in.
func (e *Engine) onAdopt(_ context.Context, params json.RawMessage) (any, error) {
	var in adoptRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("bad tickets: %w", err)
	}
	if e.kernel.Phase() == kernel.PhaseDraining {
		return nil, errors.New("this host stops too: give the tickets to another")
	}
	t := e.adopted.open(in.Host, in.Incarnation, e.kernel.Settings.TicketLife)
	t.take(e.kernel.Now(), in.Next, in.Tickets)
	return struct{}{}, nil
}

// successors ranks the other hosts that may hold the tickets of a process that is gone.
func successors(v *kernel.View, s *kernel.Settings, process string) []string {
	ranked := peers.Rank("heir\x00"+process, v.Hall(s))
	return slices.DeleteFunc(ranked, func(h string) bool { return h == s.Host })
}

// handOver gives this host's tickets, and those it adopted, to other hosts. Each
// ticket is sent once: if a message is lost, its tickets are Unknown.
func (e *Engine) handOver() {
	for _, t := range append(e.adopted.list(), e.tickets) {
		process := processOf(t.host, t.incarnation)
		ranked := successors(e.kernel.View(), &e.kernel.Settings, process)
		handed := t.GiveAway(e.kernel.Now())
		if len(handed) == 0 || len(ranked) == 0 {
			continue
		}
		for part := range slices.Chunk(handed, handedAtOnce) {
			e.hand(ranked[0], &adoptRequest{Host: t.host, Incarnation: t.incarnation, Next: t.next, Tickets: part})
		}
	}
}

func (e *Engine) hand(heir string, r *adoptRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), adoptBound)
	defer cancel()
	var out struct{}
	err := e.kernel.Peers.Call(ctx, heir, MethodAdopt, r, &out)
	e.kernel.Log.Info().Err(err).Str("Heir", heir).Int("Tickets", len(r.Tickets)).Msg("tickets handed over")
}

// askHeirs sends an order to the hosts that may have adopted its ticket.
func (e *Engine) askHeirs(ctx context.Context, t Ticket, in *entrygen.OrderPayload, h *held) *entrygen.Answer {
	ranked := successors(h.view, &e.kernel.Settings, processOf(t.Host, t.Incarnation))
	for _, n := range ranked[:min(successorsAsked, len(ranked))] {
		var out entrygen.Answer
		if e.sendOrder(ctx, n, in, h, &out) == nil {
			return &out
		}
	}
	return e.unknown(in, "no host that was reached holds the ticket; ask again with the same ticket, then look the record up before placing it again")
}

// sendOrder sends an order to another host, within the deadline.
func (e *Engine) sendOrder(ctx context.Context, host string, in *entrygen.OrderPayload, h *held, out *entrygen.Answer) error {
	left := h.deadline - e.kernel.Now()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return e.kernel.Peers.Call(ctx, host, MethodOrder, wire.OrderRequest{
		Ticket: in.Ticket, Statement: in.Statement, Class: in.Class,
		DeadlineMillis: left.Milliseconds(), Trace: wire.TraceOf(ctx),
	}, out)
}
