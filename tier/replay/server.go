package replay

import (
	"slices"
	"time"

	"loomgap/tier/policy"
)

// server is the fake of one upstream: slots, a short backlog, and faults.
type server struct {
	world   *world
	index   int
	busy    int
	backlog []*work
	// running are the calls in the slots.
	running []*work
	// down is true while the upstream is away.
	down bool
	// lives counts how often the upstream has ended.
	lives int
}

func newServer(w *world, index int) *server { return &server{world: w, index: index} }

func every(n, index int) bool { return n > 0 && index%n == n/2 }

func (s *server) lost() bool {
	c := &s.world.c
	return every(c.LostEvery, s.index) && s.world.now >= c.LostFrom
}

func (s *server) serviceTime() time.Duration {
	w := s.world
	d := w.lognormal()
	if every(w.c.SlowEvery, s.index) && w.now >= w.c.SlowFrom && (w.c.SlowUntil == 0 || w.now < w.c.SlowUntil) {
		d = time.Duration(float64(d) * w.c.SlowFactor)
	}
	if w.c.StraggleShare > 0 && w.random.Float64() < w.c.StraggleShare {
		d = time.Duration(float64(d) * w.c.StraggleFactor)
	}
	return d
}

// arrive takes a call in, queues it or sheds it.
func (s *server) arrive(k *work) {
	if !s.down && k.flight.crashes() {
		k.flight.reached()
	}
	switch {
	case s.down:
		k.reply(policy.CallUnreachable)
	case s.lost():
		// It never answers; the caller gives up in the end.
	case k.cancelled:
	case s.pausedFor() > 0:
		s.world.after(s.pausedFor(), func() { s.arrive(k) })
	case every(s.world.c.ShedEvery, s.index):
		k.reply(policy.CallShed)
	case s.busy < s.world.c.Slots:
		s.begin(k)
	case len(s.backlog) < s.world.c.Backlog:
		s.backlog = append(s.backlog, k)
	default:
		k.reply(policy.CallShed)
	}
}

func (s *server) begin(k *work) {
	s.busy++
	k.working = true
	s.running = append(s.running, k)
	if k.flight.crashes() {
		s.ruin(k)
		return
	}
	s.world.after(s.serviceTime(), func() {
		if k.working {
			k.working = false
			s.next(k)
			k.reply(policy.CallOK)
		}
	})
}

// next gives the slot of a call that ended to the backlog.
func (s *server) next(ended *work) {
	s.busy--
	s.running = slices.DeleteFunc(s.running, func(k *work) bool { return k == ended })
	for len(s.backlog) > 0 && s.busy < s.world.c.Slots {
		k := s.backlog[0]
		s.backlog = s.backlog[1:]
		if !k.cancelled {
			s.begin(k)
		}
	}
}

// work is one call at an upstream.
type work struct {
	world     *world
	server    *server
	hop       time.Duration
	working   bool
	cancelled bool
	finished  bool
	// lingering is true once the call goes on though it is not wanted.
	lingering bool
	// flight is what the call belongs to; nil for one that an owner makes.
	flight *flight
	// inner is the call that the owner makes for a relayed one.
	inner *work
	// done reports the outcome to the calling host, once.
	done func(policy.CallOutcome)
}

func (k *work) start() {
	k.world.after(k.hop, func() { k.server.arrive(k) })
}

func (k *work) reply(o policy.CallOutcome) {
	k.world.after(k.hop, func() { k.finish(o) })
}

func (k *work) finish(o policy.CallOutcome) {
	if !k.finished {
		k.finished = true
		k.done(o)
	}
}

// cancel gives the call up here at once, and at the other end a hop later.
func (k *work) cancel(o policy.CallOutcome) {
	if k.finished {
		return
	}
	k.cancelled = true
	k.world.after(k.hop, k.stop)
	k.world.after(0, func() { k.finish(o) })
}

// stop ends the work at the other end.
func (k *work) stop() {
	switch {
	case k.inner != nil:
		k.inner.cancel(policy.CallCancelled)
	case k.working:
		k.working = false
		k.server.next(k)
	}
}

// relay has the owner of the upstream make the call, within its slots.
func (k *work) relay(owner *host, upstream string, deadline time.Duration) {
	w := k.world
	k.hop = w.c.RelayHop
	u := owner.fleet.Find(upstream)
	w.after(k.hop, func() {
		waiter := &policy.Waiter{Upstream: u, Deadline: deadline, Granted: func() { w.after(0, func() { k.relayed(owner, u) }) }}
		granted, queued := owner.fleet.Enter(waiter)
		switch {
		case granted:
			k.relayed(owner, u)
		case !queued:
			k.reply(policy.CallShed)
		}
	})
}

// relayed makes the call from the owner, who has a slot for it.
func (k *work) relayed(owner *host, u *policy.Upstream) {
	w := k.world
	if k.cancelled {
		policy.Deliver(owner.fleet.Free(w.now, u))
		return
	}
	sent := w.now
	k.inner = &work{world: w, server: k.server, hop: w.c.Hop}
	k.inner.done = func(o policy.CallOutcome) {
		policy.Deliver(owner.fleet.Finish(w.now, policy.Call{Upstream: u, Pool: owner.pool, Outcome: o, Took: w.now - sent}))
		k.reply(o)
	}
	k.inner.start()
}
