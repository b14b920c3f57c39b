package runner

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/policy"
)

// call is a call in progress.
type call struct {
	cancel context.CancelFunc
	// batched is true for a call that another host makes within its own slots; it
	// holds no slot of this host.
	batched bool
	// cancelOutcome is the outcome to report if the call is cancelled; empty if it is not.
	cancelOutcome policy.CallOutcome
	// lingering is true once the call continues although its result is not needed.
	lingering bool
	// ended is true once the outcome is known, even before the run is notified.
	ended bool
}

// send starts a call; e.mu must be held.
func (e *execution[R]) send(a policy.Action) {
	ctx, cancel := context.WithCancel(e.ctx)
	c := &call{cancel: cancel}
	e.calls[a.Attempt] = c
	go e.call(ctx, a, c)
}

// call makes one call, unless the process was paused or the deadline has passed, and
// records its outcome.
func (e *execution[R]) call(ctx context.Context, a policy.Action, c *call) {
	k := e.kernel
	started := k.Now()
	reply := Reply[R]{Outcome: policy.CallNotSent}
	if k.Responsive() && started < e.deadline {
		k.Fleet.RecordSent(started, a.Upstream)
		reply = e.caller.Call(ctx, a)
	}
	e.endCall(a, c, started, reply)
}

// endCall reports the outcome of a call to the observer, the metrics, the fleet and the run.
func (e *execution[R]) endCall(a policy.Action, c *call, started time.Duration, reply Reply[R]) {
	k := e.kernel
	now := k.Now()
	if reply.Took == 0 {
		reply.Took = now - started
	}
	e.mu.Lock()
	c.cancel()
	c.ended = true
	lingering := c.lingering
	reply.Outcome = e.finalOutcome(now, c, reply.Outcome)
	if e.observer != nil {
		e.observer.CallEnded(a, reply, now-started, e.finished)
	}
	e.mu.Unlock()
	countCall(reply.Outcome)
	granted := k.Fleet.Finish(now, policy.Call{
		Upstream: a.Upstream, Pool: a.Pool, Outcome: reply.Outcome, Took: reply.Took, Load: reply.Load, RelayedLoad: reply.RelayedLoad,
		Relayed: c.batched, Lingering: lingering, NewConnReset: reply.NewConnReset && !c.batched,
	})
	e.handle(func(now time.Duration) []policy.Action {
		e.answer = reply.Answer
		return e.run.Reply(now, a.Attempt, reply.Outcome)
	})
	policy.NotifyGranted(granted)
}

// finalOutcome returns the outcome to report for a call. A call that this host cancelled, or
// that ended after the deadline, does not count as broken or lost; e.mu must be held.
func (e *execution[R]) finalOutcome(now time.Duration, c *call, o policy.CallOutcome) policy.CallOutcome {
	switch {
	case o != policy.CallBroken && o != policy.CallLost:
		return o
	case c.cancelOutcome != "":
		return c.cancelOutcome
	case now >= e.deadline:
		return policy.CallLate
	}
	return o
}

// linger lets a call continue for a while before it is cancelled; e.mu must be held.
func (e *execution[R]) linger(a policy.Action) {
	c := e.calls[a.Attempt]
	if c == nil || c.ended {
		e.kernel.Fleet.CancelLinger(a.Upstream)
		return
	}
	c.cancelOutcome, c.lingering = a.Outcome, true
	time.AfterFunc(policy.LingerDuration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		c.cancel()
	})
}

var callCounters sync.Map

// countCall counts calls by outcome. The counters are cached, because building their names
// costs more than counting.
func countCall(o policy.CallOutcome) {
	c, ok := callCounters.Load(o)
	if !ok {
		c, _ = callCounters.LoadOrStore(o, metrics.GetOrCreateCounter(`loomgap_upstream_calls_total{Outcome="`+string(o)+`"}`))
	}
	c.(*metrics.Counter).Inc()
}
