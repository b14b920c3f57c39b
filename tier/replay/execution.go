package replay

import (
	"time"

	"loomgap/tier/policy"
)

// execution carries out one run of policy in virtual time.
type execution struct {
	host *host
	// load is the index of the load that the request belongs to.
	load   int
	run    *policy.Run
	begun  time.Duration
	shards int
	// calls are those made so far, by the run's number of the attempt.
	calls map[int]*call
	// wakeAt is when the run is woken next; ended once it is finished.
	wakeAt time.Duration
	// result counts the request; nil during the warm-up.
	result *classResult
	// onEnd is told the answer and how long it took; nil if nobody asks. The answer
	// is nil if the request was refused.
	onEnd func(answer *policy.Result, took time.Duration)
}

// ended is the wakeAt of an execution that is finished.
const ended time.Duration = -1

func (h *host) newExecution(load, shards int) *execution {
	w := h.world
	e := &execution{host: h, load: load, begun: w.now, calls: map[int]*call{}, shards: shards}
	if w.now >= w.config.warm {
		e.result = w.results[load]
	}
	return e
}

func (e *execution) begin(c policy.RunConfig) {
	w := e.host.world
	c.Fleet, c.Repeatable = e.host.fleet, true
	c.Granted = func(n int) { w.after(0, func() { e.perform(e.run.Granted(w.now, n)) }) }
	run, err := policy.NewRun(c)
	if err != nil {
		panic(err) // the case names a plug-in that is not there
	}
	e.run = run
	actions, err := run.Begin(w.now)
	if err != nil {
		e.result.refused()
		e.tell(nil, 0)
		return
	}
	e.perform(actions)
	e.planWake()
}

func (e *execution) planWake() {
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
		e.planWake()
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
		case policy.ActionFinish:
			e.finish()
		default:
		}
	}
	if e.wakeAt != ended && len(actions) > 0 {
		e.planWake()
	}
}

func (e *execution) finish() {
	r := e.run.Result()
	took := e.host.world.now - e.begun
	e.result.answered(took, &r, e.shards)
	e.tell(&r, took)
	e.wakeAt = ended
}

// tell passes the end on to whoever asks.
func (e *execution) tell(answer *policy.Result, took time.Duration) {
	if e.onEnd != nil {
		e.onEnd(answer, took)
	}
}

// send makes a call, directly or through the owner of the upstream.
func (e *execution) send(a policy.Action) {
	w := e.host.world
	index := w.indices[a.Upstream.Name]
	sent := w.now
	k := &call{world: w, upstream: w.upstreams[index], hop: w.site.hop(e.host, index), execution: e}
	e.host.fleet.RecordSent(sent, a.Upstream)
	k.done = func(o policy.CallOutcome) {
		w.site.work(e.host, func() {
			policy.NotifyGranted(e.host.fleet.Finish(w.now, policy.Call{
				Upstream: a.Upstream, Pool: a.Pool, Outcome: o, Took: w.now - sent, Lingering: k.lingering,
			}))
			e.perform(e.run.Reply(w.now, a.Attempt, o))
		})
	}
	e.calls[a.Attempt] = k
	owner := w.hosts[index%len(w.hosts)]
	if w.config.sharing == sharingOwner && owner != e.host {
		k.relay(owner, a.Upstream.Name, e.begun+time.Duration(w.config.loads[e.load].class.Deadline))
		return
	}
	k.start()
}
