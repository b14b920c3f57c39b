// Package policy makes all decisions about requests: which upstream is called, how many
// calls it gets concurrently, when a call is hedged or retried, which requests are refused
// and when they may be retried, and when the answer is returned.
//
// The package is pure: it takes events with the current time and returns actions. It has
// no goroutine, clock, random source or socket, so tests can replay any race
// deterministically. Times are durations since the process started, on a monotonic clock.
//
// A process creates one Fleet with NewFleet, sets its upstreams with Fleet.Apply and
// creates a Run for each request with NewRun. Run.Begin, Granted, Reply, Wake and Abort
// return actions, which package runner carries out. Each completed call is reported to
// Fleet.Finish. Types that occur only as fields of these types, such as ActionKind,
// HedgeSkipReason and CrashReport, are exported so that the fields can be read.
//
// # State
//
// The package keeps the state of all upstreams as seen by this host (Fleet), the budgets
// for hedges and retries, and the requests suspected of crashing upstreams. None of it is
// stored; it is rebuilt from observations after a restart.
//
// # Dependencies
//
// Package config provides classes, routes and listings. Package query defines the reasons
// why a part is missing. The caller provides a monotonic time and a random source.
//
// # Concurrency
//
// A Fleet is safe for concurrent use; its lock guards the state of all upstreams. A Run is
// not: its events must be delivered one at a time. It locks the fleet itself.
//
// # Files
//
// From the state of upstreams at the bottom, through the rules, to the run at the top:
//
//   - one upstream: upstream.go, composed of slots.go (with borrowing.go, limit.go,
//     window.go and queue.go), latency.go, occupancy.go, condition.go, outlier.go, ejection.go, backoff.go, stall.go,
//     cold.go, load.go and status.go; kind.go distinguishes declared from listed
//     upstreams; learn.go updates the state after a call
//   - all upstreams: fleet.go, with calls.go, statuses.go, conditions.go and snapshot.go;
//     pool.go holds the latencies of a service
//   - rules for upstreams: choose.go ranks them, with plugin.go as its registry;
//     coldowner.go selects the host that calls a cold upstream, by hostrank.go
//   - rules for requests: placement.go decides where a request may go, coordinator.go
//     which host executes it (during a shortage by the room that coordinators report,
//     roomreport.go), admit.go and retryafter.go whether it is refused and until when, and
//     margin.go how much of its deadline is reserved; classbudget.go and retrybudget.go
//     (with tokenbucket.go and recent.go) pay for the hedges and retries of classes and of
//     routed requests; classstate.go holds the state that requests of a class share;
//     quarantine.go judges a request by the crash reports that suspects.go keeps;
//     crashreport.go and fingerprint.go define these reports and their key
//   - overload control of routed requests: overload.go defines its terms; gate.go is what
//     requests pass, gateticket.go one request at it; gatejudge.go decides whether a request
//     runs, waits or is refused, gatesettle.go until when (by the times of its route,
//     routetimes.go), gateadmit.go which waiting one is next, with gatequeue.go as its
//     queue, sharebudget.go for the shares of late requests and lower ranks, coveragetime.go
//     for the expected time of a run, callers.go for callers that use more than their share,
//     returns.go for when a refused caller may retry and gatepromise.go for its return;
//     room.go decides how many requests run, by the pressure on the upstreams that
//     pressure.go measures
//   - differences between requests of a class and routed requests: class.go and
//     routed.go, behind rules.go
//   - the run: run.go handles events; pick.go, hedge.go, retry.go and finish.go make the
//     decisions; suspicion.go and isolation.go handle requests that may crash upstreams;
//     attempt.go carries out the decisions; part.go and action.go define the state of a
//     part and the actions; outcome.go describes the outcome of a call, result.go that
//     of the run
package policy
