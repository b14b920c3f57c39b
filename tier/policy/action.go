package policy

import "time"

// ActionKind says what a run wants done.
type ActionKind string

const (
	// ActionSend asks for the attempt to be sent to its upstream. Its slot is
	// held; Fleet.Finish gives it back.
	ActionSend ActionKind = "Send"
	// ActionCancel asks for a sent attempt to be given up.
	ActionCancel ActionKind = "Cancel"
	// ActionLinger asks for a sent attempt to be given up after LingerDuration: its answer
	// is not wanted, but shows when the upstream answers again.
	ActionLinger ActionKind = "Linger"
	// ActionMerge asks for the attempt's part to be merged into the answer.
	ActionMerge ActionKind = "Take"
	// ActionReleaseSlot asks for Fleet.ReleaseSlot: a slot was granted and is not wanted.
	ActionReleaseSlot ActionKind = "Free"
	// ActionFinish asks for the answer to be given now. It comes once.
	ActionFinish ActionKind = "Finish"
)

// Action is one thing to be done for a run.
type Action struct {
	Kind ActionKind
	// Attempt is the number of the attempt within the run.
	Attempt int
	// Part is the index of the shard within the run.
	Part     int
	Upstream *Upstream
	// Pool is where the latency of a sent attempt belongs.
	Pool *LatencyPool
	// HedgeIn is how long after it was sent an attempt is hedged; 0 if it will not be.
	HedgeIn time.Duration
	// Outcome is what a cancelled attempt is to be reported as.
	Outcome CallOutcome
}
