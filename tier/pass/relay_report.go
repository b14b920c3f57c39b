package pass

import "time"

const (
	// failureReplyDelay is how long a reply waits for other calls to end after a call has
	// failed, so that one message reports several calls.
	failureReplyDelay = 2 * time.Millisecond
	// progressReplyDelay is the same after any call, once the first reply was due.
	progressReplyDelay = 8 * time.Millisecond
)

// unreported collects the calls of a batch that ended since the last reply.
type unreported struct {
	calls []callReport
	// merger holds the records of the calls that succeeded.
	merger merger
	// failed is true if any of the calls failed.
	failed bool
}

// add adds a call that ended, with its records if it succeeded.
func (u *unreported) add(c callReport, records []byte) {
	u.merger.add(records)
	u.calls = append(u.calls, c)
	u.failed = u.failed || c.Stamp == ""
}

// take returns the calls, their greatest records and the number of calls that succeeded,
// and resets u.
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

// replyDelay returns how long a reply waits for further calls to end. due is false if the
// calls do not require a reply yet.
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
