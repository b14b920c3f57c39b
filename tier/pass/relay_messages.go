package pass

import (
	"errors"
	"slices"

	"loomgap/tier/policy"
)

// Methods of the protocol between a host and its relay, a host of another hall that makes a
// batch of calls for it. The values are wire names and stay compatible with hosts of other
// versions.
const (
	// methodBatch has the relay make calls and merge the responses. Its reply is sent when
	// all calls have ended.
	methodBatch = "Gather"
	// methodBatchProgress is pushed to the sender of methodBatch and reports calls that
	// ended before the others; see servedBatch.waitUntilDue.
	methodBatchProgress = "GatherProgress"
	// methodBatchStop cancels the calls in flight.
	methodBatchStop = "GatherStop"
	// methodRecords fetches the records that a reply omitted.
	methodRecords = "GatherRecords"
)

// batchRequest asks a relay to call upstreams of its hall.
type batchRequest struct {
	// ID is the unique ID of the batch.
	ID string
	// Route is the name of the route, whose latencies the calls count towards.
	Route     string
	RequestID string
	Method    string
	// Head is the request line and the headers that are the same for all upstreams.
	Head string
	Body []byte `json:",omitempty"`
	// Upstreams are the upstreams to call, once each.
	Upstreams []string
	// Top is the number of records in the response to the caller; at least 1.
	Top int
	// TotalParts is the number of parts of that response. If it is set, the relay omits
	// records that are unlikely to be needed; with 0 it sends all.
	TotalParts int `json:"Of,omitempty"`
	// FirstMillis is the time until the first reply is due, in milliseconds; with 0, each
	// call is reported as it ends.
	FirstMillis int64
	// ReportMillis is the interval at which calls that have ended are reported before the
	// first reply is due, in milliseconds; 0 for none. The sender sets it during a shortage.
	ReportMillis int64 `json:",omitempty"`
	// DeadlineMillis is the time until the calls are cancelled, in milliseconds.
	DeadlineMillis int64
	// Rank and ObjectiveMillis are the priority of the request and the time until it loses
	// its full worth. The relay orders the calls that wait for a slot by them. They are set
	// only while the sender measures a shortage; otherwise the calls are ordered by
	// DeadlineMillis.
	Rank            int   `json:",omitempty"`
	ObjectiveMillis int64 `json:",omitempty"`
	// Loads is true if the sender uses the loads that upstreams report.
	Loads bool   `json:",omitempty"`
	Trace string `json:",omitempty"`
}

// batchReply reports the calls that ended since the previous reply.
type batchReply struct {
	// ID is the ID of the batch; set in methodBatchProgress only.
	ID    string `json:",omitempty"`
	Ended []callReport
	// Records are the greatest records of the successful calls in Ended, in descending
	// order.
	Records []byte
	// OmittedID identifies the omitted records in a recordsRequest; 0 if there are none.
	OmittedID int `json:"Cut,omitempty"`
	// Due is true once the first reply was due: unreported calls are slow.
	Due bool `json:",omitempty"`
	// ProgressSent is the number of methodBatchProgress messages sent for the batch; set in
	// the reply to methodBatch only.
	ProgressSent int `json:",omitempty"`
	// Conditions are the upstreams of the relay's hall that currently perform worse than
	// others.
	Conditions []policy.Condition `json:",omitempty"`
	// HeldMicros is the time from the start of the batch to this reply, in microseconds.
	HeldMicros int64
}

// callReport is the result of one call of a batch.
type callReport struct {
	// Index is the index of the upstream in batchRequest.Upstreams.
	Index int
	// Stamp is the upstream's stamp; empty unless the call succeeded.
	Stamp string `json:",omitempty"`
	// Outcome is empty if the call succeeded.
	Outcome    string `json:",omitempty"`
	TookMicros int64
	// Load is the load that the upstream reported: its running calls, its waiting calls and
	// its slots. It is set only if the sender asked for it and the upstream reported it.
	Load []int `json:",omitempty"`
	// QueuedMicros is how long the call waited for a slot of the relay; set like Load.
	QueuedMicros int64 `json:",omitempty"`
}

// load returns the reported load; zero if there is none.
func (c *callReport) load() policy.Load {
	if len(c.Load) != 3 || slices.Min(c.Load) < 0 {
		return policy.Load{}
	}
	return policy.Load{Running: c.Load[0], Waiting: c.Load[1], Slots: c.Load[2]}
}

// setLoad sets the reported load.
func (c *callReport) setLoad(l policy.Load) {
	if l.Slots > 0 {
		c.Load = []int{l.Running, l.Waiting, l.Slots}
	}
}

type batchStop struct {
	ID string
	// CallerGone is true if the caller has closed the connection.
	CallerGone bool `json:"Left,omitempty"`
}

type recordsRequest struct {
	// ID is the ID of the batch; OmittedID is the OmittedID of the batchReply.
	ID        string
	OmittedID int `json:"Cut"`
}

// recordsReply has the records that a reply omitted, in descending order.
type recordsReply struct {
	Records []byte
}

var (
	errNoBatch      = errors.New("no such batch")
	errBatchStopped = errors.New("batch was stopped")
)
