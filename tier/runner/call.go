package runner

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/policy"
)

type call struct {
	cancel context.CancelFunc
	// batched is true for a call that another host makes within its own slots;
	// it holds none of this host's.
	batched bool
	// outcome is what a cancelled call counts as; empty if not cancelled.
	outcome policy.CallOutcome
	// lingering is true once the call goes on though it is not wanted.
	lingering bool
	// ended is true once the call has its outcome, though the run does not know
	// it yet.
	ended bool
}

// send starts a call; the execution is locked.
func (e *execution[R]) send(a policy.Action) {
	ctx, cancel := context.WithCancel(e.ctx)
	c := &call{cancel: cancel}
	e.calls[a.Attempt] = c
	go e.call(ctx, a, c)
}

// call makes one call, unless the process has just slept or the deadline is over, and
// accounts for it.
func (e *execution[R]) call(ctx context.Context, a policy.Action, c *call) {
	k := e.kernel
	started := k.Now()
	reply := Reply[R]{Outcome: policy.CallNotSent}
	if k.Responsive() && started < e.deadline {
		k.Fleet.Sent(started, a.Upstream)
		reply = e.caller.Call(ctx, a)
	}
	e.endCall(a, c, started, reply)
}

// endCall accounts for a call and passes what became of it to the run.
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
		Upstream: a.Upstream, Pool: a.Pool, Outcome: reply.Outcome, Took: reply.Took, Load: reply.Load,
		Elsewhere: c.batched, Lingering: lingering, Crowded: reply.NewConnReset && !c.batched,
	})
	e.handle(func(now time.Duration) []policy.Action {
		e.reply = reply.Answer
		return e.run.Reply(now, a.Attempt, reply.Outcome)
	})
	policy.Deliver(granted)
}

// finalOutcome distinguishes a call that was cancelled from one that broke; the
// execution is locked.
func (e *execution[R]) finalOutcome(now time.Duration, c *call, o policy.CallOutcome) policy.CallOutcome {
	switch {
	case o != policy.CallBroken && o != policy.CallLost:
		return o
	case c.outcome != "":
		return c.outcome
	case now >= e.deadline:
		return policy.CallLate
	}
	return o
}

// linger lets a call go on for a while; the execution is locked.
func (e *execution[R]) linger(a policy.Action) {
	c := e.calls[a.Attempt]
	if c == nil || c.ended {
		e.kernel.Fleet.Lingered(a.Upstream)
		return
	}
	c.outcome, c.lingering = a.Outcome, true
	time.AfterFunc(policy.LingerFor, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		c.cancel()
	})
}

var callCounters sync.Map

// countCall counts calls by outcome; the counters are kept, since building
// their names costs more than counting.
func countCall(o policy.CallOutcome) {
	c, ok := callCounters.Load(o)
	if !ok {
		c, _ = callCounters.LoadOrStore(o, metrics.GetOrCreateCounter(`loomgap_upstream_calls_total{Outcome="`+string(o)+`"}`))
	}
	c.(*metrics.Counter).Inc()
}
