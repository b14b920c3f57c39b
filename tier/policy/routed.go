package policy

import (
	"slices"
	"time"

	"loomgap/tier/query"
)

const (
	// minRoutedSends is the minimum limit of calls, including refused ones, for one part of
	// a routed request. The limit keeps a group that sheds from being called forever. A
	// part with more upstreams may call each of them once.
	minRoutedSends = 4
	// maxHedgeDelayShare is the maximum hedge delay, as a share of the objective, while the
	// latencies of calls to other halls are unknown.
	maxHedgeDelayShare = 0.4
	// hedgedAnswerShare is the share of the objective by which a hedge should be answered,
	// if it takes no longer than hedgeFarQuantile of the far calls.
	hedgedAnswerShare = 0.8
	// hedgeFarQuantile is the quantile of far latencies that a hedge is expected to take.
	hedgeFarQuantile = 0.8
	// minHedgeQuantile is the quantile of the latencies of comparable calls before which no
	// call is hedged. If calls are slow because hosts or upstreams are overloaded, hedging
	// earlier would make it worse.
	minHedgeQuantile = 0.9
	// defaultHedgeDelayShare is the hedge delay, as a share of the objective, while the
	// latencies of comparable calls are unknown.
	defaultHedgeDelayShare = 0.25
	// otherHallFactor multiplies the score of an upstream that is neither near nor in the
	// preferred hall. It exceeds the usual difference between similar upstreams, so that
	// calls to other halls go to the same hall.
	otherHallFactor = 1.2
	// otherHallShortageFactor is otherHallFactor during a shortage. Multiplied by farFactor
	// and the largest jitter, it is below 1+minQueueWait, so that a free slot in another
	// hall is used before a queue.
	otherHallShortageFactor = 1.1
)

// RoutedConfig holds the settings that only routed requests have.
type RoutedConfig struct {
	// Groups holds for each part the group whose retry budget pays for its hedges and
	// retries.
	Groups []string
	// FarPool holds the latencies of calls to halls other than this host's.
	FarPool *LatencyPool
	// MaxAttempts is the largest number of upstreams that may run one part; at least 1.
	MaxAttempts int
	// PreferredHall is the preferred hall among those other than this host's own; empty for
	// none. Calls to other halls go there together, so that they can be batched.
	PreferredHall string
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// CanRelay is true if other hosts can make calls for the run.
	CanRelay bool
	// NoUpstreamReasons holds for each part why it has no upstream to call; empty for parts
	// that have one.
	NoUpstreamReasons []query.Reason
	// Rank is the priority of the request; 0 is the most urgent. It is used during a
	// shortage only.
	Rank int
	// Shortage reports whether the gate of the request measures a shortage; nil for never.
	Shortage func() bool
}

// routedRules are the rules for routed requests. This host's share of the retries that each
// group allows pays for their hedges and retries.
type routedRules struct {
	fleet *Fleet
	// near holds the latencies of the route's calls within this host's hall.
	near *LatencyPool
	// hedgeQuantile is the quantile of comparable calls after which a call is hedged.
	hedgeQuantile float64
	routed        *RoutedConfig
}

var _ rules = (*routedRules)(nil)

// earn credits each group of the request with the share of a retry that a request earns.
func (r *routedRules) earn(int) {
	for _, n := range r.routed.Groups {
		r.fleet.earnRetry(n)
	}
}

func (r *routedRules) payHedge(now time.Duration, i int, p *part) bool {
	return r.attemptsLeft(p) && r.fleet.takeHedge(now, r.routed.Groups[i])
}

// payRetry pays for each call beyond the first that may have reached an upstream.
func (r *routedRules) payRetry(now time.Duration, i int, p *part, _ CallOutcome) bool {
	return p.arrivals == 0 || r.fleet.takeRetry(now, r.routed.Groups[i])
}

func (r *routedRules) attemptsLeft(p *part) bool {
	return p.ran < r.routed.MaxAttempts && p.sends < max(minRoutedSends, len(p.replicas))
}

// hedgeDelay delays a hedge until the call takes longer than almost all comparable calls,
// but hedges early enough for an answer from another hall to arrive within the objective.
func (r *routedRules) hedgeDelay(u *Upstream, _ time.Duration) time.Duration {
	objective := float64(r.routed.Objective)
	p := r.poolOf(u)
	if !p.known() {
		return time.Duration(defaultHedgeDelayShare * objective)
	}
	latest := time.Duration(maxHedgeDelayShare * objective)
	if far := r.routed.FarPool; far.known() {
		latest = time.Duration(hedgedAnswerShare*objective) - far.quantile(hedgeFarQuantile)
	}
	earliest := p.quantile(minHedgeQuantile)
	return max(min(p.quantile(r.hedgeQuantile), latest), earliest, minHedgeDelay)
}

func (r *routedRules) hedgesSameUpstream() bool { return false }

// barred bars a throttled upstream if this host owns it but has reached its call limit, or
// if this host does not own it and no other host can make the call.
func (r *routedRules) barred(now time.Duration, u *Upstream) bool {
	switch {
	case !u.cold.throttled(now):
		return false
	case r.fleet.ownsCold(u):
		return !u.cold.allows(now)
	default:
		return u.cold.owner == "" || !r.routed.CanRelay
	}
}

func (r *routedRules) hallFactor(u *Upstream) float64 {
	if u.near || r.routed.PreferredHall == "" || u.hall == r.routed.PreferredHall {
		return 1
	}
	return otherHallFactor
}

// poolOf separates near calls from far ones, which take longer regardless of the upstream.
func (r *routedRules) poolOf(u *Upstream) *LatencyPool {
	if u.near {
		return r.near
	}
	return r.routed.FarPool
}

func (r *routedRules) missingReason(now time.Duration, i int, p *part) query.Reason {
	if slices.ContainsFunc(p.replicas, func(u *Upstream) bool { return r.barred(now, u) }) {
		return query.ReasonCold
	}
	if len(r.routed.NoUpstreamReasons) > i && r.routed.NoUpstreamReasons[i] != "" {
		return r.routed.NoUpstreamReasons[i]
	}
	return query.ReasonUnreachable
}

// endsWithoutCoverage returns true: an answer below the required coverage is useless.
func (r *routedRules) endsWithoutCoverage() bool { return true }
