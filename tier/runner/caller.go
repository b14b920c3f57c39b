package runner

import (
	"context"
	"time"

	"loomgap/tier/policy"
)

// Reply is the result of one upstream call.
type Reply[R any] struct {
	Outcome policy.CallOutcome
	// Load is the load that the upstream reported; zero if it reported none.
	Load policy.Load
	// RelayedLoad is the load that the upstream reported to the relay of a batched call, and
	// RelayQueued how long the call waited there for a slot; zero if unknown.
	RelayedLoad policy.Load
	RelayQueued time.Duration
	// Answer is the answer; its zero value if there is none.
	Answer R
	// NewConnReset is true if a new connection was reset before any answer.
	NewConnReset bool
	// Took is the duration of the call itself, if it is known more exactly than from
	// the time until the reply; otherwise 0.
	Took time.Duration
}

// Caller makes the calls of an execution.
type Caller[R any] interface {
	// Call makes one call. It runs in its own goroutine and returns soon after its
	// context is done.
	Call(ctx context.Context, a policy.Action) Reply[R]
	// Merge merges an answer into the result. Calls to Merge never overlap.
	Merge(part int, answer R)
}

// Observer is notified of each completed call. A Caller may implement it.
type Observer[R any] interface {
	// CallEnded is called with the outcome of a call. If finished is set, the run had
	// already finished and its result must not be changed. Calls to CallEnded never
	// overlap.
	CallEnded(a policy.Action, reply Reply[R], took time.Duration, finished bool)
}

// Batch is a set of calls that are sent to another host together.
type Batch struct {
	Host  string
	Calls []policy.Action
}

// Batcher makes several calls in one message. A Caller may implement it.
type Batcher[R any] interface {
	// Batches divides calls that start together into batches and the rest, which
	// are made with Call.
	Batches(sends []policy.Action) (batches []Batch, rest []policy.Action)
	// CallBatch makes the calls of a batch and reports the outcome of each as soon as
	// it is known. Calls that are not reported when it returns count as lost. It
	// returns soon after its context is done.
	CallBatch(ctx context.Context, b Batch, to *Reporter[R])
}
