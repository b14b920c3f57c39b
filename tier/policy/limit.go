package policy

const (
	// minCallLimit is the lowest limit, in calls.
	minCallLimit = 2
	// limitGrowth multiplies the limit to get the number of successful calls after which it
	// grows by one.
	limitGrowth = 4
)

// callLimit limits the calls that this host has in progress at an upstream. It is set when
// the upstream resets new connections, which suggests that it accepts no more of them.
type callLimit struct {
	// calls is the limit; 0 for no limit, otherwise at least minCallLimit.
	calls int
	// succeededCalls counts successful calls since the limit last changed.
	succeededCalls int
}

func (l *callLimit) active() bool { return l.calls > 0 }

// reset lowers the limit after a new connection was reset. inUse counts the calls in
// progress at that time, including the one that was reset.
func (l *callLimit) reset(inUse int) { l.calls, l.succeededCalls = max(inUse-1, minCallLimit), 0 }

// succeeded counts a successful call. The limit is removed once it has grown to the number
// of slots that this host has.
func (l *callLimit) succeeded(slots int) {
	if !l.active() {
		return
	}
	l.succeededCalls++
	if l.succeededCalls < limitGrowth*l.calls {
		return
	}
	l.calls, l.succeededCalls = l.calls+1, 0
	if l.calls >= slots {
		l.calls = 0
	}
}
