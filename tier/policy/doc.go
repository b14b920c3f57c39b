// Package policy holds all decisions on requests: which upstream is asked, how many
// calls it gets at once, when a call is hedged or made again, which requests are
// refused and when they may come back, and when the answer is given.
//
// It is pure: events and the present time go in, actions come out. It has no goroutine,
// clock, random source or socket of its own, so that a test replays any race exactly.
// Times are durations since the process started, on a monotonic clock.
//
// An embedder begins with NewFleet, one for each process, gives it the upstreams by
// Fleet.Apply, and makes a Run of each request by NewRun. Run.Begin, Granted, Reply,
// Wake and GiveUp return actions, which package runner carries out; a call that ended is
// reported to Fleet.Finish. Types that stand only in fields of these, as ActionKind,
// HedgeSkipReason or CrashReport, are exported so that the fields can be read.
//
// # Owns
//
// The state of all upstreams as this host sees them (Fleet), the budgets of hedges and
// retries, and the requests suspected of crashing upstreams. Nothing is stored; all of
// it is learnt anew after a restart.
//
// # Relies on
//
// Package config for classes, routes and listings, package query for the reasons why a
// part is missing. The user gives a monotonic time and a random source.
//
// # Concurrency
//
// A Fleet is safe for concurrent use; its lock guards all state of upstreams. A Run is
// not: its events come one at a time. It locks the fleet itself.
//
// # Files
//
// The state of upstreams is below, the rules above it, the run on top.
//
//   - one upstream: upstream.go, made of slots.go (with borrowing.go, limit.go and
//     queue.go), latency.go, condition.go, outlier.go, ejection.go, backoff.go, stall.go,
//     cold.go, load.go and status.go; kind.go tells declared from listed ones; learn.go
//     takes in what a call showed
//   - all upstreams: fleet.go, with calls.go, statuses.go, conditions.go and snapshot.go;
//     pool.go holds the latencies of a service
//   - rules on an upstream: choose.go, registered by plugin.go; coldowner.go says which
//     host calls a cold one
//   - rules on a request: placement.go says where it may go, coordinator.go which host
//     carries it out, admit.go and retryafter.go whether it is refused and until when,
//     margin.go what is kept back from its deadline, budget.go and retrybudget.go what
//     pays for the hedges and retries of a class and of a routed request (recent.go sums
//     up a window); classstate.go holds what requests of a class share; quarantine.go
//     judges it by what suspects.go remembers of its fingerprint.go and hosts exchange
//     (crashreport.go)
//   - what requests of a class and routed ones do differently: class.go and routed.go,
//     behind rules.go
//   - the run: run.go takes events, pick.go, hedge.go, retry.go and finish.go decide,
//     suspicion.go and isolation.go handle requests that may crash upstreams; attempt.go
//     carries out what was decided on part.go, by action.go; outcome.go says what became
//     of a call, result.go of the run
package policy
