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
	// claimExpired tells that the ticket expired: the request may have run.
	claimExpired claimKind = "Forgotten"
	// claimNotMinted tells that no such ticket was minted.
	claimNotMinted claimKind = "Never"
	// claimReleased tells that the tickets were given to another host.
	claimReleased claimKind = "Given"
	// claimMismatch tells that the ticket was used for another request.
	claimMismatch claimKind = "Other"
)

type claim struct {
	kind claimKind
	// done is closed when a running request has its answer; nil unless kind is
	// claimWait.
	done <-chan struct{}
	// answer is the final answer; nil unless kind is claimDone.
	answer *entrygen.Answer
}

type ticketState struct {
	expires time.Duration
	// statement is what the ticket was first used for; empty while unused.
	statement string
	// running is not nil while the request runs.
	running chan struct{}
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
	// released is true once the tickets were released away: no claim succeeds here.
	released bool
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
	t.dropExpired(now)
	if t.released || len(t.states) >= maxTickets {
		return ticket{}, fmt.Errorf("%w: ask again in %s", errTicketsFull, t.Life)
	}
	n := t.next
	t.next++
	t.states[n] = &ticketState{expires: now + t.Life}
	return ticket{Host: t.Host, Incarnation: t.Incarnation, Counter: n}, nil
}

// dropExpired drops expired tickets. A running one is kept until it is settled.
func (t *ticketStore) dropExpired(now time.Duration) {
	for t.oldest < t.next {
		s := t.states[t.oldest]
		if s != nil && (now < s.expires || s.running != nil) {
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
	t.dropExpired(now)
	s := t.states[counter]
	switch {
	case t.released:
		return claim{kind: claimReleased}
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
	case now >= s.expires:
		return claim{kind: claimExpired}
	}
	s.statement = statement
	s.running = make(chan struct{})
	return claim{kind: claimRun}
}

// finish records the answer of a claimed ticket. After NotRun the request may
// be tried again; any other answer is final.
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

// answer returns the final answer of a ticket; nil if it has none.
func (t *ticketStore) answer(counter uint64) *entrygen.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[counter]; s != nil {
		return s.answer
	}
	return nil
}
