package runner

import (
	"context"
	"sync"
	"time"

	"loomgap/tier/policy"
)

// sendBatch starts the calls of a batch; e.mu must be held. It hands over their slots, since
// another host makes the calls within its own slots. The batch is cancelled once each of its
// calls has been cancelled or has a reply.
func (e *execution[R]) sendBatch(b Batch) (granted []*policy.Waiter) {
	ctx, cancel := context.WithCancel(e.ctx)
	pending := len(b.Calls)
	calls := make([]*call, len(b.Calls))
	for i, a := range b.Calls {
		// Calls are cancelled with e.mu held, which also guards pending.
		calls[i] = &call{batched: true, cancel: sync.OnceFunc(func() {
			if pending--; pending == 0 {
				cancel()
			}
		})}
		e.calls[a.Attempt] = calls[i]
		e.run.DelayHedge(a.Attempt)
		granted = append(granted, e.kernel.Fleet.HandOver(e.kernel.Now(), a.Upstream)...)
	}
	go func() {
		defer cancel()
		e.callBatch(ctx, b, calls)
	}()
	return granted
}

// callBatch makes the calls of a batch, then reports those that the Batcher did not report.
func (e *execution[R]) callBatch(ctx context.Context, b Batch, calls []*call) {
	r := &Reporter[R]{execution: e, batch: b.Calls, calls: calls, startedAt: e.kernel.Now()}
	unreported := Reply[R]{Outcome: policy.CallNotSent}
	if e.kernel.Responsive() && r.startedAt < e.deadline {
		e.batcher.CallBatch(ctx, b, r)
		unreported.Outcome = policy.CallLost
	}
	for i := range b.Calls {
		r.Report(i, unreported)
	}
}

// Reporter receives the outcomes of the calls of a batch. It is used by one goroutine.
type Reporter[R any] struct {
	execution *execution[R]
	batch     []policy.Action
	calls     []*call
	startedAt time.Duration
}

// Report records the outcome of one call. Only the first report of a call counts.
func (r *Reporter[R]) Report(i int, reply Reply[R]) {
	if !r.calls[i].ended {
		r.execution.endCall(r.batch[i], r.calls[i], r.startedAt, reply)
	}
}

// HedgePending hedges the calls that are not yet reported, because they are now known to be
// slow. Without it, batched calls would wait longer for their hedges than other calls.
func (r *Reporter[R]) HedgePending() {
	r.execution.handle(func(now time.Duration) []policy.Action {
		var pending []int
		for i, a := range r.batch {
			if !r.calls[i].ended {
				pending = append(pending, a.Attempt)
			}
		}
		return r.execution.run.HedgeNow(now, pending)
	})
}
