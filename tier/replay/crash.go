package replay

import (
	"fmt"
	"net/netip"
	"time"

	"loomgap/tier/policy"
)

// crashSettings describe crashes of upstreams: a request that crashes the upstreams
// that run it comes again and again, or upstreams crash by themselves. Callers of
// all requests come back once, at another host, when they are not served.
type crashSettings struct {
	// from is when the request first comes, every the time between two that are
	// no repeats; with 0 for every it never comes.
	from, every time.Duration
	// after is how long after it began the upstream crashes, also if the call is
	// given up meanwhile; 0 for when it would have answered, unless the call is
	// given up.
	after time.Duration
	// down is how long an upstream is away after a crash.
	down time.Duration
	// waveEvery has all upstreams crash by themselves, each once in that time,
	// within waveSpread of each other; 0 for never.
	waveEvery, waveSpread time.Duration
	// callers is how many addresses the request comes from; 0 for one.
	callers int
	// popular is how many other requests there are, which come again and again; 0
	// if none comes twice but for its caller's repeat.
	popular int
	// remember has hosts remember the requests that crash upstreams, report has
	// them tell each other.
	remember, report bool
}

// crashResult is what became of the request and of the others.
type crashResult struct {
	// crashed counts the crashes of upstreams.
	crashed int
	// reached counts the attempts of the request that reached any upstream, late
	// those that did so lateAfter the third crash.
	reached, late int
	// requests counts the other requests, repeats left out; served those that were
	// served at the first attempt or the second, blamed the attempts of them that
	// were refused for crashing upstreams.
	requests, served, blamed int
}

// Times of callers and hosts. None is measured.
const (
	// repeatAfter is how soon a caller that was not served comes back.
	repeatAfter = 5 * time.Millisecond
	// reportGap is the least time between two reports of a host.
	reportGap = 250 * time.Millisecond
	// reportHosts is how many other hosts a report goes to.
	reportHosts = 12
	// lateAfter is how long hosts may take to agree on a request, from the crash
	// that settles it.
	lateAfter = 4 * time.Second
	// settlingCrash is the number of the crash after which hosts should agree.
	settlingCrash = 3
)

// callerRequest is one request of a caller and its repeat.
type callerRequest struct {
	world       *world
	load        int
	fingerprint policy.Fingerprint
	caller      netip.Addr
	// crashes is true if the request crashes the upstreams that run it.
	crashes bool
	// repeated is true for the repeat.
	repeated bool
}

// startCrashes plans the arrivals of the request that crashes upstreams, and the
// crashes that no request causes.
func (w *world) startCrashes() {
	c := w.config.routed.crash
	var next func()
	next = func() {
		if w.now >= w.config.length {
			return
		}
		w.after(c.every, next)
		q := &callerRequest{world: w, fingerprint: "Crash", caller: addressOf(w.random.IntN(max(c.callers, 1))), crashes: true}
		q.arrive()
	}
	if c.every > 0 {
		w.after(c.from, next)
	}
	if c.waveEvery > 0 {
		w.crashAll()
	}
}

// crashAll crashes all upstreams, again and again.
func (w *world) crashAll() {
	c := w.config.routed.crash
	if w.now >= w.config.length {
		return
	}
	w.after(c.waveEvery, w.crashAll)
	for _, u := range w.upstreams {
		w.after(time.Duration(w.random.Float64()*float64(c.waveSpread)), func() {
			if !u.down {
				u.crash()
			}
		})
	}
}

// newCallerRequest makes a request of a load that crashes nothing.
func (w *world) newCallerRequest(load int) *callerRequest {
	w.crashes.requests++
	name := w.crashes.requests
	if n := w.config.routed.crash.popular; n > 0 {
		name = w.random.IntN(n)
	}
	return &callerRequest{world: w, load: load, fingerprint: policy.Fingerprint(fmt.Sprint("Sound", name)), caller: addressOf(name)}
}

// addressOf returns the address of a caller.
func addressOf(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

// arrive brings the request to any host.
func (q *callerRequest) arrive() { q.world.hosts[q.world.random.IntN(len(q.world.hosts))].serve(q) }

// done takes in what became of an attempt.
func (q *callerRequest) done(served bool) {
	switch {
	case served && !q.crashes:
		q.world.crashes.served++
	case !served && !q.repeated:
		q.repeated = true
		q.world.after(repeatAfter, q.arrive)
	}
}

// subject returns what hosts remember the request by; the zero value where the
// request is not known.
func (q *callerRequest) subject() policy.Subject {
	if q == nil || !q.world.config.routed.crash.remember {
		return policy.Subject{}
	}
	return policy.Subject{Fingerprint: q.fingerprint, Caller: q.caller}
}

// serve carries out one attempt of a caller's request.
func (h *host) serve(q *callerRequest) {
	if verdict, _ := h.fleet.Judge(h.world.now, q.subject()); verdict == policy.VerdictQuarantined {
		if !q.crashes {
			h.world.crashes.blamed++
		}
		q.done(false)
		return
	}
	h.gather(gather{request: q, load: q.load, began: h.world.now})
}

// reportCrashes has a host report to others the crashes that requests caused.
func (h *host) reportCrashes() {
	w := h.world
	if !w.config.routed.crash.report {
		return
	}
	last, planned := -reportGap, false
	report := func() {
		planned, last = false, w.now
		reports := h.fleet.UnsentReports(w.now)
		for _, i := range w.random.Perm(len(w.hosts))[:min(reportHosts, len(w.hosts))] {
			to := w.hosts[i]
			w.after(w.config.routed.farHop, func() { to.fleet.TakeReports(w.now, reports) })
		}
	}
	h.fleet.OnCrashReports(func(urgent bool) {
		if urgent {
			w.after(0, report)
			return
		}
		if planned {
			return
		}
		planned = true
		w.after(max(last+reportGap-w.now, 0), report)
	})
}

// crashBy crashes the upstream that has begun a call, a while later.
func (u *upstream) crashBy(k *call) {
	c := u.world.config.routed.crash
	if c.after == 0 {
		u.world.after(u.serviceTime(), func() {
			if k.working {
				u.crash()
			}
		})
		return
	}
	before := u.crashes
	u.world.after(c.after, func() {
		if u.crashes == before {
			u.crash()
		}
	})
}

// crash ends the upstream: whatever runs or waits there gets no answer.
func (u *upstream) crash() {
	w := u.world
	if w.crashes.crashed++; w.crashes.crashed == settlingCrash {
		w.thirdCrash = w.now
	}
	u.down = true
	u.crashes++
	for _, k := range append(u.running, u.backlog...) {
		k.working = false
		k.reply(policy.CallCrashed)
	}
	u.running, u.backlog = nil, nil
	w.after(w.config.routed.crash.down, func() { u.down = false })
}

// crashes reports whether calls of the execution crash upstreams; an execution that
// is nil has none.
func (e *execution) crashes() bool { return e != nil && e.request != nil && e.request.crashes }

// reached counts an attempt of the request that reaches an upstream, once.
func (e *execution) reached() {
	if e.hasReached {
		return
	}
	e.hasReached = true
	w := e.host.world
	w.crashes.reached++
	if w.thirdCrash > 0 && w.now > w.thirdCrash+lateAfter {
		w.crashes.late++
	}
}
