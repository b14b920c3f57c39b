// Package runner carries out the decisions of one policy run: it makes the
// calls that the run asks for, in goroutines of their own, and feeds what
// became of them back, one event at a time.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Reply is what came of one upstream call.
type Reply[R any] struct {
	Outcome policy.CallOutcome
	// Load is what the upstream said of its work; zero if it said nothing.
	Load policy.Load
	// Part is what was answered; its zero value if nothing was.
	Part R
	// Crowded is true if a new connection was reset before any answer.
	Crowded bool
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
	// Ended is called with the outcome of a call. With over the run had its end
	// before, and the result must not be touched any more.
	Ended(a policy.Action, reply Reply[R], took time.Duration, over bool)
}

// Batcher makes several calls in one. A Caller may implement it.
type Batcher[R any] interface {
	// Batches divides calls that begin together into batches and those that
	// Call is to make.
	Batches(sends []policy.Action) (batches [][]policy.Action, apart []policy.Action)
	// CallBatch makes the calls of a batch and reports what became of each, as
	// soon as it is known. What it has not reported when it returns counts as
	// lost. It ends soon after its context does.
	CallBatch(ctx context.Context, batch []policy.Action, to Reporter[R])
}

// Reporter takes in what becomes of the calls of a batch. It is used by one
// goroutine.
type Reporter[R any] interface {
	// Report passes on the outcome of one call.
	Report(i int, r Reply[R])
	// Overdue has the calls that were not reported hedged now, since they are
	// known to be slow. Until then they wait a while longer than other calls.
	Overdue()
}

// Config describes an execution.
type Config[R any] struct {
	Kernel *kernel.Kernel
	Caller Caller[R]
	// Run describes the request; its field Granted is set by New.
	Run policy.RunConfig
}

// Execution is one run being carried out.
type Execution[R any] struct {
	kernel *kernel.Kernel
	caller Caller[R]
	// observer is nil if the caller does not implement it.
	observer Observer[R]
	// batcher is nil if the caller makes each call by itself.
	batcher  Batcher[R]
	deadline time.Duration
	ctx      context.Context

	mu  sync.Mutex
	run *policy.Run
	// reply is what the event being handled brought.
	reply R
	// over is true once the run has its end, decidedAt is when that was.
	over      bool
	decidedAt time.Duration
	// calls holds how to cancel each sent attempt.
	calls map[int]*call
	timer *time.Timer
	// wakeAt is when the timer fires.
	wakeAt time.Duration
	// done is closed when the answer is to be given.
	done chan struct{}
}

// never is a time that no timer is set to.
const never = time.Duration(1<<63 - 1)

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

// New prepares an execution.
func New[R any](c Config[R]) (*Execution[R], error) {
	e := &Execution[R]{
		kernel: c.Kernel, caller: c.Caller, deadline: c.Run.Deadline,
		calls: map[int]*call{}, done: make(chan struct{}),
	}
	e.batcher, _ = c.Caller.(Batcher[R])
	e.observer, _ = c.Caller.(Observer[R])
	c.Run.Granted = e.granted
	r, err := policy.NewRun(c.Run)
	if err != nil {
		return nil, err
	}
	e.run = r
	return e, nil
}

// Run starts the run and waits for its end. A refused request gives a
// *policy.Refusal. The context carries values only: calls are cancelled by the
// run alone, so that a caller who goes away, told by giveUp, leaves no call
// without its account.
func (e *Execution[R]) Run(ctx context.Context, giveUp <-chan struct{}) (policy.Result, error) {
	e.ctx = context.WithoutCancel(ctx)
	now := e.kernel.Now()
	e.mu.Lock()
	actions, err := e.run.Begin(now)
	if err != nil {
		e.mu.Unlock()
		return policy.Result{}, err
	}
	e.wakeAt = e.run.Next()
	e.timer = time.AfterFunc(e.wakeAt-now, e.wake)
	granted := e.perform(actions)
	e.mu.Unlock()
	policy.Deliver(granted)
	select {
	case <-e.done:
	case <-giveUp:
		e.handle(e.run.GiveUp)
		<-e.done
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer.Stop()
	return e.run.Result(), nil
}

// DecidedAt is when the run had its end, after Run has returned: what follows is
// the making of the answer.
func (e *Execution[R]) DecidedAt() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decidedAt
}

// handle passes one event to the run and carries out what it asks for.
func (e *Execution[R]) handle(event func(now time.Duration) []policy.Action) {
	e.mu.Lock()
	now := e.kernel.Now()
	granted := e.perform(event(now))
	e.schedule(now)
	e.mu.Unlock()
	policy.Deliver(granted)
}

// schedule brings the timer forward if the run wants to be woken earlier.
func (e *Execution[R]) schedule(now time.Duration) {
	next := e.run.Next()
	if e.timer != nil && next < e.wakeAt {
		e.wakeAt = next
		e.timer.Reset(max(next-now, 0))
	}
}

func (e *Execution[R]) granted(n int) {
	e.handle(func(now time.Duration) []policy.Action { return e.run.Granted(now, n) })
}

func (e *Execution[R]) wake() {
	e.handle(func(now time.Duration) []policy.Action {
		e.wakeAt = never
		return e.run.Wake(now)
	})
}

// perform carries actions out; the execution is locked. Waiters that got a slot
// are to be told after unlocking.
func (e *Execution[R]) perform(actions []policy.Action) []*policy.Waiter {
	var (
		granted []*policy.Waiter
		sends   []policy.Action
	)
	for _, a := range actions {
		switch a.Kind {
		case policy.ActionSend:
			sends = append(sends, a)
		case policy.ActionCancel:
			if c := e.calls[a.Attempt]; c != nil {
				c.outcome = a.Outcome
				c.cancel()
			}
		case policy.ActionLinger:
			e.linger(a)
		case policy.ActionTake:
			e.caller.Take(a.Part, e.reply)
		case policy.ActionFree:
			granted = append(granted, e.kernel.Fleet.Free(e.kernel.Now(), a.Upstream)...)
		case policy.ActionFinish:
			e.over, e.decidedAt = true, e.kernel.Now()
			close(e.done)
		}
	}
	return append(granted, e.launch(sends)...)
}

// launch starts calls; the execution is locked. Waiters that got a slot are to be
// told after unlocking.
func (e *Execution[R]) launch(sends []policy.Action) (granted []*policy.Waiter) {
	var batches [][]policy.Action
	if e.batcher != nil && len(sends) > 0 {
		batches, sends = e.batcher.Batches(sends)
	}
	for _, a := range sends {
		e.send(a)
	}
	for _, b := range batches {
		granted = append(granted, e.sendBatch(b)...)
	}
	return granted
}

// linger lets a call go on for a while; the execution is locked.
func (e *Execution[R]) linger(a policy.Action) {
	c := e.calls[a.Attempt]
	if c == nil || c.ended {
		e.kernel.Fleet.Lingered(a.Upstream)
		return
	}
	c.outcome, c.lingering = a.Outcome, true
	time.AfterFunc(a.For, func() { e.giveUp(c) })
}

// giveUp ends a call that lingered.
func (e *Execution[R]) giveUp(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.cancel()
}

func (e *Execution[R]) send(a policy.Action) {
	ctx, cancel := context.WithCancel(e.ctx)
	c := &call{cancel: cancel}
	e.calls[a.Attempt] = c
	go e.call(ctx, a, c)
}

// sendBatch starts the calls of a batch. The batch is cancelled once each of
// its calls was cancelled or has its reply.
func (e *Execution[R]) sendBatch(batch []policy.Action) (granted []*policy.Waiter) {
	ctx, cancel := context.WithCancel(e.ctx)
	left := len(batch)
	calls := make([]*call, len(batch))
	for i, a := range batch {
		// Calls are cancelled with the execution locked.
		once := false
		calls[i] = &call{batched: true, cancel: func() {
			if once {
				return
			}
			once = true
			if left--; left == 0 {
				cancel()
			}
		}}
		e.calls[a.Attempt] = calls[i]
		e.run.DelayHedge(a.Attempt)
		granted = append(granted, e.kernel.Fleet.Free(e.kernel.Now(), a.Upstream)...)
	}
	go func() {
		defer cancel()
		e.callBatch(ctx, batch, calls)
	}()
	return granted
}

// callBatch makes the calls of a batch and reports them.
func (e *Execution[R]) callBatch(ctx context.Context, batch []policy.Action, calls []*call) {
	r := &reporter[R]{execution: e, batch: batch, calls: calls, reported: make([]bool, len(batch)), started: e.kernel.Now()}
	rest := Reply[R]{Outcome: policy.CallNotSent}
	if e.kernel.Awake() && r.started < e.deadline {
		e.batcher.CallBatch(ctx, batch, r)
		rest.Outcome = policy.CallLost
	}
	for i := range batch {
		r.Report(i, rest)
	}
}

// reporter reports the calls of one batch.
type reporter[R any] struct {
	execution *Execution[R]
	batch     []policy.Action
	calls     []*call
	reported  []bool
	started   time.Duration
}

// Report implements Reporter.
func (r *reporter[R]) Report(i int, reply Reply[R]) {
	if r.reported[i] {
		return
	}
	r.reported[i] = true
	r.execution.ended(r.batch[i], r.calls[i], r.started, reply)
}

// Overdue implements Reporter.
func (r *reporter[R]) Overdue() {
	r.execution.handle(func(now time.Duration) []policy.Action {
		var late []int
		for i, a := range r.batch {
			if !r.reported[i] {
				late = append(late, a.Attempt)
			}
		}
		return r.execution.run.Overdue(now, late)
	})
}

// call makes one upstream call and reports it.
func (e *Execution[R]) call(ctx context.Context, a policy.Action, c *call) {
	k := e.kernel
	started := k.Now()
	reply := Reply[R]{Outcome: policy.CallNotSent}
	if k.Awake() && started < e.deadline {
		k.Fleet.Sent(started, a.Upstream)
		reply = e.caller.Call(ctx, a)
	}
	e.ended(a, c, started, reply)
}

// ended accounts for a call and passes what became of it to the run.
func (e *Execution[R]) ended(a policy.Action, c *call, started time.Duration, reply Reply[R]) {
	k := e.kernel
	now := k.Now()
	if reply.Took == 0 {
		reply.Took = now - started
	}
	e.mu.Lock()
	c.cancel()
	c.ended = true
	lingering := c.lingering
	reply.Outcome = e.settled(now, c, reply.Outcome)
	if e.observer != nil {
		e.observer.Ended(a, reply, now-started, e.over)
	}
	e.mu.Unlock()
	countCall(reply.Outcome)
	granted := k.Fleet.Finish(now, policy.Call{
		Upstream: a.Upstream, Pool: a.Pool, Outcome: reply.Outcome, Took: reply.Took, Load: reply.Load,
		Elsewhere: c.batched, Lingering: lingering, Crowded: reply.Crowded && !c.batched,
	})
	e.handle(func(now time.Duration) []policy.Action {
		e.reply = reply.Part
		return e.run.Reply(now, a.Attempt, reply.Outcome)
	})
	policy.Deliver(granted)
}

// settled distinguishes a call that was cancelled from one that broke; the
// execution is locked.
func (e *Execution[R]) settled(now time.Duration, c *call, o policy.CallOutcome) policy.CallOutcome {
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
