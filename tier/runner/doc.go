// Package runner carries out the decisions of policy runs: it makes the calls that a run
// asks for, in goroutines of their own, wakes the run when it wants to be woken, and
// feeds what became of each call back, one event at a time.
//
// Run carries one out; begin reading there. Its user makes the calls, as a Caller. It may
// besides make several calls in one message (Batcher) and see each call that ended
// (Observer).
//
// # Owns
//
// The calls in progress of each run: how to cancel them, and their account. Each call
// that was started is reported to the fleet and to the run exactly once.
//
// # Relies on
//
// Package policy for all decisions, and package kernel for the fleet, the time, and
// whether the process has just slept.
//
// # Concurrency
//
// An execution guards its run with a lock. Waiters are notified of slots that they got
// with no lock held.
package runner
