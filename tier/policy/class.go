package policy

import (
	"time"

	"loomgap/tier/config"
	"loomgap/tier/query"
)

const (
	// classTries is the number of attempts, queued ones included, for one part of a request
	// of a class.
	maxClassAttempts = 4
	// classRetryRatio is the number of retries that each part of a request of a class
	// earns.
	classRetryRatio = 0.1
	// classHedgeDivisor divides the time to the deadline: a call is hedged after that part
	// of it while the latencies of the service are not known.
	classHedgeDivisor = 3
)

// classRules are the rules of a request of a class. Its hedges and retries are paid
// from two budgets that all requests of the class at this host share.
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

// payRetry makes a call that was shed again at no cost: that one cost the upstream next to
// nothing, and classTries bounds how often it happens.
func (c *classRules) payRetry(_ time.Duration, _ int, _ *part, o CallOutcome) bool {
	return o == CallShed || c.fleet.class(c.class.Name).retries.take()
}

func (c *classRules) attemptsLeft(p *part) bool { return p.tries < maxClassAttempts }

// hedgeDelay has a call hedged when it takes longer than nearly all calls to the service.
func (c *classRules) hedgeDelay(_ *Upstream, limit time.Duration) time.Duration {
	if !c.pool.known() {
		return limit / classHedgeDivisor
	}
	return max(c.pool.quantile(c.class.HedgeQuantile), minHedgeDelay)
}

// hedgesAtSame is true, since a call that straggles says little about the next call to
// the same upstream.
func (c *classRules) hedgesSameUpstream() bool { return true }

func (c *classRules) barred(time.Duration, *Upstream) bool { return false }

func (c *classRules) hallFactor(*Upstream) float64 { return 1 }

func (c *classRules) poolOf(*Upstream) *LatencyPool { return c.pool }

func (c *classRules) missingReason(time.Duration, int, *part) query.Reason {
	return query.ReasonUnreachable
}

// endsUncovered is false: a class answers with what arrives by its deadline.
func (c *classRules) endsWithoutCoverage() bool { return false }
