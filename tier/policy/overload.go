package policy

import (
	"net/netip"
	"time"
)

// OverloadControl says what a host does about routed requests while there is a shortage of
// capacity at the upstreams.
type OverloadControl string

const (
	// OverloadNone starts every request at once.
	OverloadNone OverloadControl = "None"
	// OverloadShortage lets requests wait or refuses them while a shortage is measured.
	OverloadShortage OverloadControl = "Shortage"
)

// Demand describes a request to a gate. All times are since the process started.
type Demand struct {
	// Route is the name of the route.
	Route string
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// Coverage is the share of the parts, 0 to 1, that an answer needs; 0 if unknown.
	Coverage float64
	// Caller is the address of the caller; the zero value if unknown.
	Caller netip.Addr
	// ObjectiveAt is when an answer loses its full worth, DeadlineAt when the answer is due.
	ObjectiveAt, DeadlineAt time.Duration
	// Spent is the time since the caller's first attempt, as far as known. It is already
	// subtracted from ObjectiveAt.
	Spent time.Duration
}

// objective returns the objective of a request that arrives now, counted from its first
// attempt.
func (d Demand) objective(now time.Duration) time.Duration { return d.ObjectiveAt + d.Spent - now }

// dueAt returns until when a request can be answered in time: its objective, or its deadline
// if its caller waits for less than that.
func (d Demand) dueAt() time.Duration { return min(d.ObjectiveAt, d.DeadlineAt) }

// Completion describes how an admitted request left its gate.
type Completion struct {
	// Took is the time since the request was admitted.
	Took time.Duration
	// Covered is true if the answer has reached the least coverage.
	Covered bool
}

// Decision is what a gate decides about a request when it arrives.
type Decision string

const (
	// DecisionRun means that the request may start.
	DecisionRun Decision = "Run"
	// DecisionWait means that it waits and is expected to meet its objective.
	DecisionWait Decision = "Wait"
	// DecisionLate means that it waits and is expected to be answered after its objective.
	DecisionLate Decision = "Late"
	// DecisionRefuse means that it is refused.
	DecisionRefuse Decision = "Refuse"
)

// Outlook is a decision and the expectation that it is based on.
type Outlook struct {
	Decision Decision
	// Wait is the expected time until a place is free for the request.
	Wait time.Duration
	// Ahead is the number of waiting requests that go before it.
	Ahead int
}

// ShortageReason is the sign of a shortage; empty if there is none.
type ShortageReason string

const (
	// ShortageQueues means that calls wait too long in the queues of the upstreams.
	ShortageQueues ShortageReason = "Queues"
	// ShortageShed means that upstreams shed too many calls.
	ShortageShed ShortageReason = "Shed"
	// ShortageHost means that this host's processor or link takes too long.
	ShortageHost ShortageReason = "Host"
)

// GateState describes a gate for operators.
type GateState struct {
	// Base is this host's fair share of the places, Places the limit; Places is 0 while
	// there is no limit.
	Base, Places int
	Limited      bool
	Reason       ShortageReason
	// InFlight and Waiting count requests.
	InFlight, Waiting int
	WaitingByRank     map[int]int
	// Refused counts the requests refused since the gate exists.
	Refused uint64
	// PerSecond is the number of requests that leave in a second.
	PerSecond float64
	// Service is the service time of one call.
	Service time.Duration
}
