package policy

import (
	"math"
	"time"

	"loomgap/tier/query"
)

type progress struct {
	// parts is how many there are; open counts those that have neither an answer nor a
	// reason why they have none, included those in the answer.
	parts, open, included int
}

// covers reports whether the answer meets a coverage, 0 to 1, as it is.
func (p *progress) covers(coverage float64) bool {
	return float64(p.included) >= coverage*float64(p.parts)
}

// canCover reports whether the answer meets a coverage, 0 to 1, if all open parts come.
func (p *progress) canCover(coverage float64) bool {
	possible := p.included + p.open
	return possible == p.parts || float64(possible) >= coverage*float64(p.parts)
}

// finishIfDone finishes the run if it is time, else it starts what waits.
func (r *Run) finishIfDone(now time.Duration, out []Action) []Action {
	if r.finished {
		return out
	}
	if !r.done(now) {
		// Parts that cannot be started are missing.
		out = r.startDeferred(now, out)
	}
	if r.done(now) {
		return r.finish(now, out)
	}
	return out
}

// done reports whether the answer is to be given now: all parts have an answer or a
// reason, the deadline has come, or
//   - the answer meets the least coverage and the class's patience is over, or
//   - it cannot meet the least coverage any more, if that ends a run by its rules.
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

// finish ends the run: what is still open is missing, and its calls are given up.
func (r *Run) finish(now time.Duration, out []Action) []Action {
	r.finished = true
	r.reportAtEnd(now)
	for i := range r.parts {
		p := &r.parts[i]
		if p.closed {
			continue
		}
		if !r.request.Repeatable && r.hasCall(p) {
			r.unknown = true
		}
		out = r.cancel(i, CallLate, out)
		reason := query.ReasonLate
		if p.deferred {
			reason = query.ReasonSuspected
		}
		r.markMissing(i, reason)
	}
	r.fleet.class(r.request.Class.Name).inFlight--
	r.times.next = math.MaxInt64
	return append(out, Action{Kind: ActionFinish})
}
