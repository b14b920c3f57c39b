package replay

import (
	"time"

	"loomgap/tier/policy"
)

// call is a call to an upstream, made directly or relayed by the upstream's owner.
type call struct {
	world    *world
	upstream *upstream
	// delay is the one-way network delay between caller and callee.
	delay time.Duration
	// holdsSlot is true while the call occupies a slot of the upstream.
	holdsSlot bool
	cancelled bool
	// finished is true once the outcome has been reported.
	finished bool
	// lingering is true if the call continues although its result is not needed.
	lingering bool
	// execution is the execution that the call belongs to; nil for the inner call of a
	// relayed one.
	execution *execution
	// connectTime is the time to open the connection of the call; 0 for an idle one.
	connectTime time.Duration
	// load is the load that the upstream reported with its answer; zero if there is none.
	load policy.Load
	// inner is the call that the owner of the upstream makes for a relayed call; nil for
	// others.
	inner *call
	// done reports the outcome to the calling host. It is called at most once.
	done func(policy.CallOutcome)
}

func (k *call) start() {
	k.world.after(k.connectTime+k.delay, func() { k.upstream.arrive(k) })
}

func (k *call) reply(o policy.CallOutcome) {
	load := k.upstream.load()
	k.world.after(k.delay, func() {
		k.load = load
		k.finish(o)
	})
}

func (k *call) finish(o policy.CallOutcome) {
	if !k.finished {
		k.finished = true
		k.done(o)
	}
}

// cancel ends the call, immediately at the caller and after the network delay at the callee.
func (k *call) cancel(o policy.CallOutcome) {
	if k.finished {
		return
	}
	k.cancelled = true
	k.world.after(k.delay, k.stop)
	k.world.after(0, func() { k.finish(o) })
}

func (k *call) stop() {
	switch {
	case k.inner != nil:
		k.inner.cancel(policy.CallCancelled)
	case k.holdsSlot:
		k.holdsSlot = false
		k.upstream.release(k)
	}
}

// linger cancels the call after a delay, unless it has finished by then.
func (k *call) linger(o policy.CallOutcome, in time.Duration) {
	k.lingering = true
	k.world.after(in, func() { k.cancel(o) })
}

// relay sends the call to the owner of the upstream, which makes it once it has a free
// slot.
func (k *call) relay(owner *host, name string, deadline time.Duration) {
	w := k.world
	k.delay = w.config.relayDelay
	u := owner.fleet.Find(name)
	w.after(k.delay, func() {
		waiter := &policy.Waiter{Upstream: u, Deadline: deadline, Granted: func() { w.after(0, func() { k.startRelayed(owner, u) }) }}
		granted, queued := owner.fleet.AcquireOrQueue(waiter)
		switch {
		case granted:
			k.startRelayed(owner, u)
		case !queued:
			k.reply(policy.CallShed)
		}
	})
}

// startRelayed makes the call from the owner of the upstream, which holds a slot for it.
func (k *call) startRelayed(owner *host, u *policy.Upstream) {
	w := k.world
	if k.cancelled {
		policy.NotifyGranted(owner.fleet.ReleaseSlot(w.now, u))
		return
	}
	sent := w.now
	k.inner = &call{world: w, upstream: k.upstream, delay: w.config.delay}
	k.inner.done = func(o policy.CallOutcome) {
		policy.NotifyGranted(owner.fleet.Finish(w.now, policy.Call{Upstream: u, Pool: owner.pool, Outcome: o, Took: w.now - sent}))
		k.reply(o)
	}
	k.inner.start()
}
