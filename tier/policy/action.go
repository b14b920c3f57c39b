package policy

import "time"

// ActionKind identifies what the caller of a Run must do.
type ActionKind string

const (
	// ActionSend sends the attempt to its upstream. The attempt already holds a slot, which
	// Fleet.Finish releases.
	ActionSend ActionKind = "Send"
	// ActionCancel cancels a sent attempt.
	ActionCancel ActionKind = "Cancel"
	// ActionLinger cancels a sent attempt after LingerDuration. Its answer is not needed,
	// but shows when the upstream responds again.
	ActionLinger ActionKind = "Linger"
	// ActionMerge merges the attempt's part into the answer.
	ActionMerge ActionKind = "Take"
	// ActionReleaseSlot calls Fleet.ReleaseSlot for a slot that was granted but is not
	// needed.
	ActionReleaseSlot ActionKind = "Free"
	// ActionFinish returns the answer now. It is issued once per run.
	ActionFinish ActionKind = "Finish"
)

// Action is one step that the caller must carry out for a run.
type Action struct {
	Kind ActionKind
	// Attempt is the index of the attempt within the run.
	Attempt int
	// Part is the index of the shard within the run.
	Part     int
	Upstream *Upstream
	// Pool records the latency of a sent attempt.
	Pool *LatencyPool
	// HedgeIn is the delay between sending an attempt and hedging it; 0 if it is not
	// hedged.
	HedgeIn time.Duration
	// Queued is how long a sent attempt waited for its slot on this host.
	Queued time.Duration
	// Outcome is the outcome to report for a cancelled attempt.
	Outcome CallOutcome
}
