// Package runner executes runs of package policy. It makes the calls that a run asks for,
// each in its own goroutine, wakes the run at the times it asks for, and passes the
// outcome of each call back to it, one event at a time.
//
// Start reading at Run. Its user implements Caller to make the calls, and may implement
// Batcher to make several calls in one message and Observer to see each completed call.
//
// # Owns
//
// The calls in progress of each run. The package reports each call that it started to the
// fleet and to the run exactly once.
//
// # Relies on
//
// Package policy for all decisions, and package kernel for the fleet, the time, and
// whether the process was paused.
//
// # Concurrency
//
// A mutex guards the run of an execution. Waiters are notified of granted slots with no
// lock held.
package runner
