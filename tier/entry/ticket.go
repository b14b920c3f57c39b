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

// maxTickets bounds the tickets that a host remembers.
const maxTickets = 200_000

// Errors of tickets.
var (
	ErrTicket      = errors.New("bad ticket")
	ErrTicketsFull = errors.New("too many tickets are out")
)

// Ticket names one not-repeatable request. Only the process that minted it may
// ever run the request, so no agreement between hosts is needed, and a pause
// or a cut cannot make it run twice.
type Ticket struct {
	Host        string
	Incarnation string
	Counter     uint64
}

// String writes a ticket as <host>/<incarnation>/<counter>.
func (t Ticket) String() string {
	return fmt.Sprintf("%s/%s/%d", t.Host, t.Incarnation, t.Counter)
}

// ParseTicket reads a ticket.
func ParseTicket(s string) (Ticket, error) {
	p := strings.Split(s, "/")
	if len(p) != 3 || p[0] == "" || p[1] == "" {
		return Ticket{}, fmt.Errorf("%w %q: send the ticket as /tickets gave it", ErrTicket, s)
	}
	n, err := strconv.ParseUint(p[2], 10, 64)
	if err != nil {
		return Ticket{}, fmt.Errorf("%w %q: send the ticket as /tickets gave it", ErrTicket, s)
	}
	return Ticket{Host: p[0], Incarnation: p[1], Counter: n}, nil
}

// ClaimKind says what a claim of a ticket found.
type ClaimKind string

// The kinds of claim.
const (
	// ClaimRun lets the claimer run the request; Settle must follow.
	ClaimRun ClaimKind = "Run"
	// ClaimWait tells that the request is running.
	ClaimWait ClaimKind = "Wait"
	// ClaimDone gives the answer that the request had.
	ClaimDone ClaimKind = "Done"
	// ClaimForgotten tells that the ticket expired: the request may have run.
	ClaimForgotten ClaimKind = "Forgotten"
	// ClaimNever tells that no such ticket was minted.
	ClaimNever ClaimKind = "Never"
	// ClaimGiven tells that the tickets were given to another host.
	ClaimGiven ClaimKind = "Given"
	// ClaimOther tells that the ticket was used for another request.
	ClaimOther ClaimKind = "Other"
)

// Claim is the result of claiming a ticket.
type Claim struct {
	Kind ClaimKind
	// Settled is closed when a running request has its answer.
	Settled <-chan struct{}
	Answer  *entrygen.Answer
}

type ticketState struct {
	expires time.Duration
	// statement is what the ticket was first used for; empty while unused.
	statement string
	// settled is not nil while the request runs.
	settled chan struct{}
	// answer is set once the request has an answer other than NotRun.
	answer *entrygen.Answer
}

// Tickets remembers the tickets of one process. It is safe for concurrent use.
type Tickets struct {
	mu          sync.Mutex
	host        string
	incarnation string
	life        time.Duration
	// next is the counter of the next ticket.
	next uint64
	// oldest is the counter below which all tickets are forgotten.
	oldest uint64
	states map[uint64]*ticketState
	// given is true once the tickets were given away: no claim succeeds here.
	given bool
}

// TicketsConfig configures Tickets.
type TicketsConfig struct {
	Host, Incarnation string
	// Life is how long a ticket is remembered.
	Life time.Duration
}

// NewTickets makes an empty memory.
func NewTickets(c TicketsConfig) *Tickets {
	return &Tickets{
		host: c.Host, incarnation: c.Incarnation, life: c.Life,
		next: 1, oldest: 1, states: map[uint64]*ticketState{},
	}
}

// Mint makes a ticket.
func (t *Tickets) Mint(now time.Duration) (Ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	if t.given || len(t.states) >= maxTickets {
		return Ticket{}, fmt.Errorf("%w: ask again in %s", ErrTicketsFull, t.life)
	}
	n := t.next
	t.next++
	t.states[n] = &ticketState{expires: now + t.life}
	return Ticket{Host: t.host, Incarnation: t.incarnation, Counter: n}, nil
}

// forget drops expired tickets. A running one is kept until it is settled.
func (t *Tickets) forget(now time.Duration) {
	for t.oldest < t.next {
		s := t.states[t.oldest]
		if s != nil && (now < s.expires || s.settled != nil) {
			return
		}
		delete(t.states, t.oldest)
		t.oldest++
	}
}

// Claim takes a ticket of this process for a request.
func (t *Tickets) Claim(now time.Duration, counter uint64, statement string) Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	s := t.states[counter]
	switch {
	case t.given:
		return Claim{Kind: ClaimGiven}
	case counter >= t.next || counter == 0:
		return Claim{Kind: ClaimNever}
	case s == nil:
		return Claim{Kind: ClaimForgotten}
	case s.statement != "" && s.statement != statement:
		return Claim{Kind: ClaimOther}
	case s.answer != nil:
		return Claim{Kind: ClaimDone, Answer: s.answer}
	case s.settled != nil:
		return Claim{Kind: ClaimWait, Settled: s.settled}
	case now >= s.expires:
		return Claim{Kind: ClaimForgotten}
	}
	s.statement = statement
	s.settled = make(chan struct{})
	return Claim{Kind: ClaimRun}
}

// Settle records the answer of a claimed ticket. After NotRun the request may
// be tried again; any other answer is final.
func (t *Tickets) Settle(counter uint64, a *entrygen.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[counter]
	if a.Outcome != OutcomeNotRun {
		s.answer = a
	}
	close(s.settled)
	s.settled = nil
}

// Answer returns the final answer of a ticket; nil if it has none.
func (t *Tickets) Answer(counter uint64) *entrygen.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[counter]; s != nil {
		return s.answer
	}
	return nil
}
