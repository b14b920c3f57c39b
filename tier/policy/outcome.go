package policy

import "loomgap/tier/query"

// CallOutcome is what became of one upstream call.
type CallOutcome string

const (
	// CallOK is a whole reply that belongs to the call.
	CallOK CallOutcome = "OK"
	// CallUnreachable is a connection that could not be made; the call did not run.
	CallUnreachable CallOutcome = "Unreachable"
	// CallShed is a refusal: the upstream did not run the call.
	CallShed CallOutcome = "Shed"
	// CallLeaving is a refusal of an upstream that leaves; it did not run the call.
	CallLeaving CallOutcome = "Leaving"
	// CallNotSent is a call that this host held back; it did not run.
	CallNotSent CallOutcome = "NotSent"
	// CallBarred is a call that was not made because its upstream may get none of
	// the route at the moment: its hall is evacuated or no home of the route, it
	// leaves, or it is cold and has had as many calls as it can handle.
	CallBarred CallOutcome = "Barred"
	// CallStalled is a call that was not made because its upstream, as the host
	// near it knows, answers nobody for the moment.
	CallStalled CallOutcome = "Stalled"
	// CallSnapshotGone is the answer of an upstream that lacks the snapshot.
	CallSnapshotGone CallOutcome = "SnapshotGone"
	// CallMoved is the answer of an upstream that has another shard map.
	CallMoved CallOutcome = "Moved"
	// CallFailed is the upstream's own failure; the call may have run.
	CallFailed CallOutcome = "Failed"
	// CallMalformed is a reply that does not belong to the call or cannot be read.
	CallMalformed CallOutcome = "Garbage"
	// CallBroken is a connection lost after the request may have left.
	CallBroken CallOutcome = "Broken"
	// CallCrashed is a connection lost after the request may have left, and the
	// upstream accepted no other: it has crashed.
	CallCrashed CallOutcome = "Crashed"
	// CallLost is a call that another host was to make and did not report on. It
	// may have run, and says nothing about the upstream.
	CallLost CallOutcome = "Lost"
	// CallCancelled is a call that this host gave up while others were enough.
	CallCancelled CallOutcome = "Cancelled"
	// CallLate is a call that this host gave up at the deadline.
	CallLate CallOutcome = "Late"
)

// NotRun reports whether the outcome proves that the call did not run.
func (o CallOutcome) NotRun() bool {
	switch o {
	case CallUnreachable, CallShed, CallLeaving, CallNotSent, CallBarred, CallStalled, CallSnapshotGone, CallMoved:
		return true
	default:
		return false
	}
}

// arrived reports whether the call may have reached the upstream.
func (o CallOutcome) arrived() bool {
	return o != CallUnreachable && o != CallNotSent && o != CallBarred && o != CallStalled
}

func (o CallOutcome) isFailure() bool {
	switch o {
	case CallUnreachable, CallFailed, CallMalformed, CallBroken, CallCrashed, CallLate:
		return true
	default:
		return false
	}
}

// answered reports whether the upstream gave an answer of its own.
func (o CallOutcome) answered() bool {
	switch o {
	case CallOK, CallFailed, CallShed, CallLeaving, CallSnapshotGone, CallMoved:
		return true
	default:
		return false
	}
}

func reasonOf(o CallOutcome) query.Reason {
	switch o {
	case CallUnreachable, CallBroken, CallCrashed, CallLost, CallFailed:
		return query.ReasonUnreachable
	case CallSnapshotGone:
		return query.ReasonSnapshotGone
	case CallMoved:
		return query.ReasonMoved
	case CallMalformed:
		return query.ReasonGarbage
	case CallLate, CallCancelled, CallNotSent, CallStalled:
		return query.ReasonLate
	default:
		return query.ReasonRefused
	}
}
