package pass

import (
	"cmp"
	"context"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
)

// run makes the calls that policy decides on until the run of the request ends. The runner
// calls back: Batches and CallBatch for calls through relays, Call for other calls, Merge
// and CallEnded with their results.
func (q *request) run(ctx context.Context) (policy.Result, error) {
	k := q.engine.kernel
	near, far := k.Fleet.RoutedLatencyPools(q.route.Name)
	spent := k.Now() - q.times.startedAt
	stop := context.AfterFunc(ctx, func() { q.callerGone.Store(true) })
	defer stop()
	result, decidedAt, err := runner.Run(ctx, runner.Config[*response]{
		Kernel: k, Caller: q,
		Run: policy.RunConfig{
			Fleet: k.Fleet, Pool: near, Class: q.remainingClass(spent), Deadline: q.times.deadline,
			Replicas: q.plan.replicas, Repeatable: q.route.Repeatable, Identity: q.in.identity,
			Routed: &policy.RoutedConfig{
				Groups: q.plan.groups, FarPool: far, MaxAttempts: q.route.MaxAttempts,
				Objective: max(time.Duration(q.route.Objective)-spent, 0), PreferredHall: q.plan.preferredHall,
				CanRelay: q.route.Gather != nil, NoUpstreamReasons: q.plan.noUpstreamReasons,
				Rank: q.route.Priority, Shortage: q.shortage(),
			},
		},
	}, ctx.Done())
	q.times.decidedAt = decidedAt
	return result, err
}

// remainingClass returns the route's class with the remaining patience: the request has
// already spent some, perhaps at another host, and this host needs some to produce and
// write the response.
func (q *request) remainingClass(spent time.Duration) *config.Class {
	q.times.patienceEnd = q.times.startedAt + time.Duration(q.class.Patience) - q.engine.overhead.beyondReserve()
	c := *q.class
	c.Patience = config.Duration(max(q.times.patienceEnd-q.times.startedAt-spent, 0))
	return &c
}

func (q *request) Call(ctx context.Context, a policy.Action) runner.Reply[*response] {
	e := q.engine
	pool := e.connPool(a.Upstream.Name)
	if pool == nil {
		return runner.Reply[*response]{Outcome: policy.CallUnreachable}
	}
	return e.callUpstream(ctx, pool, a.Upstream, &call{
		route: q.route.Name, id: q.in.id, identity: q.in.identity,
		method: q.in.method, head: q.in.head, body: q.in.body, timeLeft: q.times.deadline - e.kernel.Now(),
		nonRepeatable: !q.route.Repeatable, fromGather: q.route.Gather != nil,
	})
}

func (q *request) Merge(part int, resp *response) {
	q.included++
	if float64(q.included) >= q.class.Coverage*float64(len(q.plan.groups)) {
		q.leaveGate(true)
	}
	if q.route.Gather == nil {
		q.responses.single = resp
		return
	}
	q.responses.parts.collect(part, resp)
}

// CallEnded implements runner.Observer. It keeps an upstream's error response and logs
// calls that did not succeed.
func (q *request) CallEnded(a policy.Action, r runner.Reply[*response], took time.Duration, over bool) {
	q.callCounts[a.Part]++
	if q.gate != nil {
		q.observeCall(a, &r)
	}
	if r.Outcome == policy.CallOK {
		return
	}
	if r.Outcome == policy.CallFailed && !over {
		q.responses.failure = r.Answer
	}
	q.engine.kernel.RequestLog.Info().Str("RequestID", q.in.id).Str("Group", config.Shorten(q.plan.groups[a.Part])).
		Str("Upstream", a.Upstream.Name).Int("Call", q.callCounts[a.Part]).Str("Outcome", string(r.Outcome)).
		Int64("TookMillis", took.Milliseconds()).Msg("call ended")
}

// observeCall reports a call that ended to the gate. A relayed call has the load and the
// wait that the relay reported.
func (q *request) observeCall(a policy.Action, r *runner.Reply[*response]) {
	q.gate.ObserveCallEnd(q.engine.kernel.Now(), policy.CallEnd{
		Part: a.Part, Coverage: q.class.Coverage, Upstream: a.Upstream.Name, Outcome: r.Outcome,
		Load: cmp.Or(r.Load, r.RelayedLoad), Queued: a.Queued + r.RelayQueued, Took: r.Took,
	})
}
