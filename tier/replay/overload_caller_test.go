package replay

import (
	"net/netip"
	"time"
)

const (
	// overloadCallers is the number of callers, spread evenly over the halls.
	overloadCallers = 90
	// steadyRetries and eagerRetries are how often a caller retries.
	steadyRetries = 1
	eagerRetries  = 3
	// honoredShare is the share of the remaining time up to which callers honor
	// Retry-After.
	honoredShare = 1.0 / 3
	// promisedShare is the share of the honored time below which Retry-After names the time
	// at which there is room, and not the longest wait. Jitter is at most a tenth.
	promisedShare = 0.85
)

// caller sends requests to the hosts of its hall.
type caller struct {
	address netip.Addr
	hall    int
	// eager callers retry immediately, whatever they are told.
	eager bool
}

func (p *overloadParams) caller(n int) caller {
	return caller{address: addressOf(n), hall: n % overloadHalls, eager: oneIn(p.eagerOneIn, n/overloadHalls)}
}

// overloadRequest is a request of a caller with its retries.
type overloadRequest struct {
	route   int
	caller  caller
	askedAt time.Duration
	retries int
	// promised is true if the last attempt came at the time at which the caller was told
	// that there is room.
	promised bool
}

type responseKind string

const (
	responseServed  responseKind = "Served"
	responseRefused responseKind = "Refused"
	responseFailed  responseKind = "Failed"
)

// response is the response to one attempt.
type response struct {
	kind responseKind
	// retryAfter is the Retry-After of a refusal; 0 for none.
	retryAfter time.Duration
}

// startRequest sends a request of a route if the traffic of the caller's hall calls for it.
// The arrivals of a load have the rate of its peak.
func (s *overloadSite) startRequest(route int) {
	w, p := s.world, s.params
	c := p.caller(w.arrivals.IntN(overloadCallers))
	traffic := 1.0
	if s.underLoad() {
		traffic = p.traffic(route, c.hall)
	}
	if w.arrivals.Float64()*p.peak(route) >= traffic {
		return
	}
	s.send(&overloadRequest{route: route, caller: c, askedAt: w.now})
}

// send sends the next attempt of a request to a random host of the caller's hall.
func (s *overloadSite) send(q *overloadRequest) {
	w := s.world
	perHall := s.params.size.hosts / overloadHalls
	h := w.hosts[q.caller.hall+overloadHalls*w.random.IntN(perHall)]
	a := &gatedAttempt{request: q, host: h, deadline: s.givesUpAt(q) - callerDelay}
	w.after(callerDelay, func() { s.arrive(a) })
}

// givesUpAt returns when the caller of a request stops waiting.
func (s *overloadSite) givesUpAt(q *overloadRequest) time.Duration {
	return q.askedAt + time.Duration(s.params.routes[q.route].TimeLimit)
}

// receive handles a response at the caller: the caller retries or the request is over.
func (s *overloadSite) receive(q *overloadRequest, r response) {
	left := s.givesUpAt(q) - s.world.now
	if left < 0 {
		r.kind = responseFailed
	}
	if r.kind == responseServed || !q.mayRetry(left) {
		s.report.countEnd(q, r.kind, s.world.now)
		return
	}
	q.retries++
	wait := retryDelay
	if !q.caller.eager && r.retryAfter > 0 {
		honored := time.Duration(honoredShare * float64(left))
		wait = min(r.retryAfter, honored)
		q.promised = float64(wait) < promisedShare*float64(honored)
	}
	s.world.after(wait, func() { s.send(q) })
}

func (q *overloadRequest) mayRetry(left time.Duration) bool {
	if left <= 2*callerDelay+retryDelay {
		return false
	}
	if q.caller.eager {
		return q.retries < eagerRetries
	}
	return q.retries < steadyRetries
}
