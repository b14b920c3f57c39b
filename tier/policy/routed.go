package policy

import (
	"slices"
	"time"

	"loomgap/tier/query"
)

const (
	// routedSends is the least number of calls that one part of a routed request may
	// have, those that were turned away included, so that a group that sheds is not asked
	// forever. A part with more upstreams may ask each once.
	minRoutedSends = 4
	// hedgeLatest is the share of the objective after which a call is hedged at the latest,
	// while it is not known how long calls to other halls take.
	maxHedgeDelayShare = 0.4
	// hedgeDone is the share of the objective by which a hedge is to be answered, if it
	// takes no longer than hedgeFarQuantile of the far calls.
	hedgedAnswerShare = 0.8
	// hedgeFarQuantile is the quantile of the latencies of far calls that a hedge is
	// expected to take.
	hedgeFarQuantile = 0.8
	// hedgeEarliest is the quantile of the latencies of like calls before which no call is
	// hedged: where calls are slow because hosts or upstreams are busy, more of them make
	// it worse.
	minHedgeQuantile = 0.9
	// hedgeUnknown is the share of the objective after which a call is hedged while the
	// latencies of like calls are not known.
	defaultHedgeDelayShare = 0.25
	// otherHallFactor multiplies the score of an upstream that is neither near nor in the
	// preferred hall. It is more than latencies of like upstreams differ, so that calls to
	// other halls go there together.
	otherHallFactor = 1.2
)

// RoutedConfig is what a routed request adds to a run.
type RoutedConfig struct {
	// Groups holds for each part the group whose retry budget its hedges and retries use.
	Groups []string
	// FarPool holds the latencies of calls to other halls than this host's.
	FarPool *LatencyPool
	// MaxAttempts is the most upstreams that may run one part; 1 or more.
	MaxAttempts int
	// PreferredHall is the data hall that is preferred among those other than this
	// host's own, so that calls may go there together; empty for none.
	PreferredHall string
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// CanRelay is true if other hosts can make calls for the run.
	CanRelay bool
	// NoUpstreamReasons holds for each part why none of its upstreams may be asked; empty for
	// those with an upstream.
	NoUpstreamReasons []query.Reason
}

// routedRules are the rules of a routed request. Its hedges and retries are paid from
// this host's share of what each group allows.
type routedRules struct {
	fleet *Fleet
	// near holds the latencies of the route's calls within this host's hall.
	near *LatencyPool
	// hedgeQuantile is the quantile of like calls after which a call is hedged.
	hedgeQuantile float64
	routed        *RoutedConfig
}

var _ rules = (*routedRules)(nil)

// earn adds a part of a retry to each group of the request.
func (r *routedRules) earn(int) {
	for _, n := range r.routed.Groups {
		r.fleet.earnRetry(n)
	}
}

func (r *routedRules) payHedge(now time.Duration, i int, p *part) bool {
	return r.attemptsLeft(p) && r.fleet.takeHedge(now, r.routed.Groups[i])
}

// payRetry pays for each call beyond the first that arrives.
func (r *routedRules) payRetry(now time.Duration, i int, p *part, _ CallOutcome) bool {
	return p.arrivals == 0 || r.fleet.takeRetry(now, r.routed.Groups[i])
}

func (r *routedRules) attemptsLeft(p *part) bool {
	return p.ran < r.routed.MaxAttempts && p.sends < max(minRoutedSends, len(p.replicas))
}

// hedgeDelay has a call hedged when it takes longer than nearly all like calls, but a near
// one not so late that the answer of another hall would come after the objective.
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

// barred bars a cold upstream if it has had as many calls as it can handle, or if this host
// is not the one that makes its calls and no other host makes calls for the run.
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

// poolOf tells near calls from far ones, which take longer whatever the upstream does.
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

// endsUncovered is true: an answer without the least coverage is of no use.
func (r *routedRules) endsWithoutCoverage() bool { return true }
