package policy

import (
	"time"

	"loomgap/tier/query"
)

// rules are what requests of a class and routed requests do differently. NewRun
// chooses one of the two, and the run never asks which: class.go shows all that a
// request of a class does in its own way, routed.go all that a routed one does. Rules
// are used with the fleet locked.
type rules interface {
	// earn adds what an admitted request of so many parts earns to the budgets that pay
	// for hedges and retries.
	earn(parts int)
	// payHedge takes a hedge of a part from its budget, and reports whether it could.
	payHedge(now time.Duration, i int, p *part) bool
	// payRetry takes a retry of a part, whose last call had the outcome, from its
	// budget, and reports whether it could.
	payRetry(now time.Duration, i int, p *part, o CallOutcome) bool
	// attemptsLeft reports whether a part may go to one more upstream.
	attemptsLeft(p *part) bool

	// hedgeDelay is how long after its start a call to an upstream is hedged; limit is
	// the time from the start of the run to its deadline.
	hedgeDelay(u *Upstream, limit time.Duration) time.Duration
	// hedgesAtSame reports whether the upstream of a slow call may get its hedge too.
	hedgesSameUpstream() bool

	// barred reports whether an upstream may get no call of the run at the moment.
	barred(now time.Duration, u *Upstream) bool
	// hallFactor multiplies the score of an upstream: more than 1 for one whose hall
	// is not preferred.
	hallFactor(u *Upstream) float64
	// poolOf is where the latencies of calls to an upstream belong.
	poolOf(u *Upstream) *LatencyPool
	// absence is why a part has no upstream to ask.
	missingReason(now time.Duration, i int, p *part) query.Reason
	// endsUncovered reports whether a run ends as soon as its least coverage is out of
	// reach.
	endsWithoutCoverage() bool
}

func newRules(c *RunConfig) rules {
	if c.Routed == nil {
		return &classRules{fleet: c.Fleet, pool: c.Pool, class: c.Class}
	}
	return &routedRules{fleet: c.Fleet, near: c.Pool, hedgeQuantile: c.Class.HedgeQuantile, routed: c.Routed}
}
