package entry

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	entrygen "loomgap/tier/gen/entry"
)

// maxTickets limits the tickets in one store, so that a flood of ticket requests cannot
// exhaust memory.
const maxTickets = 200_000

// Errors of tickets.
var (
	errTicket      = errors.New("bad ticket")
	errTicketsFull = errors.New("too many tickets are out")
)

// ticket identifies one order. Only the process that holds the ticket may run the order, so
// hosts need no consensus, and neither a paused process nor a network partition can make it
// run twice.
type ticket struct {
	Host        string
	Incarnation string
	Counter     uint64
}

// String returns the ticket as <host>/<incarnation>/<counter>.
func (t ticket) String() string {
	return fmt.Sprintf("%s/%s/%d", t.Host, t.Incarnation, t.Counter)
}

func parseTicket(s string) (ticket, error) {
	p := strings.Split(s, "/")
	if len(p) == 3 && p[0] != "" && p[1] != "" {
		if n, err := strconv.ParseUint(p[2], 10, 64); err == nil {
			return ticket{Host: p[0], Incarnation: p[1], Counter: n}, nil
		}
	}
	return ticket{}, fmt.Errorf("%w %q: send the ticket as /tickets gave it", errTicket, s)
}

// claimKind is the result of claiming a ticket.
type claimKind string

// The results of claiming a ticket.
const (
	// claimRun allows the claimer to run the order; it must call finish afterwards.
	claimRun claimKind = "Run"
	// claimWait means that the order is already running.
	claimWait claimKind = "Wait"
	// claimDone means that the order has a final answer.
	claimDone claimKind = "Done"
	// claimExpired means that the ticket has expired. It is unknown whether the order ran.
	claimExpired claimKind = "Forgotten"
	// claimNotMinted means that the ticket was never minted.
	claimNotMinted claimKind = "Never"
	// claimReleased means that the tickets are being handed over to another host, or were.
	claimReleased claimKind = "Given"
	// claimMismatch means that the ticket was used for another statement.
	claimMismatch claimKind = "Other"
)

// claim is the result of ticketStore.claim.
type claim struct {
	kind claimKind
	// done is closed when the running order has finished if kind is claimWait, and when the
	// tickets have been handed over if kind is claimReleased; otherwise it is nil.
	done <-chan struct{}
	// answer is the final answer; nil unless kind is claimDone.
	answer *entrygen.Answer
}

// ticketState is the state of one minted ticket.
type ticketState struct {
	// expiresAt is when the ticket expires, as time since the process started.
	expiresAt time.Duration
	// statement is the statement that the ticket was first used for; empty if unused.
	statement string
	// running is not nil while the order runs, and is closed when it has finished.
	running chan struct{}
	// answer is the final answer, which is never NotRun; nil if there is none.
	answer *entrygen.Answer
}

// ticketStore stores the tickets of one process. It is safe for concurrent use.
type ticketStore struct {
	ticketsConfig

	mu sync.Mutex
	// next is the counter of the next ticket.
	next uint64
	// oldest is the lowest counter that may be in states; lower ones have expired.
	oldest uint64
	// states holds the tickets by counter.
	states map[uint64]*ticketState
	// released is true once the tickets are being handed over. No claim succeeds then.
	released bool
	// handedOver is closed when all tickets have been handed over.
	handedOver chan struct{}
}

// ticketsConfig configures a ticketStore.
type ticketsConfig struct {
	Host, Incarnation string
	// Life is the lifetime of a ticket.
	Life time.Duration
}

func newTicketStore(c ticketsConfig) *ticketStore {
	return &ticketStore{ticketsConfig: c, next: 1, oldest: 1, states: map[uint64]*ticketState{}, handedOver: make(chan struct{})}
}

func (t *ticketStore) mint(now time.Duration) (ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	if t.released || len(t.states) >= maxTickets {
		return ticket{}, fmt.Errorf("%w: ask again in %s", errTicketsFull, t.Life)
	}
	n := t.next
	t.next++
	t.states[n] = &ticketState{expiresAt: now + t.Life}
	return ticket{Host: t.Host, Incarnation: t.Incarnation, Counter: n}, nil
}

// dropExpired removes expired tickets. A ticket with a running order is kept until the order
// has finished.
func (t *ticketStore) dropExpired(now time.Duration) {
	for t.oldest < t.next {
		s := t.states[t.oldest]
		if s != nil && (now < s.expiresAt || s.running != nil) {
			return
		}
		delete(t.states, t.oldest)
		t.oldest++
	}
}

// claim claims a ticket for an order with the given statement.
func (t *ticketStore) claim(now time.Duration, counter uint64, statement string) claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	s := t.states[counter]
	switch {
	case t.released:
		return claim{kind: claimReleased, done: t.handedOver}
	case counter >= t.next || counter == 0:
		return claim{kind: claimNotMinted}
	case s == nil:
		return claim{kind: claimExpired}
	case s.statement != "" && s.statement != statement:
		return claim{kind: claimMismatch}
	case s.answer != nil:
		return claim{kind: claimDone, answer: s.answer}
	case s.running != nil:
		return claim{kind: claimWait, done: s.running}
	case now >= s.expiresAt:
		return claim{kind: claimExpired}
	}
	s.statement = statement
	s.running = make(chan struct{})
	return claim{kind: claimRun}
}

// finish records the answer of a claimed ticket. After NotRun the order may be tried again;
// any other answer is final.
func (t *ticketStore) finish(counter uint64, a *entrygen.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[counter]
	if a.Outcome != outcomeNotRun {
		s.answer = a
	}
	close(s.running)
	s.running = nil
}

// holds reports whether the store has a ticket.
func (t *ticketStore) holds(counter uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.states[counter] != nil
}

// answer returns the final answer of a ticket; nil if it has none.
func (t *ticketStore) answer(counter uint64) *entrygen.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[counter]; s != nil {
		return s.answer
	}
	return nil
}
