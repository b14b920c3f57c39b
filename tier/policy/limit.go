package policy

const (
	// limitLeast is the least limit, in calls.
	minCallLimit = 2
	// limitGrowth is how many times the limit in calls must go well until the limit grows
	// by one.
	limitGrowth = 4
)

// callLimit bounds the calls that this host has in progress at an upstream, as learnt
// from new connections that the upstream reset: it takes no more connections then.
type callLimit struct {
	// calls is the limit; 0 for none, else at least limitLeast.
	calls int
	// good counts calls that went well since calls last changed.
	succeededCalls int
}

func (l *callLimit) known() bool { return l.calls > 0 }

// reset notes that a new connection was reset while so many calls were under way,
// the one that made it included.
func (l *callLimit) reset(inUse int) { l.calls, l.succeededCalls = max(inUse-1, minCallLimit), 0 }

// succeeded counts a call that went well. The limit is dropped once it has grown to
// the slots that this host has.
func (l *callLimit) succeeded(slots int) {
	if !l.known() {
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
