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

// lost reports whether the upstream has stopped answering.
func (u *upstream) lost() bool {
	f := &u.world.config.faults
	return oneIn(f.lostEvery, u.index) && u.world.now >= f.lostFrom
}

func (u *upstream) slow() bool {
	f, now := &u.world.config.faults, u.world.now
	return oneIn(f.slowEvery, u.index) && now >= f.slowFrom && (f.slowUntil == 0 || now < f.slowUntil)
}

func (u *upstream) serviceTime() time.Duration {
	w := u.world
	f := &w.config.faults
	d := w.lognormal()
	if u.slow() {
		d = time.Duration(float64(d) * f.slowFactor)
	}
	if f.straggleShare > 0 && w.random.Float64() < f.straggleShare {
		d = time.Duration(float64(d) * f.straggleFactor)
	}
	return d
}

// arrive takes a call in, queues it or sheds it.
func (u *upstream) arrive(k *call) {
	c := &u.world.config
	switch {
	case !u.world.site.accept(u, k):
		// The site does what is to be done.
	case u.lost():
		// It never answers; the caller gives up in the end.
	case k.cancelled:
	case oneIn(c.faults.shedEvery, u.index):
		k.reply(policy.CallShed)
	case len(u.running) < c.capacity.slots:
		u.begin(k)
	case len(u.backlog) < c.capacity.backlog:
		u.backlog = append(u.backlog, k)
	default:
		k.reply(policy.CallShed)
	}
}

func (u *upstream) begin(k *call) {
	k.working = true
	u.running = append(u.running, k)
	if !u.world.site.begin(u, k) {
		return
	}
	u.world.after(u.serviceTime(), func() {
		if k.working {
			k.working = false
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
			u.begin(k)
		}
	}
}
