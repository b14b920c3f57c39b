package policy

import "loomgap/tier/query"

// Missing describes a part that is not in the answer.
type Missing struct {
	// Part is the index of the shard within the run.
	Part int
	// Reason is why the part is missing; never empty.
	Reason query.Reason
	// Sends counts the calls sent for the part.
	Sends int
	// HedgeSkipped is why the part was not hedged; empty if it was, or if its hedge was not
	// due yet.
	HedgeSkipped HedgeSkipReason
}

// Result describes a finished run.
type Result struct {
	// Reasons holds for each part why it is missing; empty if it is included.
	Reasons []query.Reason
	// Missing describes the parts that are not included.
	Missing []Missing
	// Included counts the included parts.
	Included int
	// Attempts counts the upstream calls that were sent, including cancelled ones.
	Attempts int
	// Ran counts the upstream calls that may have run.
	Ran int
	// OutcomeUnknown is true if a non-repeatable request may have run without an answer.
	OutcomeUnknown bool
}

// Result returns the result of the run. It must be called after ActionFinish.
func (r *Run) Result() Result {
	out := Result{Included: r.progress.included, OutcomeUnknown: r.outcomeUnknown}
	for i := range r.parts {
		p := &r.parts[i]
		out.Attempts += p.sends
		out.Ran += p.ran
		out.Reasons = append(out.Reasons, p.reason)
		if p.reason != "" {
			out.Missing = append(out.Missing, Missing{Part: i, Reason: p.reason, Sends: p.sends, HedgeSkipped: p.hedgeSkipped})
		}
	}
	return out
}
