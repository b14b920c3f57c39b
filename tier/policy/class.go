package policy

import (
	"time"

	"loomgap/tier/config"
	"loomgap/tier/query"
)

const (
	// maxClassAttempts is the maximum number of attempts, including queued ones, for one
	// part of a request of a class.
	maxClassAttempts = 4
	// classRetryRatio is the number of retries that each part of a request of a class
	// earns.
	classRetryRatio = 0.1
	// classHedgeDivisor divides the time to the deadline to get the hedge delay while the
	// latencies of the service are not known.
	classHedgeDivisor = 3
)

// classRules are the rules for requests of a class. Two budgets, which all requests of the
// class on this host share, pay for their hedges and retries.
type classRules struct {
	fleet *Fleet
	// pool holds the latencies of the service.
	pool  *LatencyPool
	class *config.Class
}

var _ rules = (*classRules)(nil)

func (c *classRules) earn(parts int) {
	s := c.fleet.class(c.class.Name)
	s.hedges.earn(parts, c.class.HedgeBudget)
	s.retries.earn(parts, classRetryRatio)
}

func (c *classRules) payHedge(time.Duration, int, *part) bool {
	return c.fleet.class(c.class.Name).hedges.take()
}

// payRetry charges nothing for retrying a call that was shed: a shed costs the upstream
// very little, and maxClassAttempts bounds the number of retries.
func (c *classRules) payRetry(_ time.Duration, _ int, _ *part, o CallOutcome) bool {
	return o == CallShed || c.fleet.class(c.class.Name).retries.take()
}

func (c *classRules) attemptsLeft(p *part) bool { return p.tries < maxClassAttempts }

// hedgeDelay delays a hedge until the call takes longer than almost all calls to the
// service.
func (c *classRules) hedgeDelay(_ *Upstream, limit time.Duration) time.Duration {
	if !c.pool.known() {
		return limit / classHedgeDivisor
	}
	return max(c.pool.quantile(c.class.HedgeQuantile), minHedgeDelay)
}

// hedgesSameUpstream returns true, since a straggling call says little about the next call
// to the same upstream.
func (c *classRules) hedgesSameUpstream() bool { return true }

func (c *classRules) barred(time.Duration, *Upstream) bool { return false }

func (c *classRules) hallFactor(*Upstream) float64 { return 1 }

func (c *classRules) poolOf(*Upstream) *LatencyPool { return c.pool }

func (c *classRules) missingReason(time.Duration, int, *part) query.Reason {
	return query.ReasonUnreachable
}

// endsWithoutCoverage returns false: a request of a class is answered with whatever arrives
// by its deadline.
func (c *classRules) endsWithoutCoverage() bool { return false }
