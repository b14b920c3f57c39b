package runner

import (
	"context"
	"sync"
	"time"

	"loomgap/tier/policy"
)

// sendBatch starts the calls of a batch; the execution is locked. The batch is cancelled
// once each of its calls was cancelled or has its reply. Its calls give back their slots:
// another host makes them within its own.
func (e *execution[R]) sendBatch(b Batch) (granted []*policy.Waiter) {
	ctx, cancel := context.WithCancel(e.ctx)
	pending := len(b.Calls)
	calls := make([]*call, len(b.Calls))
	for i, a := range b.Calls {
		// Calls are cancelled with the execution locked.
		calls[i] = &call{batched: true, cancel: sync.OnceFunc(func() {
			if pending--; pending == 0 {
				cancel()
			}
		})}
		e.calls[a.Attempt] = calls[i]
		e.run.DelayHedge(a.Attempt)
		granted = append(granted, e.kernel.Fleet.Free(e.kernel.Now(), a.Upstream)...)
	}
	go func() {
		defer cancel()
		e.callBatch(ctx, b, calls)
	}()
	return granted
}

// callBatch makes the calls of a batch, and reports those that were not reported by its
// end.
func (e *execution[R]) callBatch(ctx context.Context, b Batch, calls []*call) {
	r := &Reporter[R]{execution: e, batch: b.Calls, calls: calls, started: e.kernel.Now()}
	unreported := Reply[R]{Outcome: policy.CallNotSent}
	if e.kernel.Responsive() && r.started < e.deadline {
		e.batcher.CallBatch(ctx, b, r)
		unreported.Outcome = policy.CallLost
	}
	for i := range b.Calls {
		r.Report(i, unreported)
	}
}

// Reporter takes in what becomes of the calls of a batch. It is used by one goroutine.
type Reporter[R any] struct {
	execution *execution[R]
	batch     []policy.Action
	calls     []*call
	started   time.Duration
}

// Report passes on the outcome of one call.
func (r *Reporter[R]) Report(i int, reply Reply[R]) {
	if !r.calls[i].ended {
		r.execution.endCall(r.batch[i], r.calls[i], r.started, reply)
	}
}

// HedgePending has the calls that were not reported hedged now, since they are known to be
// slow. Until then they wait a while longer than other calls.
func (r *Reporter[R]) HedgePending() {
	r.execution.handle(func(now time.Duration) []policy.Action {
		var late []int
		for i, a := range r.batch {
			if !r.calls[i].ended {
				late = append(late, a.Attempt)
			}
		}
		return r.execution.run.Overdue(now, late)
	})
}
