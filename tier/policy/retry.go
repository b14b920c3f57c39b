package policy

import "time"

// failed decides what follows a failed attempt.
func (r *Run) failed(now time.Duration, i int, o CallOutcome) []Action {
	p := &r.parts[i]
	if !r.request.Repeatable && !o.NotRun() {
		r.unknown = true
		r.markMissing(i, reasonOf(o))
		return nil
	}
	if len(p.live) > 0 {
		return nil
	}
	if !r.rules.attemptsLeft(p) || !r.rules.payRetry(i, p, o) {
		r.markMissing(i, reasonOf(o))
		return nil
	}
	if r.pick(now, i, true) != nil || o != CallShed && r.pick(now, i, false) != nil {
		return r.startOrHold(now, i, nil)
	}
	if o != CallShed {
		r.markMissing(i, reasonOf(o))
		return nil
	}
	// No other replica is fit: after a pause a shedding one may take it.
	p.tried = nil
	p.retryAt = now + time.Duration(float64(r.request.Pool.median())*(0.5+r.fleet.random.Float64()))
	r.wakeBy(p.retryAt)
	return nil
}
