package runner

import (
	"context"
	"time"

	"loomgap/tier/policy"
)

// Reply is what came of one upstream call.
type Reply[R any] struct {
	Outcome policy.CallOutcome
	// Load is what the upstream said of its work; zero if it said nothing.
	Load policy.Load
	// Answer is what was answered; its zero value if nothing was.
	Answer R
	// NewConnReset is true if a new connection was reset before any answer.
	NewConnReset bool
	// Took is how long the call alone took, where that is known better than by
	// the time until the reply; 0 if it is not.
	Took time.Duration
}

// Caller makes the calls of an execution.
type Caller[R any] interface {
	// Call makes one call; it runs in a goroutine of its own, and ends soon
	// after its context does.
	Call(ctx context.Context, a policy.Action) Reply[R]
	// Take puts an answer into the result. Calls of it never overlap.
	Take(part int, answer R)
}

// Observer receives each call that ended. A Caller may implement it; calls of it
// never overlap.
type Observer[R any] interface {
	// CallEnded is called with the outcome of a call. With over the run had its end
	// before, and the result must not be touched any more.
	CallEnded(a policy.Action, reply Reply[R], took time.Duration, over bool)
}

// Batch is calls that go to another host together.
type Batch struct {
	Host  string
	Calls []policy.Action
}

// Batcher makes several calls in one. A Caller may implement it.
type Batcher[R any] interface {
	// Batches divides calls that begin together into batches and those that
	// Call is to make.
	Batches(sends []policy.Action) (batches []Batch, apart []policy.Action)
	// CallBatch makes the calls of a batch and reports what became of each, as
	// soon as it is known. What it has not reported when it returns counts as
	// lost. It ends soon after its context does.
	CallBatch(ctx context.Context, b Batch, to *Reporter[R])
}
