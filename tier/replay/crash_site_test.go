package replay

import (
	"fmt"
	"net/netip"
	"time"

	"loomgap/tier/policy"
)

// crashSettings describes crashes of upstreams. A crashing request, which is sent
// repeatedly, crashes every upstream that runs it; other crashes have no cause. Callers
// retry every failed request once, at a random host.
type crashSettings struct {
	// firstAt is when the crashing request is first sent, interval the time between
	// two that are not retries. With interval 0 it is never sent.
	firstAt, interval time.Duration
	// crashDelay is the time from the start of the crashing request to the crash, which
	// happens even if the call is cancelled. With 0 the upstream crashes when it would
	// have answered, unless the call is cancelled.
	crashDelay time.Duration
	// restartTime is the time for which an upstream is down after a crash.
	restartTime time.Duration
	// waveInterval is the time between waves in which every upstream crashes without a
	// cause, at random times within waveSpread; 0 for no waves.
	waveInterval, waveSpread time.Duration
	// callers is the number of addresses that send the crashing request; 0 stands for 1.
	callers int
	// popularRequests is the number of distinct other requests, which are sent
	// repeatedly. With 0 each is sent only once, apart from its retry.
	popularRequests int
	// remember makes hosts remember requests that crash upstreams, report makes them
	// report these to other hosts.
	remember, report bool
}

// crashResult counts what happened to the crashing request and to the other requests.
type crashResult struct {
	// crashed counts the crashes of upstreams.
	crashed int
	// reached counts the attempts of the crashing request that reached an upstream, late
	// those of them that did so more than agreementTime after the decisive crash.
	reached, late int
	// requests counts the other requests without their retries, served those that
	// succeeded at the first or second attempt, and falselyQuarantined their attempts
	// that were refused as crashing requests.
	requests, served, falselyQuarantined int
}

// Times of callers and hosts.
const (
	// retryDelay is the time after which a caller retries.
	retryDelay = 5 * time.Millisecond
	// reportInterval is the minimum time between two reports of a host.
	reportInterval = 250 * time.Millisecond
	// reportTargets is the number of other hosts that a report is sent to.
	reportTargets = 12
	// agreementTime is the time within which hosts must agree on a crashing request
	// after the decisive crash.
	agreementTime = 4 * time.Second
	// decisiveCrash is the number of the crash after which hosts must agree.
	decisiveCrash = 3
)

// upstreamState is the crash state of an upstream.
type upstreamState struct {
	down    bool
	crashes int
}

// attempt is one attempt of a caller's request.
type attempt struct {
	request *callerRequest
	// reachedUpstream is true once one of its calls has reached an upstream.
	reachedUpstream bool
}

// callerRequest is a request of a caller, or the retry of one.
type callerRequest struct {
	load        int
	fingerprint policy.Fingerprint
	caller      netip.Addr
	// crashes is true if the request crashes the upstreams that run it.
	crashes bool
	isRetry bool
}

// startCrashes schedules the arrivals of the crashing request and the waves of crashes.
func (s *routedSite) startCrashes() {
	w, c := s.world, s.routed.crash
	var next func()
	next = func() {
		if w.now >= w.config.duration {
			return
		}
		w.after(c.interval, next)
		s.sendToRandomHost(&callerRequest{fingerprint: "Crash", caller: addressOf(w.random.IntN(max(c.callers, 1))), crashes: true})
	}
	if c.interval > 0 {
		w.after(c.firstAt, next)
	}
	if c.waveInterval > 0 {
		s.crashAll()
	}
}

// crashAll crashes all upstreams and schedules the next wave.
func (s *routedSite) crashAll() {
	w, c := s.world, s.routed.crash
	if w.now >= w.config.duration {
		return
	}
	w.after(c.waveInterval, s.crashAll)
	for _, u := range w.upstreams {
		w.after(time.Duration(w.random.Float64()*float64(c.waveSpread)), func() {
			if !s.states[u.index].down {
				s.crash(u)
			}
		})
	}
}

// newCallerRequest returns a request of a load that crashes no upstream.
func (s *routedSite) newCallerRequest(load int) *callerRequest {
	s.crashes.requests++
	name := s.crashes.requests
	if n := s.routed.crash.popularRequests; n > 0 {
		name = s.world.random.IntN(n)
	}
	return &callerRequest{load: load, fingerprint: policy.Fingerprint(fmt.Sprint("Sound", name)), caller: addressOf(name)}
}

// addressOf returns the address of caller n.
func addressOf(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

// sendToRandomHost sends a request to a random host.
func (s *routedSite) sendToRandomHost(q *callerRequest) {
	w := s.world
	s.serve(w.hosts[w.random.IntN(len(w.hosts))], q)
}

// finishAttempt counts a served request, or retries one that was not served.
func (s *routedSite) finishAttempt(q *callerRequest, served bool) {
	switch {
	case served && !q.crashes:
		s.crashes.served++
	case !served && !q.isRetry:
		q.isRetry = true
		s.world.after(retryDelay, func() { s.sendToRandomHost(q) })
	}
}

// identity returns the identity under which hosts remember a request, the zero value if
// they do not.
func (s *routedSite) identity(q *callerRequest) policy.RequestIdentity {
	if q == nil || !s.routed.crash.remember {
		return policy.RequestIdentity{}
	}
	return policy.RequestIdentity{Fingerprint: q.fingerprint, Caller: q.caller}
}

// serve makes a host run one attempt of a caller's request, unless it has quarantined
// the request.
func (s *routedSite) serve(h *host, q *callerRequest) {
	if verdict, _ := h.fleet.Verdict(s.world.now, s.identity(q)); verdict == policy.VerdictQuarantined {
		if !q.crashes {
			s.crashes.falselyQuarantined++
		}
		s.finishAttempt(q, false)
		return
	}
	s.startGather(h, gather{request: q, load: q.load, startedAt: s.world.now})
}

// reportCrashes makes a host report crashes to other hosts.
func (s *routedSite) reportCrashes(h *host) {
	w := s.world
	if !s.routed.crash.report {
		return
	}
	last, scheduled := -reportInterval, false
	report := func() {
		scheduled, last = false, w.now
		reports := h.fleet.UnsentReports(w.now)
		for _, i := range w.random.Perm(len(w.hosts))[:min(reportTargets, len(w.hosts))] {
			to := w.hosts[i]
			w.after(s.routed.farDelay, func() { to.fleet.MergeReports(w.now, reports) })
		}
	}
	h.fleet.OnCrashReports(func(urgent bool) {
		if urgent {
			w.after(0, report)
			return
		}
		if scheduled {
			return
		}
		scheduled = true
		w.after(max(last+reportInterval-w.now, 0), report)
	})
}

// startCall schedules the crash of an upstream that starts a call of the crashing
// request.
func (s *routedSite) startCall(u *upstream, k *call) bool {
	if !s.causesCrash(k) {
		return true
	}
	w, c := s.world, s.routed.crash
	if c.crashDelay == 0 {
		w.after(u.serviceTime(), func() {
			if k.holdsSlot {
				s.crash(u)
			}
		})
		return false
	}
	before := s.states[u.index].crashes
	w.after(c.crashDelay, func() {
		if s.states[u.index].crashes == before {
			s.crash(u)
		}
	})
	return false
}

// crash crashes an upstream. All its running and waiting calls fail.
func (s *routedSite) crash(u *upstream) {
	w := s.world
	if s.crashes.crashed++; s.crashes.crashed == decisiveCrash {
		s.decisiveCrashAt = w.now
	}
	state := &s.states[u.index]
	state.down = true
	state.crashes++
	for _, k := range append(u.running, u.backlog...) {
		k.holdsSlot = false
		k.reply(policy.CallCrashed)
	}
	u.running, u.backlog = nil, nil
	w.after(s.routed.crash.restartTime, func() { state.down = false })
}

// causesCrash reports whether a call is one of the crashing request.
func (s *routedSite) causesCrash(k *call) bool {
	a := s.attempts[k.execution]
	return a != nil && a.request.crashes
}

// countReached counts an attempt of the crashing request that reached an upstream, once.
func (s *routedSite) countReached(a *attempt) {
	if a.reachedUpstream {
		return
	}
	a.reachedUpstream = true
	s.crashes.reached++
	if s.decisiveCrashAt > 0 && s.world.now > s.decisiveCrashAt+agreementTime {
		s.crashes.late++
	}
}
