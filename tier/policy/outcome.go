package policy

import "loomgap/tier/query"

// CallOutcome is the outcome of one upstream call.
type CallOutcome string

const (
	// CallOK is a complete reply that belongs to the call.
	CallOK CallOutcome = "OK"
	// CallUnreachable is a failure to connect; the call did not run.
	CallUnreachable CallOutcome = "Unreachable"
	// CallShed is a refusal by the upstream; the call did not run.
	CallShed CallOutcome = "Shed"
	// CallLeaving is a refusal by an upstream that is shutting down; the call did not run.
	CallLeaving CallOutcome = "Leaving"
	// CallNotSent is a call that this host did not send; it did not run.
	CallNotSent CallOutcome = "NotSent"
	// CallBarred is a call that was not made because its upstream may not get calls of the
	// route at the moment: its hall is evacuated or outside the homes of the route, the
	// upstream is leaving, or it is cold and at its call limit.
	CallBarred CallOutcome = "Barred"
	// CallStalled is a call that was not made because its upstream is unresponsive,
	// according to the host near it.
	CallStalled CallOutcome = "Stalled"
	// CallSnapshotGone is a reply from an upstream that does not hold the snapshot.
	CallSnapshotGone CallOutcome = "SnapshotGone"
	// CallMoved is a reply from an upstream with a different shard map.
	CallMoved CallOutcome = "Moved"
	// CallFailed is an error of the upstream itself; the call may have run.
	CallFailed CallOutcome = "Failed"
	// CallMalformed is a reply that does not belong to the call or cannot be parsed.
	CallMalformed CallOutcome = "Garbage"
	// CallNoRoom is a reply that this host did not hold, because other messages used up its
	// memory. The call may have run, and the upstream has done nothing wrong.
	CallNoRoom CallOutcome = "NoRoom"
	// CallBroken is a connection lost after the request may have been sent.
	CallBroken CallOutcome = "Broken"
	// CallCrashed is a connection lost after the request may have been sent, to an upstream
	// that then accepted no new connection: it has crashed.
	CallCrashed CallOutcome = "Crashed"
	// CallLost is a call that another host should have made but did not report on. It may
	// have run, and says nothing about the upstream.
	CallLost CallOutcome = "Lost"
	// CallCancelled is a call that this host cancelled because its answer was no longer
	// needed.
	CallCancelled CallOutcome = "Cancelled"
	// CallLate is a call that this host cancelled at the deadline.
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

// answered reports whether the upstream itself replied.
func (o CallOutcome) answered() bool {
	switch o {
	case CallOK, CallFailed, CallShed, CallLeaving, CallSnapshotGone, CallMoved, CallNoRoom:
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
		return query.ReasonMalformed
	case CallNoRoom:
		return query.ReasonNoRoom
	case CallLate, CallCancelled, CallNotSent, CallStalled:
		return query.ReasonLate
	default:
		return query.ReasonRefused
	}
}
