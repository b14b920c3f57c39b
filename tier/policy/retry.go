package policy

import "time"

const (
	// minShedPause is the minimum pause before a part calls an upstream again that shed its
	// call, as a multiple of the median latency.
	minShedPause = 0.5
	// shedPauseJitter is the largest random addition to the pause, as a multiple of the
	// median latency. It spreads the retries of calls that were shed together.
	shedPauseJitter = 1.0
	// maxShedsInShortage is the number of shed calls after which a part that the required
	// coverage does not need is given up during a shortage.
	maxShedsInShortage = 2
)

type nextStep string

const (
	// stepWait waits for the other call of the part.
	stepWait nextStep = "Wait"
	// stepGiveUp makes the part missing.
	stepGiveUp nextStep = "GiveUp"
	// stepRetry calls another upstream immediately.
	stepRetry nextStep = "Retry"
	// stepPause retries an upstream that shed the call after a pause.
	stepPause nextStep = "Pause"
)

// decideRetry returns the next step after a failed call of a part and charges a retry to
// its budget.
func (r *Run) decideRetry(now time.Duration, i int, o CallOutcome) nextStep {
	p := &r.parts[i]
	switch {
	case !r.request.Repeatable && !o.NotRun():
		return stepGiveUp
	case len(p.active) > 0:
		return stepWait
	case r.shortage && o == CallShed && p.sheds >= maxShedsInShortage && r.progress.coversWithoutOne(r.request.Class.Coverage):
		return stepGiveUp
	case !r.rules.attemptsLeft(p) || !r.rules.payRetry(now, i, p, o):
		return stepGiveUp
	case r.pick(now, i, onlyEligible) != nil:
		return stepRetry
	case o == CallShed:
		// No other upstream is eligible. One that sheds may accept the call after a pause.
		return stepPause
	case r.pick(now, i, anyUpstream) != nil:
		return stepRetry
	default:
		return stepGiveUp
	}
}

// handleFailure carries out the next step after a failed call of a part.
func (r *Run) handleFailure(now time.Duration, i int, o CallOutcome) []Action {
	p := &r.parts[i]
	switch r.decideRetry(now, i, o) {
	case stepRetry:
		return r.startOrDefer(now, i, nil)
	case stepPause:
		p.tried = nil
		pause := minShedPause + shedPauseJitter*r.fleet.random.Float64()
		p.retryAt = now + time.Duration(float64(r.request.Pool.median())*pause)
		r.wakeBy(p.retryAt)
	case stepGiveUp:
		r.outcomeUnknown = r.outcomeUnknown || !r.request.Repeatable && !o.NotRun()
		r.markMissing(i, reasonOf(o))
	case stepWait:
	}
	return nil
}
