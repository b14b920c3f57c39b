package replay

import (
	"slices"
	"time"

	"loomgap/tier/policy"
)

// upstream is the fake of one upstream: slots, a short backlog, and faults.
type upstream struct {
	world *world
	index int
	// running are the calls in the slots, backlog those that wait for one.
	running, backlog []*call
}

func newUpstream(w *world, index int) *upstream { return &upstream{world: w, index: index} }

// oneIn reports whether an upstream is the one among n that a fault is for; no
// upstream is if n is 0.
func oneIn(n, index int) bool { return n > 0 && index%n == n/2 }

// isLost reports whether the upstream has stopped answering.
func (u *upstream) isLost() bool {
	f := &u.world.config.faults
	return oneIn(f.lostOneIn, u.index) && u.world.now >= f.lostFrom
}

func (u *upstream) isSlow() bool {
	f, now := &u.world.config.faults, u.world.now
	return oneIn(f.slowOneIn, u.index) && now >= f.slowFrom && (f.slowUntil == 0 || now < f.slowUntil)
}

func (u *upstream) serviceTime() time.Duration {
	w := u.world
	f := &w.config.faults
	d := w.lognormal()
	if u.isSlow() {
		d = time.Duration(float64(d) * f.slowFactor)
	}
	if f.stragglerShare > 0 && w.random.Float64() < f.stragglerShare {
		d = time.Duration(float64(d) * f.stragglerFactor)
	}
	return d
}

// arrive takes a call in, queues it or sheds it.
func (u *upstream) arrive(k *call) {
	c := &u.world.config
	switch {
	case !u.world.site.accept(u, k):
		// The site does what is to be done.
	case u.isLost():
		// It never answers; the caller gives up in the end.
	case k.cancelled:
	case oneIn(c.faults.shedOneIn, u.index):
		k.reply(policy.CallShed)
	case len(u.running) < c.capacity.slots:
		u.startCall(k)
	case len(u.backlog) < c.capacity.backlog:
		u.backlog = append(u.backlog, k)
	default:
		k.reply(policy.CallShed)
	}
}

func (u *upstream) startCall(k *call) {
	k.holdsSlot = true
	u.running = append(u.running, k)
	if !u.world.site.startCall(u, k) {
		return
	}
	u.world.after(u.serviceTime(), func() {
		if k.holdsSlot {
			k.holdsSlot = false
			u.release(k)
			k.reply(policy.CallOK)
		}
	})
}

// release gives the slot of a call that ended to the backlog.
func (u *upstream) release(done *call) {
	u.running = slices.DeleteFunc(u.running, func(k *call) bool { return k == done })
	for len(u.backlog) > 0 && len(u.running) < u.world.config.capacity.slots {
		k := u.backlog[0]
		u.backlog = u.backlog[1:]
		if !k.cancelled {
			u.startCall(k)
		}
	}
}
