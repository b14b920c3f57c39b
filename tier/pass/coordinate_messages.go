package pass

import "net/netip"

// Methods of the protocol between a host and a coordinator, a host with more capacity that
// executes whole gathers for it. The values are wire names and stay compatible with hosts
// of other versions.
const (
	// methodCoordinate has the coordinator execute a request. Its reply is the response for
	// the caller.
	methodCoordinate = "Forward"
	// methodCoordinateHeartbeat is pushed to the sender of methodCoordinate, at once and
	// then every heartbeatInterval, while the coordinator works on the request.
	methodCoordinateHeartbeat = "ForwardSign"
	// methodCoordinateBegin has the coordinator begin, after its first heartbeat. Until
	// then it makes no calls.
	methodCoordinateBegin = "ForwardBegin"
	// methodCoordinateStop cancels a request.
	methodCoordinateStop = "ForwardStop"
)

// coordinateRequest asks a coordinator to execute a request.
type coordinateRequest struct {
	// ID is the unique ID of the exchange.
	ID        string
	RequestID string
	HostName  string
	Path      string
	// Route is the digest of the route at the sender. A coordinator whose route differs
	// declines, so that callers do not get responses of different configurations depending
	// on the host that executes the request.
	Route  uint64
	Method string
	// Head is the request line and the headers that are the same for all upstreams.
	Head string
	Body []byte `json:",omitempty"`
	// Caller is the address of the caller.
	Caller netip.Addr `json:",omitzero"`
	// SpentMicros is how much of the objective is spent, in microseconds, including the
	// time that the reply takes.
	SpentMicros int64
	// LeftMillis is the time until the deadline, in milliseconds; above 0.
	LeftMillis int64
	Trace      string `json:",omitempty"`
	// MayDecline is true if the sender has another host to try, so that a coordinator
	// without room may decline. Older senders never set it.
	MayDecline bool `json:",omitempty"`
	// SpentBeforeMicros is the time between the first attempt of the caller and this one,
	// in microseconds, as far as the sender knows.
	SpentBeforeMicros int64 `json:",omitempty"`
}

// roomReport is the room at the gate of a forwarded request, during a shortage.
type roomReport struct {
	// InFlight and Waiting count requests, Places limits InFlight.
	InFlight, Places, Waiting int
}

// declineReason is why a coordinator declined a request without making a call.
type declineReason string

const (
	// declineStopping means that the host is stopping or still starting.
	declineStopping declineReason = "Stopping"
	// declineRoute means that the request has a different route at the coordinator.
	declineRoute declineReason = "Route"
	// declineNotBegun means that methodCoordinateBegin did not arrive in time.
	declineNotBegun declineReason = "NotBegun"
	// declineBusy means that the request would be refused, or would wait for longer than
	// the round trip to another hall. It is sent only in reply to MayDecline.
	declineBusy declineReason = "Busy"
)

type coordinateReply struct {
	// Declined is empty if the request was executed or refused.
	Declined declineReason `json:",omitempty"`
	Status   int
	// Outcome is the outcome that the coordinator logged.
	Outcome outcome
	Header  map[string]string
	Body    []byte
	// HeldMicros is how long the coordinator held the request, in microseconds.
	HeldMicros int64
	// Room is nil if the coordinator measures no shortage or is older.
	Room *roomReport `json:",omitempty"`
}

// coordinateHeartbeat is a heartbeat of a request.
type coordinateHeartbeat struct {
	ID string
	// Room is nil if the coordinator measures no shortage or is older.
	Room *roomReport `json:",omitempty"`
}

// coordinateID identifies a request in the other two methods.
type coordinateID struct {
	ID string
}
