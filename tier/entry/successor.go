package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/kernel"
	"loomgap/tier/peers"
)

// methodAdopt is the peer method that hands over tickets at a graceful shutdown.
const methodAdopt = "Adopt"

// Limits of the handover of tickets.
const (
	// ticketsPerMessage limits the tickets in one message.
	ticketsPerMessage = 500
	// maxAdopted limits the processes whose adopted tickets a host keeps.
	maxAdopted = 64
	// maxSuccessorsAsked limits the hosts that are asked for a ticket whose process has
	// stopped: the successor, and the next one in case the hosts' views differ.
	maxSuccessorsAsked = 2
	// adoptTimeout limits the time to send one message.
	adoptTimeout = 2 * time.Second
)

// errNotSuccessor is returned for an order whose ticket is not held by this host.
var errNotSuccessor = errors.New("ticket not held here")

// handedTicket is a ticket that one host hands over to another.
type handedTicket struct {
	Counter uint64
	// Left is the time until the ticket expires.
	Left time.Duration
	// Statement is the statement that the ticket was first used for; empty if unused.
	Statement string `json:",omitempty"`
	// Answer is the final answer, if there is one.
	Answer *entrygen.Answer `json:",omitempty"`
}

// adoptRequest hands over tickets of one process.
type adoptRequest struct {
	Host, Incarnation string
	// Next is the counter of the next ticket that the process would have minted.
	Next    uint64
	Tickets []handedTicket
}

// release makes all later claims in this process fail, and returns the tickets without a
// running order, the oldest first. This process can no longer run those orders, so another host
// may.
func (t *ticketStore) release(now time.Duration) []handedTicket {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.released = true
	var out []handedTicket
	for n, s := range t.states {
		if s.running == nil && now < s.expiresAt {
			out = append(out, handedTicket{Counter: n, Left: s.expiresAt - now, Statement: s.statement, Answer: s.answer})
		}
	}
	slices.SortFunc(out, func(a, b handedTicket) int { return cmp.Compare(a.Counter, b.Counter) })
	return out
}

// adopt adds tickets that were handed over to the store of their process. A ticket that is
// already known keeps its state, so that a duplicate message cannot make its order run again.
func (t *ticketStore) adopt(now time.Duration, next uint64, handed []handedTicket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, next)
	for _, h := range handed {
		if len(t.states) < maxTickets && t.states[h.Counter] == nil {
			t.oldest = min(t.oldest, h.Counter)
			t.states[h.Counter] = &ticketState{expiresAt: now + min(h.Left, t.Life), statement: h.Statement, answer: h.Answer}
		}
	}
}

// adoptedTickets holds the tickets of processes that shut down gracefully.
type adoptedTickets struct {
	mu sync.Mutex
	// stores has one store for each process, in the order of adoption.
	stores []*ticketStore
}

// processID identifies one process of a host.
func processID(host, incarnation string) string { return host + "/" + incarnation }

// find returns the adopted tickets of a process; nil if there are none.
func (a *adoptedTickets) find(process string) *ticketStore {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.findLocked(process)
}

// findLocked is like find, but a.mu must be held.
func (a *adoptedTickets) findLocked(process string) *ticketStore {
	for _, t := range a.stores {
		if processID(t.Host, t.Incarnation) == process {
			return t
		}
	}
	return nil
}

// getOrCreate returns the store of a process and creates it if needed. If that exceeds
// maxAdopted, it drops the store adopted first; orders with tickets of that store then have
// the outcome Unknown.
func (a *adoptedTickets) getOrCreate(host, incarnation string, life time.Duration) *ticketStore {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.findLocked(processID(host, incarnation))
	if t == nil {
		t = newTicketStore(ticketsConfig{Host: host, Incarnation: incarnation, Life: life})
		a.stores = append(a.stores[max(len(a.stores)+1-maxAdopted, 0):], t)
	}
	return t
}

// list returns the stores of all adopted processes.
func (a *adoptedTickets) list() []*ticketStore {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.stores)
}

// serveAdopt adopts the tickets that another host sent with sendTickets.
func (e *engine) serveAdopt(_ context.Context, in *adoptRequest) (any, error) {
	if e.kernel.Phase() == kernel.PhaseDraining {
		return nil, errors.New("this host stops too: give the tickets to another")
	}
	t := e.adopted.getOrCreate(in.Host, in.Incarnation, e.kernel.Settings.TicketLife)
	t.adopt(e.kernel.Now(), in.Next, in.Tickets)
	return struct{}{}, nil
}

// successors returns the other hosts of the hall that may hold the tickets of a stopped
// process, in the order in which to try them.
func successors(v *kernel.View, s *kernel.Settings, process string) []string {
	ranked := peers.Rank("heir\x00"+process, v.HallHosts(s))
	return slices.DeleteFunc(ranked, func(h string) bool { return h == s.Host })
}

// handOver hands this host's tickets and those it adopted to other hosts. Each ticket is sent
// only once; if a message is lost, orders with the tickets in it have the outcome Unknown.
func (e *engine) handOver() {
	for _, t := range append(e.adopted.list(), e.tickets) {
		e.handOverStore(t)
	}
}

// handOverStore hands the tickets of one process to another host.
func (e *engine) handOverStore(t *ticketStore) {
	defer close(t.handedOver)
	process := processID(t.Host, t.Incarnation)
	ranked := successors(e.kernel.View(), &e.kernel.Settings, process)
	handed := t.release(e.kernel.Now())
	if len(handed) == 0 || len(ranked) == 0 {
		return
	}
	for chunk := range slices.Chunk(handed, ticketsPerMessage) {
		e.sendTickets(ranked[0], &adoptRequest{Host: t.Host, Incarnation: t.Incarnation, Next: t.next, Tickets: chunk})
	}
}

// sendTickets sends one message of tickets to their successor.
func (e *engine) sendTickets(successor string, r *adoptRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), adoptTimeout)
	defer cancel()
	var out struct{}
	err := e.kernel.Peers.Call(ctx, successor, methodAdopt, r, &out)
	e.kernel.Log.Info().Err(err).Str("Successor", successor).Int("Tickets", len(r.Tickets)).Msg("ticket handover finished")
}

// askAfterHandover asks the hosts that may adopt this host's tickets for an order once these have
// been handed over, since until then none has them all.
func (e *engine) askAfterHandover(ctx context.Context, o *order, handedOver <-chan struct{}) *entrygen.Answer {
	wait, cancel := context.WithTimeout(ctx, o.deadline-e.kernel.Now())
	defer cancel()
	select {
	case <-handedOver:
	case <-wait.Done():
	}
	return e.askSuccessors(ctx, o)
}

// askSuccessors sends an order to the hosts that may have adopted its ticket, one after the
// other.
func (e *engine) askSuccessors(ctx context.Context, o *order) *entrygen.Answer {
	ranked := successors(o.view, &e.kernel.Settings, processID(o.ticket.Host, o.ticket.Incarnation))
	for _, n := range ranked[:min(maxSuccessorsAsked, len(ranked))] {
		if answer, err := e.sendOrder(ctx, n, o); err == nil {
			return answer
		}
	}
	return e.unknownAnswer(o.payload, "no host that was reached holds the ticket; ask again with the same ticket, then look the record up before placing it again")
}
