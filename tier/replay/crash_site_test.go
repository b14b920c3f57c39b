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

// upstreamState is whether an upstream is away after a crash, and how often it has
// crashed.
type upstreamState struct {
	down    bool
	crashes int
}

// attempt is an attempt of a caller's request.
type attempt struct {
	request *callerRequest
	// hasReached is true once a call of it has reached an upstream.
	hasReached bool
}

// callerRequest is one request of a caller and its repeat.
type callerRequest struct {
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
func (s *routedSite) startCrashes() {
	w, c := s.world, s.routed.crash
	var next func()
	next = func() {
		if w.now >= w.config.length {
			return
		}
		w.after(c.every, next)
		s.arrive(&callerRequest{fingerprint: "Crash", caller: addressOf(w.random.IntN(max(c.callers, 1))), crashes: true})
	}
	if c.every > 0 {
		w.after(c.from, next)
	}
	if c.waveEvery > 0 {
		s.crashAll()
	}
}

// crashAll crashes all upstreams, again and again.
func (s *routedSite) crashAll() {
	w, c := s.world, s.routed.crash
	if w.now >= w.config.length {
		return
	}
	w.after(c.waveEvery, s.crashAll)
	for _, u := range w.upstreams {
		w.after(time.Duration(w.random.Float64()*float64(c.waveSpread)), func() {
			if !s.states[u.index].down {
				s.crash(u)
			}
		})
	}
}

// newCallerRequest makes a request of a load that crashes nothing.
func (s *routedSite) newCallerRequest(load int) *callerRequest {
	s.crashes.requests++
	name := s.crashes.requests
	if n := s.routed.crash.popular; n > 0 {
		name = s.world.random.IntN(n)
	}
	return &callerRequest{load: load, fingerprint: policy.Fingerprint(fmt.Sprint("Sound", name)), caller: addressOf(name)}
}

// addressOf returns the address of a caller.
func addressOf(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

// arrive brings a request to any host.
func (s *routedSite) arrive(q *callerRequest) {
	w := s.world
	s.serve(w.hosts[w.random.IntN(len(w.hosts))], q)
}

// done takes in what became of an attempt of a request.
func (s *routedSite) done(q *callerRequest, served bool) {
	switch {
	case served && !q.crashes:
		s.crashes.served++
	case !served && !q.repeated:
		q.repeated = true
		s.world.after(repeatAfter, func() { s.arrive(q) })
	}
}

// subject returns what hosts remember a request by; the zero value where the request
// is not known.
func (s *routedSite) subject(q *callerRequest) policy.RequestIdentity {
	if q == nil || !s.routed.crash.remember {
		return policy.RequestIdentity{}
	}
	return policy.RequestIdentity{Fingerprint: q.fingerprint, Caller: q.caller}
}

// serve has a host carry out one attempt of a caller's request.
func (s *routedSite) serve(h *host, q *callerRequest) {
	if verdict, _ := h.fleet.Verdict(s.world.now, s.subject(q)); verdict == policy.VerdictQuarantined {
		if !q.crashes {
			s.crashes.blamed++
		}
		s.done(q, false)
		return
	}
	s.gather(h, gather{request: q, load: q.load, began: s.world.now})
}

// reportCrashes has a host report to others the crashes that requests caused.
func (s *routedSite) reportCrashes(h *host) {
	w := s.world
	if !s.routed.crash.report {
		return
	}
	last, planned := -reportGap, false
	report := func() {
		planned, last = false, w.now
		reports := h.fleet.UnsentReports(w.now)
		for _, i := range w.random.Perm(len(w.hosts))[:min(reportHosts, len(w.hosts))] {
			to := w.hosts[i]
			w.after(s.routed.farHop, func() { to.fleet.MergeReports(w.now, reports) })
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

// begin has the upstream crash a while after it began a call of a request that crashes
// upstreams.
func (s *routedSite) begin(u *upstream, k *call) bool {
	if !s.crashesBy(k) {
		return true
	}
	w, c := s.world, s.routed.crash
	if c.after == 0 {
		w.after(u.serviceTime(), func() {
			if k.working {
				s.crash(u)
			}
		})
		return false
	}
	before := s.states[u.index].crashes
	w.after(c.after, func() {
		if s.states[u.index].crashes == before {
			s.crash(u)
		}
	})
	return false
}

// crash ends an upstream: whatever runs or waits there gets no answer.
func (s *routedSite) crash(u *upstream) {
	w := s.world
	if s.crashes.crashed++; s.crashes.crashed == settlingCrash {
		s.thirdCrash = w.now
	}
	state := &s.states[u.index]
	state.down = true
	state.crashes++
	for _, k := range append(u.running, u.backlog...) {
		k.working = false
		k.reply(policy.CallCrashed)
	}
	u.running, u.backlog = nil, nil
	w.after(s.routed.crash.down, func() { state.down = false })
}

// crashesBy reports whether a call crashes the upstream that runs it.
func (s *routedSite) crashesBy(k *call) bool {
	a := s.attempts[k.execution]
	return a != nil && a.request.crashes
}

// reached counts an attempt of the request that reaches an upstream, once.
func (s *routedSite) reached(a *attempt) {
	if a.hasReached {
		return
	}
	a.hasReached = true
	s.crashes.reached++
	if s.thirdCrash > 0 && s.world.now > s.thirdCrash+lateAfter {
		s.crashes.late++
	}
}
