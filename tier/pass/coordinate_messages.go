package pass

import "net/netip"

// Methods of the exchange between a host and a coordinator, a stronger host that
// carries whole gathers out for it. On the wire this is called forwarding; these names
// stay, since hosts of two versions talk to each other.
const (
	// methodCoordinate has the coordinator carry a request out. Its reply is the
	// answer for the caller.
	methodCoordinate = "Forward"
	// methodCoordinateSign is pushed to the sender of methodCoordinate, at once and
	// every signEvery, while the coordinator works on the request.
	methodCoordinateHeartbeat = "ForwardSign"
	// methodCoordinateBegin has the coordinator begin, once it has given its first
	// sign. Until then it makes no call.
	methodCoordinateBegin = "ForwardBegin"
	// methodCoordinateStop ends a request whose answer is not wanted any more.
	methodCoordinateStop = "ForwardStop"
)

// coordinateRequest asks a coordinator to carry a request out.
type coordinateRequest struct {
	// ID names the exchange; no other of any host has it.
	ID        string
	RequestID string
	HostName  string
	Path      string
	// Route is the digest of the route at the sender. A coordinator whose route
	// differs declines, so that a caller never gets an answer by an older
	// configuration through one host than through the one before.
	Route  uint64
	Method string
	// Head is the request line and the headers that all upstreams get alike.
	Head string
	Body []byte `json:",omitempty"`
	// Caller is the address that the request came from.
	Caller netip.Addr `json:",omitzero"`
	// SpentMicros is how much of the objective is gone, the way back included, in
	// microseconds.
	SpentMicros int64
	// LeftMillis is how long the caller still waits, in milliseconds; above 0.
	LeftMillis int64
	Trace      string `json:",omitempty"`
}

// declineReason says why a coordinator declined a request. It made no call then.
type declineReason string

const (
	// declineStopping means that the host stops or has not started.
	declineStopping declineReason = "Stopping"
	// declineRoute means that the request has another route there.
	declineRoute declineReason = "Route"
	// declineNotBegun means that methodCoordinateBegin did not come in time.
	declineNotBegun declineReason = "NotBegun"
)

type coordinateReply struct {
	// Declined is empty if the request was carried out or refused.
	Declined declineReason `json:",omitempty"`
	Status   int
	// Outcome is that of the coordinator's log line.
	Outcome outcome
	Header  map[string]string
	Body    []byte
	// HeldMicros is how long the coordinator took, in microseconds.
	HeldMicros int64
}

// coordinateID names a request in the other three methods.
type coordinateID struct {
	ID string
}
