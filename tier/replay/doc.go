// Package replay runs package policy against fake upstreams in virtual time. Seeds are
// fixed, so that comparing a policy with its baseline takes seconds and gives the same
// result every time.
//
// The package provides the fake upstreams and the virtual clock and depends only on
// packages policy and config: it opens no connections, starts no processes and never
// reads the system clock. It does not model the daemon's own network and CPU time.
//
// Start with cases.go, which lists the cases and the policy that each one exercises.
// case.go defines a case, world.go the event loop and the clock, site.go the hosts and
// upstreams for requests of a class, and upstream.go the fake upstream. execution.go
// and call.go carry out the actions of a policy.Run and serve as an example of how to
// embed package policy. The tests define further sites, for routed requests, for
// requests that crash upstreams, and for routed requests under overload, with a gate on
// each host.
//
// A replay runs in the goroutine that calls Run. Replays share no state, so several
// can run concurrently.
package replay
