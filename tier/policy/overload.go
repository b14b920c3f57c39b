package policy

import (
	"net/netip"
	"time"
)

// OverloadControl says what a host does about routed requests while there is a shortage of
// room at the upstreams.
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
	// Caller is the address of the caller; the zero value if unknown.
	Caller netip.Addr
	// ObjectiveAt is when an answer loses its full worth, DeadlineAt when the answer is due.
	ObjectiveAt, DeadlineAt time.Duration
	// Spent is the time since the caller's first attempt, as far as known. It is already
	// subtracted from ObjectiveAt.
	Spent time.Duration
}

// Completion describes how an admitted request left its gate.
type Completion struct {
	// Took is the time since the request was admitted.
	Took time.Duration
	// Covered is true if the answer has reached the least coverage.
	Covered bool
}
