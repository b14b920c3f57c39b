package replay

import (
	"slices"
	"time"

	"loomgap/tier/policy"
)

// upstream is a fake upstream with slots, a short backlog and injected faults.
type upstream struct {
	world *world
	index int
	// running holds the calls that occupy slots, backlog those that wait for one.
	running, backlog []*call
}

func newUpstream(w *world, index int) *upstream { return &upstream{world: w, index: index} }

// oneIn reports whether a fault that affects one upstream in n affects the one with the
// given index. With n 0 it affects none.
func oneIn(n, index int) bool { return n > 0 && index%n == n/2 }

func (u *upstream) isLost() bool {
	f := &u.world.config.faults
	return oneIn(f.lostOneIn, u.index) && u.world.now >= f.lostFrom
}

func (u *upstream) isSlow() bool {
	f, now := &u.world.config.faults, u.world.now
	return oneIn(f.slowOneIn, u.index) && now >= f.slowFrom && (f.slowUntil == 0 || now < f.slowUntil)
}

// load returns the load that the upstream reports; zero if it reports none.
func (u *upstream) load() policy.Load {
	c := &u.world.config
	if !c.reportLoad {
		return policy.Load{}
	}
	waiting := 0
	for _, k := range u.backlog {
		if !k.cancelled {
			waiting++
		}
	}
	return policy.Load{Running: len(u.running), Waiting: waiting, Slots: c.capacity.slots}
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

// arrive starts a call, queues it or sheds it.
func (u *upstream) arrive(k *call) {
	c := &u.world.config
	switch {
	case !u.world.site.accept(u, k):
		// The site handles the call.
	case u.isLost():
		// There is no answer; the caller times out.
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

// release frees the slot of a finished call and starts calls of the backlog.
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
