package policy

import "loomgap/tier/query"

// Missing says why a part is not in the answer.
type Missing struct {
	// Part is the index of the shard within the run.
	Part int
	// Reason is never empty.
	Reason query.Reason
	// Sends counts the calls sent for the part.
	Sends int
	// HedgeSkipped is why no second upstream was asked; empty if one was, or if the
	// call was not yet due to be hedged.
	HedgeSkipped HedgeSkipReason
}

// Result describes a finished run.
type Result struct {
	// Reasons holds for each part why it is missing, empty if it is included.
	Reasons []query.Reason
	// Missing explains the parts that are not included.
	Missing []Missing
	// Included counts the included parts.
	Included int
	// Attempts counts the upstream calls that were sent, cancelled ones included.
	Attempts int
	// Ran counts the upstream calls that may have run.
	Ran int
	// OutcomeUnknown is true if a not-repeatable request may have run unseen.
	OutcomeUnknown bool
}

// Result returns the account of the run after ActionFinish.
func (r *Run) Result() Result {
	out := Result{Included: r.progress.included, OutcomeUnknown: r.unknown}
	for i := range r.parts {
		p := &r.parts[i]
		out.Attempts += p.sends
		out.Ran += p.ran
		out.Reasons = append(out.Reasons, p.reason)
		if p.reason != "" {
			out.Missing = append(out.Missing, Missing{Part: i, Reason: p.reason, Sends: p.sends, HedgeSkipped: p.unhedged})
		}
	}
	return out
}
