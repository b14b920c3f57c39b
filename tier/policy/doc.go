// Package policy decides: which replica is asked, how many calls an upstream
// gets at once, when a call is hedged or tried again, what is admitted, and
// when a request is answered. It has no goroutine, clock, random source or
// socket of its own; the present time and the random source are handed in, so
// that a test replays any race exactly.
//
// Times are durations since the process started, on a monotonic clock.
package policy
