// Package replay runs the decisions of package policy against fakes of upstreams
// in virtual time, with fixed seeds, so that a decision can be compared with its
// baseline in seconds and with the same result every time.
//
// It owns the fakes and the virtual clock, and relies on packages policy and
// config alone: it opens no connection, starts no process and reads no clock.
// Network and processor time of the daemon are not measured here.
//
// Begin with cases.go, which lists the cases and the decision that each one
// measures. case.go describes a case; world.go has the clock; site.go joins hosts and
// upstreams for requests of a class; execution.go and call.go show how the decisions
// are carried out, and can serve as an example of how to embed package policy;
// upstream.go is the fake upstream. Tests replay routed requests, and ones that crash
// upstreams, at sites of their own.
//
// A replay runs in the goroutine that calls Run. Replays share nothing, so that
// several may run at once.
package replay
