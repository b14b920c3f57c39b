package pass

import (
	"net/http"
	"sync/atomic"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/runner"
)

// request is one routed request on its way; serve.go has the stages that it passes.
type request struct {
	engine *engine
	// view is taken once; the request goes by it to its end.
	view *kernel.View
	// route and class are nil until the route is found.
	route *config.Route
	class *config.Class
	in    inbound
	times requestTimes
	plan  plan
	// relays make calls of this request.
	relays  requestRelays
	answers answers
	// sends counts the calls sent for each part.
	sends []int
	// outcome is the last that was logged.
	outcome outcome
	// callerGone is true once the caller is gone.
	callerGone atomic.Bool
}

var (
	_ runner.Caller[*answer]   = (*request)(nil)
	_ runner.Observer[*answer] = (*request)(nil)
	_ http.Handler             = (*engine)(nil)
)

// requestTimes are the times of a request, as time since the process started.
type requestTimes struct {
	// begun is when the request was read, by this host or before at another one.
	begun time.Duration
	// deadline is when the answer is due; 0 until the request is read.
	deadline time.Duration
	// patience is when an answer that covers enough is given; 0 until calls are made.
	patience time.Duration
	// decidedAt is when the run of the request ended; 0 before.
	decidedAt time.Duration
}

// answers are what upstreams answered.
type answers struct {
	// single is the answer that was taken, for a request to one group.
	single *answer
	// failure is the last failure that an upstream answered with.
	failure *answer
	// parts are what was taken for a gather.
	parts gatheredParts
}

// newRequest makes a request of a caller.
func (e *engine) newRequest(r *http.Request) *request {
	return &request{
		engine: e, times: requestTimes{begun: e.kernel.Now()},
		in: inbound{id: r.Header.Get(e.headers.RequestID), method: r.Method, subject: policy.Subject{Caller: callerOf(r)}},
	}
}
