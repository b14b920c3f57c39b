package pass

import "time"

const (
	// failureDelay is how long a reply waits after a failed call for other calls to end:
	// one message costs as much as several calls of one.
	failureReplyDelay = 2 * time.Millisecond
	// progressDelay is the same after any call once the first reply was due.
	progressReplyDelay = 8 * time.Millisecond
)

// unreported collects the calls of a batch that ended since the last reply.
type unreported struct {
	calls []callReport
	// merger has the records of the calls that succeeded.
	merger merger
	// failed is true if any of the calls failed.
	failed bool
}

// add notes a call that ended, with its records if it succeeded.
func (u *unreported) add(c callReport, records []byte) {
	u.merger.add(records)
	u.calls = append(u.calls, c)
	u.failed = u.failed || c.Stamp == ""
}

// take returns the calls, the greatest records of all and how many calls succeeded,
// and begins anew.
func (u *unreported) take() (calls []callReport, records []byte, succeeded int) {
	calls, records = u.calls, u.merger.result()
	for _, c := range calls {
		if c.Stamp != "" {
			succeeded++
		}
	}
	u.calls, u.merger.records, u.failed = nil, nil, false
	return calls, records, succeeded
}

// replyDelay returns how long a reply waits for further calls to end; due is false if
// the calls need no reply of their own.
func (u *unreported) replyDelay(firstDuePassed bool) (delay time.Duration, due bool) {
	switch {
	case len(u.calls) == 0:
		return 0, false
	case u.failed:
		return failureReplyDelay, true
	default:
		return progressReplyDelay, firstDuePassed
	}
}
