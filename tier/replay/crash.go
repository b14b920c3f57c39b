package replay

import (
	"fmt"
	"net/netip"
	"time"

	"loomgap/tier/policy"
)

// Crash has one more request come again and again, which crashes the upstreams that
// run it. Callers of all requests come back once, at another host, when they are not
// served.
type Crash struct {
	// From and Every are when its caller's first attempt comes, and the time between
	// two that are no repeats; with 0 for Every it never comes.
	From, Every time.Duration
	// After is how long after it began an upstream ends, also if the call is given up
	// meanwhile; 0 for when it would have answered, unless the call is given up.
	After time.Duration
	// Down is how long an upstream is away that has ended.
	Down time.Duration
	// StormEvery has all upstreams end for reasons of their own, each once in that
	// time, within StormSpread of each other; 0 for never.
	StormEvery, StormSpread time.Duration
	// Callers is how many addresses the request comes from; 0 for one.
	Callers int
	// Popular is how many other requests there are, which come again and again; 0 if
	// none comes twice but for its caller's repeat.
	Popular int
	// Remember has hosts remember the requests that crash upstreams, Tell has them
	// tell each other.
	Remember, Tell bool
}

// CrashTally is what became of the request and of the others.
type CrashTally struct {
	// Ended counts the ends of upstreams, Reached the attempts of the request that
	// reached any, Late those that did so lateAfter the third had ended.
	Ended, Reached, Late int
	// Requests counts the other requests, repeats left out; Served those that were
	// served at the first attempt or the second, Blamed the attempts of them that
	// were refused for crashing upstreams.
	Requests, Served, Blamed int
}

// Times of the callers and hosts.
const (
	// comeBack is how soon a caller comes back.
	comeBack = 5 * time.Millisecond
	// tellGap is the least time between two tellings of a host, tellHosts how many
	// others it tells.
	tellGap   = 250 * time.Millisecond
	tellHosts = 12
	// lateAfter is how long hosts may take to agree on a request.
	lateAfter = 4 * time.Second
)

// visit is one request of a caller and its repeat.
type visit struct {
	world       *world
	load        int
	fingerprint policy.Fingerprint
	caller      netip.Addr
	crashes     bool
	// again is true for the repeat.
	again bool
}

// startCrash plans the arrivals of the request that crashes upstreams.
func (w *world) startCrash() {
	c := w.c.Routed.Crash
	var next func()
	next = func() {
		if w.now >= w.c.Length {
			return
		}
		w.after(c.Every, next)
		v := &visit{world: w, fingerprint: "Crash", caller: addressOf(w.random.IntN(max(c.Callers, 1))), crashes: true}
		v.arrive()
	}
	if c.Every > 0 {
		w.after(c.From, next)
	}
	if c.StormEvery > 0 {
		w.storm()
	}
}

// storm ends all upstreams, again and again.
func (w *world) storm() {
	c := w.c.Routed.Crash
	if w.now >= w.c.Length {
		return
	}
	w.after(c.StormEvery, w.storm)
	for _, s := range w.upstreams {
		w.after(time.Duration(w.random.Float64()*float64(c.StormSpread)), func() {
			if !s.down {
				s.crash()
			}
		})
	}
}

// newVisit makes a request that crashes nothing.
func (w *world) newVisit(load int) *visit {
	w.crash.Requests++
	name := w.crash.Requests
	if most := w.c.Routed.Crash.Popular; most > 0 {
		name = w.random.IntN(most)
	}
	return &visit{world: w, load: load, fingerprint: policy.Fingerprint(fmt.Sprint("Sound", name)), caller: addressOf(name)}
}

// addressOf returns the address of a caller.
func addressOf(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

func (v *visit) arrive() { v.world.hosts[v.world.random.IntN(len(v.world.hosts))].visited(v) }

// done takes in what became of an attempt.
func (v *visit) done(served bool) {
	switch {
	case served && !v.crashes:
		v.world.crash.Served++
	case !served && !v.again:
		v.again = true
		v.world.after(comeBack, v.arrive)
	}
}

// subject returns what hosts remember the request by; the zero value where the visit is
// not known.
func (v *visit) subject() policy.Subject {
	if v == nil || !v.world.c.Routed.Crash.Remember {
		return policy.Subject{}
	}
	return policy.Subject{Fingerprint: v.fingerprint, Caller: v.caller}
}

// visited carries out one attempt of a request.
func (h *host) visited(v *visit) {
	if verdict, _ := h.fleet.Judge(h.world.now, v.subject()); verdict == policy.VerdictQuarantined {
		if !v.crashes {
			h.world.crash.Blamed++
		}
		v.done(false)
		return
	}
	h.gatherFor(v, v.load, h.world.now, 0)
}

// joinCrash has a host tell others of the strikes that it sees.
func (h *host) joinCrash() {
	w := h.world
	if !w.c.Routed.Crash.Tell {
		return
	}
	told, planned := -tellGap, false
	tell := func() {
		planned, told = false, w.now
		reports := h.fleet.UnsentReports(w.now)
		for _, i := range w.random.Perm(len(w.hosts))[:min(tellHosts, len(w.hosts))] {
			to := w.hosts[i]
			w.after(w.c.Routed.FarHop, func() { to.fleet.TakeReports(w.now, reports) })
		}
	}
	h.fleet.OnCrashReports(func(urgent bool) {
		if urgent {
			w.after(0, tell)
			return
		}
		if planned {
			return
		}
		planned = true
		w.after(max(told+tellGap-w.now, 0), tell)
	})
}

// ruin has the upstream end that has begun a call which crashes it.
func (s *server) ruin(k *work) {
	c := s.world.c.Routed.Crash
	if c.After == 0 {
		s.world.after(s.serviceTime(), func() {
			if k.working {
				s.crash()
			}
		})
		return
	}
	life := s.lives
	s.world.after(c.After, func() {
		if life == s.lives {
			s.crash()
		}
	})
}

// crash ends the upstream: whatever runs or waits there gets no answer.
func (s *server) crash() {
	w := s.world
	if w.crash.Ended++; w.crash.Ended == 3 {
		w.thirdEnd = w.now
	}
	s.down = true
	s.lives++
	for _, k := range append(s.running, s.backlog...) {
		k.working = false
		k.reply(policy.CallCrashed)
	}
	s.running, s.backlog, s.busy = nil, nil, 0
	w.after(w.c.Routed.Crash.Down, func() { s.down = false })
}

// crashes reports whether upstreams end that run calls of the flight; none if it is
// nil.
func (f *flight) crashes() bool { return f != nil && f.visit != nil && f.visit.crashes }

// reached counts an attempt of the request that reaches an upstream, once.
func (f *flight) reached() {
	if f.hasReached {
		return
	}
	f.hasReached = true
	w := f.host.world
	w.crash.Reached++
	if w.thirdEnd > 0 && w.now > w.thirdEnd+lateAfter {
		w.crash.Late++
	}
}
