// Package runner executes runs of package policy. It makes the calls that a run asks for,
// each in its own goroutine, wakes the run at the times it asks for, and passes the
// outcome of each call back to it, one event at a time.
//
// Start reading at Run. Its user implements Caller to make the calls, and may implement
// Batcher to make several calls in one message and Observer to see each completed call.
//
// # State
//
// The package tracks the calls in progress of each run and can cancel them. Each call
// that was started is reported to the fleet and to the run exactly once.
//
// # Dependencies
//
// Package policy makes all decisions. Package kernel provides the fleet, the time, and
// whether the process was paused.
//
// # Concurrency
//
// A mutex guards the run of an execution. Waiters are notified of granted slots with no
// lock held.
package runner
