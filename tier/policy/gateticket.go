package policy

import "time"

// ticketState is the state of a ticket.
type ticketState string

const (
	// ticketWaiting is the state of a ticket in the queue.
	ticketWaiting ticketState = "Waiting"
	// ticketAdmitted is the state of a ticket that holds a place.
	ticketAdmitted ticketState = "Admitted"
	// ticketRefused is the state of a ticket that was refused; it never changes.
	ticketRefused ticketState = "Refused"
	// ticketGone is the state of a ticket that left or was abandoned; it never changes.
	ticketGone ticketState = "Gone"
)

// Ticket is one request at one gate. It is decided at most once: an abandoned ticket that
// waited is never decided. It is safe for concurrent use.
type Ticket struct {
	gate    *Gate
	demand  Demand
	number  uint64
	outlook Outlook
	decided chan struct{}
	// enteredAt is when the request came to the gate.
	enteredAt time.Duration
	// overShare is true if the caller used more than its share then.
	overShare bool
	// lateUntil is when the ticket is refused if it is late and still waits.
	lateUntil time.Duration
	// refuseBy is until when a refusal helps the caller. The ticket is then refused or settled.
	refuseBy time.Duration

	// promised is true if the caller returns to a place that was assigned to it.
	promised bool

	// The fields from here on change while the ticket waits. They are guarded by the gate's
	// lock.

	state ticketState
	// late is true if the request can't meet its objective.
	late bool
	// settled is true once the ticket is to be served, even if it then waits for longer than
	// expected.
	settled  bool
	position queuePosition
	refusal  *Refusal
	checkAt  time.Duration
}

// Admitted reports whether the request was admitted, even if it has left since.
func (t *Ticket) Admitted() bool {
	select {
	case <-t.decided:
		return t.Refusal() == nil
	default:
		return false
	}
}

// Decided returns a channel that is closed when the request is admitted or refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Refusal returns the refusal of the request, or nil unless it was refused.
func (t *Ticket) Refusal() *Refusal {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.refusal
}

// CheckAt returns when Gate.Check is due. It moves on with each check that does not decide
// the ticket.
func (t *Ticket) CheckAt() time.Duration {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.checkAt
}

// Outlook returns what Enter decided.
func (t *Ticket) Outlook() Outlook { return t.outlook }

// returned reports whether the request is a retry that waited as long as a refused caller is
// told at least.
func (t *Ticket) returned() bool { return t.demand.Spent >= minReturnTime }
