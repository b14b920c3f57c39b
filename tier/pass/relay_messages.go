package pass

import (
	"errors"

	"loomgap/tier/policy"
)

// Methods of the exchange between a host and its relay, a host of another hall that
// makes a batch of calls for it. On the wire a batch is called a gather; these names
// stay, since hosts of two versions talk to each other.
const (
	// methodBatch has the relay make calls and merge what the upstreams answer. Its
	// reply comes when all calls have ended.
	methodBatch = "Gather"
	// methodBatchProgress is pushed to the sender of methodBatch and reports calls
	// that ended before the others; servedBatch.await says when.
	methodBatchProgress = "GatherProgress"
	// methodBatchStop cancels the calls still under way.
	methodBatchStop = "GatherStop"
	// methodRecords asks for the records that a reply left out.
	methodRecords = "GatherRecords"
)

// batchRequest asks a relay for calls to upstreams of its hall.
type batchRequest struct {
	// ID names the batch; no other batch of any host has it.
	ID string
	// Route names the route whose latencies the calls belong to.
	Route     string
	RequestID string
	Method    string
	// Head is the request line and the headers that all upstreams get alike.
	Head string
	Body []byte `json:",omitempty"`
	// Upstreams are called once each.
	Upstreams []string
	// Top is how many records the answer to the caller has; at least 1.
	Top int
	// Of is how many parts that answer is made of. With it the relay leaves out
	// records that are hardly needed; with 0 it sends all.
	Of int `json:",omitempty"`
	// FirstMillis is in how many milliseconds the first reply is due; with 0 each
	// call is reported as it ends.
	FirstMillis int64
	// DeadlineMillis is in how many milliseconds the calls end.
	DeadlineMillis int64
	Trace          string `json:",omitempty"`
}

// batchReply reports the calls that ended and were not reported before.
type batchReply struct {
	// ID is that of the batch; set in methodBatchProgress only.
	ID    string `json:",omitempty"`
	Ended []callReport
	// Records are the greatest records of the calls in Ended that succeeded, the
	// greatest first.
	Records []byte
	// Cut, if above 0, is the number under which methodRecords gives the records
	// that were left out.
	Cut int `json:",omitempty"`
	// Due is true once the first reply was due: calls not reported are slow.
	Due bool `json:",omitempty"`
	// ProgressSent counts the methodBatchProgress messages sent for the batch; set
	// in the reply to methodBatch only.
	ProgressSent int `json:",omitempty"`
	// Conditions are the upstreams of the relay's hall that do worse than others at
	// the moment.
	Conditions []policy.Condition `json:",omitempty"`
	// HeldMicros is the time from the start of the batch to this reply, in
	// microseconds.
	HeldMicros int64
}

// callReport is the result of one call of a batch.
type callReport struct {
	// Index is the position of the call's upstream in batchRequest.Upstreams.
	Index int
	// Stamp is the upstream's proof; empty unless the call succeeded.
	Stamp string `json:",omitempty"`
	// Outcome is empty if the call succeeded.
	Outcome    string `json:",omitempty"`
	TookMicros int64
}

type batchStop struct {
	ID string
	// CallerGone is true if the caller of the request is gone.
	CallerGone bool `json:"Left,omitempty"`
}

type recordsRequest struct {
	// ID is that of the batch, Cut the number that the reply gave.
	ID  string
	Cut int
}

// recordsReply has the records that a reply left out, the greatest first.
type recordsReply struct {
	Records []byte
}

// Errors of batches.
var (
	errNoBatch      = errors.New("no such batch")
	errBatchStopped = errors.New("batch was stopped")
)
