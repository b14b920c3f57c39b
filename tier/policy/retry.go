package policy

import "time"

const (
	// shedPauseLeast is the least pause before an upstream that shed a call is asked again,
	// in median latencies of like calls.
	minShedPause = 0.5
	// shedPauseSpread is by how many medians the pause is longer at most, at random, so
	// that calls which were shed together do not come back together.
	shedPauseSpread = 1.0
)

type nextStep string

const (
	// stepWait leaves the part to its other call.
	stepWait nextStep = "Wait"
	// stepGiveUp makes the part missing.
	stepGiveUp nextStep = "GiveUp"
	// stepRetry asks another upstream at once.
	stepRetry nextStep = "Retry"
	// stepPause asks an upstream that shed the call again after a pause.
	stepPause nextStep = "Pause"
)

// decideRetry decides what follows a failed call of a part. A retry is taken from its
// budget.
func (r *Run) decideRetry(now time.Duration, i int, o CallOutcome) nextStep {
	p := &r.parts[i]
	switch {
	case !r.request.Repeatable && !o.NotRun():
		return stepGiveUp
	case len(p.active) > 0:
		return stepWait
	case !r.rules.attemptsLeft(p) || !r.rules.payRetry(now, i, p, o):
		return stepGiveUp
	case r.pick(now, i, onlyEligible) != nil:
		return stepRetry
	case o == CallShed:
		// No other upstream is eligible: after a pause one that sheds may take it.
		return stepPause
	case r.pick(now, i, anyUpstream) != nil:
		return stepRetry
	default:
		return stepGiveUp
	}
}

func (r *Run) failed(now time.Duration, i int, o CallOutcome) []Action {
	p := &r.parts[i]
	switch r.decideRetry(now, i, o) {
	case stepRetry:
		return r.startOrDefer(now, i, nil)
	case stepPause:
		p.tried = nil
		pause := minShedPause + shedPauseSpread*r.fleet.random.Float64()
		p.retryAt = now + time.Duration(float64(r.request.Pool.median())*pause)
		r.wakeBy(p.retryAt)
	case stepGiveUp:
		r.unknown = r.unknown || !r.request.Repeatable && !o.NotRun()
		r.markMissing(i, reasonOf(o))
	case stepWait:
	}
	return nil
}
