package replay

import (
	"time"

	"loomgap/tier/policy"
)

// execution carries out the actions of one policy.Run in virtual time.
type execution struct {
	host *host
	// load is the index of the request's load.
	load      int
	run       *policy.Run
	startedAt time.Duration
	shards    int
	// calls holds the calls made so far, by the number of their attempt.
	calls map[int]*call
	// wakeAt is when the run is woken next, or neverWake once it has finished.
	wakeAt time.Duration
	// result counts the request; nil during the warm-up.
	result *classResult
	// onEnd, if not nil, receives the answer and the time it took. The answer is nil
	// if the request was refused.
	onEnd func(answer *policy.Result, took time.Duration)
	// onMerge, if not nil, is called for each part that is included in the answer.
	onMerge func()
	// onCall, if not nil, receives how each call ended.
	onCall func(policy.CallEnd)
}

// neverWake is the wakeAt of a finished execution.
const neverWake time.Duration = -1

func (h *host) newExecution(load, shards int) *execution {
	w := h.world
	e := &execution{host: h, load: load, startedAt: w.now, calls: map[int]*call{}, shards: shards}
	if w.now >= w.config.warmup {
		e.result = w.results[load]
	}
	return e
}

func (e *execution) start(c policy.RunConfig) {
	w := e.host.world
	c.Fleet, c.Repeatable = e.host.fleet, true
	c.Granted = func(n int) { w.after(0, func() { e.perform(e.run.Granted(w.now, n)) }) }
	run, err := policy.NewRun(c)
	if err != nil {
		panic(err) // the case names an unknown plug-in
	}
	e.run = run
	actions, err := run.Begin(w.now)
	if err != nil {
		e.result.recordRefusal()
		e.notifyEnd(nil, 0)
		return
	}
	e.perform(actions)
	e.scheduleWake()
}

func (e *execution) scheduleWake() {
	w := e.host.world
	next := e.run.WakeAt()
	if e.wakeAt == next {
		return
	}
	e.wakeAt = next
	w.after(max(next-w.now, 0), func() {
		if e.wakeAt != next {
			return
		}
		e.perform(e.run.Wake(w.now))
		e.scheduleWake()
	})
}

func (e *execution) perform(actions []policy.Action) {
	w := e.host.world
	for _, a := range actions {
		switch a.Kind {
		case policy.ActionSend:
			e.send(a)
		case policy.ActionCancel:
			e.calls[a.Attempt].cancel(a.Outcome)
		case policy.ActionLinger:
			e.calls[a.Attempt].linger(a.Outcome, policy.LingerDuration)
		case policy.ActionReleaseSlot:
			policy.NotifyGranted(e.host.fleet.ReleaseSlot(w.now, a.Upstream))
		case policy.ActionMerge:
			if e.onMerge != nil {
				e.onMerge()
			}
		case policy.ActionFinish:
			e.finish()
		default:
		}
	}
	if e.wakeAt != neverWake && len(actions) > 0 {
		e.scheduleWake()
	}
}

func (e *execution) finish() {
	r := e.run.Result()
	took := e.host.world.now - e.startedAt
	e.result.recordAnswer(took, &r, e.shards)
	e.notifyEnd(&r, took)
	e.wakeAt = neverWake
}

// notifyEnd calls onEnd if it is set.
func (e *execution) notifyEnd(answer *policy.Result, took time.Duration) {
	if e.onEnd != nil {
		e.onEnd(answer, took)
	}
}

// send makes the call of an action, directly or through the owner of the upstream.
func (e *execution) send(a policy.Action) {
	w := e.host.world
	index := w.upstreamIndices[a.Upstream.Name]
	sent := w.now
	k := &call{world: w, upstream: w.upstreams[index], delay: w.site.delay(e.host, index), execution: e, connectTime: e.host.takeConnection(index)}
	e.host.fleet.RecordSent(sent, a.Upstream)
	k.done = func(o policy.CallOutcome) {
		if !k.cancelled {
			e.host.returnConnection(index)
		}
		w.site.process(e.host, func() { e.endCall(k, a, o, w.now-sent) })
	}
	e.calls[a.Attempt] = k
	owner := w.hosts[index%len(w.hosts)]
	if w.config.sharing == sharingOwner && owner != e.host {
		k.relay(owner, a.Upstream.Name, e.startedAt+time.Duration(w.config.loads[e.load].class.Deadline))
		return
	}
	k.start()
}

// endCall records how a call ended and passes its outcome to the run.
func (e *execution) endCall(k *call, a policy.Action, o policy.CallOutcome, took time.Duration) {
	now := e.host.world.now
	policy.NotifyGranted(e.host.fleet.Finish(now, policy.Call{
		Upstream: a.Upstream, Pool: a.Pool, Outcome: o, Took: took, Lingering: k.lingering, Load: k.load,
	}))
	if e.onCall != nil {
		e.onCall(policy.CallEnd{
			Part: a.Part, Upstream: a.Upstream.Name, Outcome: o, Load: k.load, Queued: a.Queued, Took: took,
		})
	}
	e.perform(e.run.Reply(now, a.Attempt, o))
}
