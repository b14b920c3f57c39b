package policy

import (
	"time"

	"loomgap/tier/query"
)

// Times of hedges of routed requests.
const (
	// hedgeLatest is the part of the objective after which a part is hedged
	// at the latest, while it is not known how long calls to other halls take.
	hedgeLatest = 0.4
	// hedgeDone is the part of the objective by which a hedge is to be done, if
	// it takes no longer than hedgeFarQuantile of the far calls. hedgeEarliest
	// is the quantile of like calls before which none is hedged: where calls
	// are slow because hosts or upstreams are busy, more of them make it worse.
	hedgeDone        = 0.8
	hedgeFarQuantile = 0.8
	hedgeEarliest    = 0.9
	// hedgeUnknown is the part of the objective after which a part is hedged
	// while the latencies of like calls are not known.
	hedgeUnknown = 0.25
	// batchHedgeDelay is the least extra time until a call of a batch is hedged: the
	// relay's progress report may be late where that host is busy.
	batchHedgeDelay = 15 * time.Millisecond
)

// Routed is what a routed request adds to a run.
type Routed struct {
	// Groups holds for each part the group whose budget its repeats use.
	Groups []string
	// FarPool holds the latencies of calls to other halls than this host's.
	FarPool *Pool
	// MaxAttempts is the most upstreams that may run one part; 1 or more.
	MaxAttempts int
	// Hall is the data hall that is preferred among those other than this
	// host's own, so that calls may go there together; empty for none.
	Hall string
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Relayed is true if other hosts can make calls for the run.
	Relayed bool
	// Absent holds for each part why none of its upstreams may be asked; empty for
	// those with an upstream.
	Absent []query.Reason
}

// otherHallFactor counts an upstream for slower that is neither near nor in
// the preferred hall, by more than latencies of like upstreams differ.
const otherHallFactor = 1.2

func (r *Run) hallFactor(u *Upstream) float64 {
	if r.routed == nil || u.near || r.routed.Hall == "" || u.hall == r.routed.Hall {
		return 1
	}
	return otherHallFactor
}

// coverageUnreachable reports whether the least coverage of a routed request is out of
// reach, so that waiting for the rest is of no use.
func (r *Run) coverageUnreachable() bool {
	if r.routed == nil || r.included+r.open == len(r.parts) {
		return false
	}
	return float64(r.included+r.open) < r.config.Coverage*float64(len(r.parts))
}

// linger reports whether an attempt that is not wanted any more may go on. One
// whose caller is gone may not.
func (r *Run) linger(a *attempt) bool {
	return r.routed != nil && r.repeatable && !r.callerGone && !r.doubted() && a.upstream.near && a.upstream.linger()
}

// poolOf returns the pool that an upstream's latencies belong to. What is far
// takes longer than what is near, whatever the upstream does.
func (r *Run) poolOf(u *Upstream) *Pool {
	if r.routed == nil || u.near {
		return r.pool
	}
	return r.routed.FarPool
}

// routedHedgeDelay is when to hedge a call of a routed request: when it takes
// longer than nearly all like calls, but for a near one not so late that the
// answer from afar would come too late.
func (r *Run) routedHedgeDelay(u *Upstream) time.Duration {
	objective := float64(r.routed.Objective)
	p := r.poolOf(u)
	if !p.Known() {
		return time.Duration(hedgeUnknown * objective)
	}
	latest := time.Duration(hedgeLatest * objective)
	if far := r.routed.FarPool; far.Known() {
		latest = time.Duration(hedgeDone*objective) - far.Quantile(hedgeFarQuantile)
	}
	earliest := p.Quantile(hedgeEarliest)
	return max(min(p.Quantile(r.config.HedgeQuantile), latest), earliest, hedgeLeast)
}
