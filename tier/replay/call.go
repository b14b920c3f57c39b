package replay

import (
	"time"

	"loomgap/tier/policy"
)

type call struct {
	world    *world
	upstream *upstream
	// hop is the one-way time between the caller and whoever it calls.
	hop time.Duration
	// working is true while the call has a slot of the upstream.
	working   bool
	cancelled bool
	// finished is true once the outcome is reported.
	finished bool
	// lingering is true once the call goes on though it is not wanted.
	lingering bool
	// execution is what the call belongs to; nil for one that an owner makes.
	execution *execution
	// inner is the call that the owner makes for a relayed one.
	inner *call
	// done reports the outcome to the calling host, once.
	done func(policy.CallOutcome)
}

func (k *call) start() {
	k.world.after(k.hop, func() { k.upstream.arrive(k) })
}

func (k *call) reply(o policy.CallOutcome) {
	k.world.after(k.hop, func() { k.finish(o) })
}

func (k *call) finish(o policy.CallOutcome) {
	if !k.finished {
		k.finished = true
		k.done(o)
	}
}

// cancel gives the call up here at once, and at the other end a hop later.
func (k *call) cancel(o policy.CallOutcome) {
	if k.finished {
		return
	}
	k.cancelled = true
	k.world.after(k.hop, k.stop)
	k.world.after(0, func() { k.finish(o) })
}

func (k *call) stop() {
	switch {
	case k.inner != nil:
		k.inner.cancel(policy.CallCancelled)
	case k.working:
		k.working = false
		k.upstream.release(k)
	}
}

// linger gives the call up after a while, unless it has ended.
func (k *call) linger(o policy.CallOutcome, in time.Duration) {
	k.lingering = true
	k.world.after(in, func() { k.cancel(o) })
}

// relay has the owner of the upstream make the call, within its slots.
func (k *call) relay(owner *host, name string, deadline time.Duration) {
	w := k.world
	k.hop = w.config.relayHop
	u := owner.fleet.Find(name)
	w.after(k.hop, func() {
		waiter := &policy.Waiter{Upstream: u, Deadline: deadline, Granted: func() { w.after(0, func() { k.relayed(owner, u) }) }}
		granted, queued := owner.fleet.AcquireOrQueue(waiter)
		switch {
		case granted:
			k.relayed(owner, u)
		case !queued:
			k.reply(policy.CallShed)
		}
	})
}

// relayed makes the call from the owner, who has a slot for it.
func (k *call) relayed(owner *host, u *policy.Upstream) {
	w := k.world
	if k.cancelled {
		policy.NotifyGranted(owner.fleet.ReleaseSlot(w.now, u))
		return
	}
	sent := w.now
	k.inner = &call{world: w, upstream: k.upstream, hop: w.config.hop}
	k.inner.done = func(o policy.CallOutcome) {
		policy.NotifyGranted(owner.fleet.Finish(w.now, policy.Call{Upstream: u, Pool: owner.pool, Outcome: o, Took: w.now - sent}))
		k.reply(o)
	}
	k.inner.start()
}
