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

// maxTickets bounds the tickets that one process remembers, so that a flood of requests
// for tickets can't exhaust its memory.
const maxTickets = 200_000

// Errors of tickets.
var (
	errTicket      = errors.New("bad ticket")
	errTicketsFull = errors.New("too many tickets are out")
)

// ticket names one not-repeatable request. Only the process that minted it may
// ever run the request, so no agreement between hosts is needed, and a pause
// or a cut cannot make it run twice.
type ticket struct {
	Host        string
	Incarnation string
	Counter     uint64
}

// String writes a ticket as <host>/<incarnation>/<counter>.
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

type claimKind string

// The kinds of claim.
const (
	// claimRun lets the claimer run the request; settle must follow.
	claimRun claimKind = "Run"
	// claimWait tells that the request is running.
	claimWait claimKind = "Wait"
	// claimDone gives the answer that the request had.
	claimDone claimKind = "Done"
	// claimForgotten tells that the ticket expired: the request may have run.
	claimForgotten claimKind = "Forgotten"
	// claimNever tells that no such ticket was minted.
	claimNever claimKind = "Never"
	// claimGiven tells that the tickets were given to another host.
	claimGiven claimKind = "Given"
	// claimOther tells that the ticket was used for another request.
	claimOther claimKind = "Other"
)

type claim struct {
	kind claimKind
	// settled is closed when a running request has its answer; nil unless kind is
	// claimWait.
	settled <-chan struct{}
	// answer is the final answer; nil unless kind is claimDone.
	answer *entrygen.Answer
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

// ticketStore remembers the tickets of one process. It is safe for concurrent use.
type ticketStore struct {
	ticketsConfig

	mu sync.Mutex
	// next is the counter of the next ticket.
	next uint64
	// oldest is the counter below which all tickets are forgotten.
	oldest uint64
	states map[uint64]*ticketState
	// given is true once the tickets were given away: no claim succeeds here.
	given bool
}

type ticketsConfig struct {
	Host, Incarnation string
	// Life is how long a ticket is remembered.
	Life time.Duration
}

func newTicketStore(c ticketsConfig) *ticketStore {
	return &ticketStore{ticketsConfig: c, next: 1, oldest: 1, states: map[uint64]*ticketState{}}
}

func (t *ticketStore) mint(now time.Duration) (ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	if t.given || len(t.states) >= maxTickets {
		return ticket{}, fmt.Errorf("%w: ask again in %s", errTicketsFull, t.Life)
	}
	n := t.next
	t.next++
	t.states[n] = &ticketState{expires: now + t.Life}
	return ticket{Host: t.Host, Incarnation: t.Incarnation, Counter: n}, nil
}

// forget drops expired tickets. A running one is kept until it is settled.
func (t *ticketStore) forget(now time.Duration) {
	for t.oldest < t.next {
		s := t.states[t.oldest]
		if s != nil && (now < s.expires || s.settled != nil) {
			return
		}
		delete(t.states, t.oldest)
		t.oldest++
	}
}

// claim takes a ticket of this process for a request.
func (t *ticketStore) claim(now time.Duration, counter uint64, statement string) claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	s := t.states[counter]
	switch {
	case t.given:
		return claim{kind: claimGiven}
	case counter >= t.next || counter == 0:
		return claim{kind: claimNever}
	case s == nil:
		return claim{kind: claimForgotten}
	case s.statement != "" && s.statement != statement:
		return claim{kind: claimOther}
	case s.answer != nil:
		return claim{kind: claimDone, answer: s.answer}
	case s.settled != nil:
		return claim{kind: claimWait, settled: s.settled}
	case now >= s.expires:
		return claim{kind: claimForgotten}
	}
	s.statement = statement
	s.settled = make(chan struct{})
	return claim{kind: claimRun}
}

// settle records the answer of a claimed ticket. After NotRun the request may
// be tried again; any other answer is final.
func (t *ticketStore) settle(counter uint64, a *entrygen.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[counter]
	if a.Outcome != outcomeNotRun {
		s.answer = a
	}
	close(s.settled)
	s.settled = nil
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
