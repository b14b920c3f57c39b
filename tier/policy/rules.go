package policy

import (
	"time"

	"loomgap/tier/query"
)

// rules holds the differences between requests of a class and routed requests. NewRun
// selects the implementation, classRules or routedRules, and the run does not depend on
// which one it is. The methods are called with the fleet locked.
type rules interface {
	// earn credits the budgets for hedges and retries with what an admitted request of the
	// given number of parts earns.
	earn(parts int)
	// payHedge charges a hedge of a part to its budget and reports whether the budget
	// allowed it.
	payHedge(now time.Duration, i int, p *part) bool
	// payRetry charges a retry of a part, whose last call had outcome o, to its budget and
	// reports whether the budget allowed it.
	payRetry(now time.Duration, i int, p *part, o CallOutcome) bool
	// attemptsLeft reports whether a part may call another upstream.
	attemptsLeft(p *part) bool

	// hedgeDelay returns how long after its start a call to an upstream is hedged. limit is
	// the time from the start of the run to its deadline.
	hedgeDelay(u *Upstream, limit time.Duration) time.Duration
	// hedgesSameUpstream reports whether the hedge of a slow call may go to the same
	// upstream.
	hedgesSameUpstream() bool

	// barred reports whether an upstream may not get calls of the run at the moment.
	barred(now time.Duration, u *Upstream) bool
	// hallFactor returns the factor for the score of an upstream; more than 1 if its hall
	// is not preferred.
	hallFactor(u *Upstream) float64
	// poolOf returns the pool for the latencies of calls to an upstream.
	poolOf(u *Upstream) *LatencyPool
	// missingReason returns why a part has no upstream to call.
	missingReason(now time.Duration, i int, p *part) query.Reason
	// endsWithoutCoverage reports whether a run ends as soon as it can no longer reach the
	// required coverage.
	endsWithoutCoverage() bool
}

func newRules(c *RunConfig) rules {
	if c.Routed == nil {
		return &classRules{fleet: c.Fleet, pool: c.Pool, class: c.Class}
	}
	return &routedRules{fleet: c.Fleet, near: c.Pool, hedgeQuantile: c.Class.HedgeQuantile, routed: c.Routed}
}
