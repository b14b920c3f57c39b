package policy

import (
	"math"
	"time"

	"loomgap/tier/query"
)

// progress counts the parts of an answer.
type progress struct {
	// parts counts all parts, open those that are neither included nor missing yet, and
	// included those in the answer.
	parts, open, included int
}

// covers reports whether the answer already reaches a coverage, 0 to 1.
func (p *progress) covers(coverage float64) bool {
	return float64(p.included) >= coverage*float64(p.parts)
}

// canCover reports whether the answer reaches a coverage, 0 to 1, if all open parts arrive.
func (p *progress) canCover(coverage float64) bool {
	possible := p.included + p.open
	return possible == p.parts || float64(possible) >= coverage*float64(p.parts)
}

// coversWithoutOne reports whether the answer reaches a coverage, 0 to 1, if all open parts
// but one arrive.
func (p *progress) coversWithoutOne(coverage float64) bool {
	return float64(p.included+p.open-1) >= coverage*float64(p.parts)
}

// finishIfDone finishes the run if it is done, and otherwise starts deferred parts.
func (r *Run) finishIfDone(now time.Duration, out []Action) []Action {
	if r.finished {
		return out
	}
	if !r.done(now) {
		// Deferred parts that cannot be started become missing, which may complete the run.
		out = r.startDeferred(now, out)
	}
	if r.done(now) {
		return r.finish(now, out)
	}
	return out
}

// done reports whether to return the answer now. This is the case if
//   - all parts are included or missing,
//   - the deadline has passed,
//   - the request is repeatable, the answer reaches the required coverage and the patience
//     of the class is over, or
//   - the answer can no longer reach the required coverage and the rules end such a run.
func (r *Run) done(now time.Duration) bool {
	p, coverage := &r.progress, r.request.Class.Coverage
	switch {
	case p.open == 0 || now >= r.request.Deadline:
		return true
	case now >= r.times.patience && r.request.Repeatable && p.covers(coverage):
		return true
	default:
		return r.rules.endsWithoutCoverage() && !p.canCover(coverage)
	}
}

// finish ends the run. Open parts become missing and their calls are cancelled.
func (r *Run) finish(now time.Duration, out []Action) []Action {
	r.finished = true
	r.reportAtEnd(now)
	for i := range r.parts {
		p := &r.parts[i]
		if p.closed {
			continue
		}
		if !r.request.Repeatable && r.hasCall(p) {
			r.outcomeUnknown = true
		}
		out = r.cancel(now, i, CallLate, out)
		reason := query.ReasonLate
		if p.deferred {
			reason = query.ReasonSuspected
		}
		r.markMissing(i, reason)
	}
	r.fleet.class(r.request.Class.Name).inFlight--
	r.times.wakeAt = math.MaxInt64
	return append(out, Action{Kind: ActionFinish})
}
