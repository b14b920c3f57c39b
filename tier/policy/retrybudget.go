package policy

import "time"

const (
	// retryBudgetShare is the share of the allowed retries that hosts may use. The rest
	// allows for windows that are not aligned between hosts.
	retryBudgetShare = 0.95
	// probabilisticDepth is the depth, in retries, below which a host takes tokens
	// probabilistically. Such a low depth means that there are so many hosts that the
	// deviations of single hosts even out.
	probabilisticDepth = 3.0
	// initialRetryShare is the share of the depth that a host starts with, and of the
	// reserve that it has during the first window. All hosts may restart at the same time,
	// and retries spent before the restart still count.
	initialRetryShare = 0.25
)

// RetryBudget limits the calls beyond the first, hedges and retries, that this host makes
// to a group for routed requests. It is unrelated to classBudget.
type RetryBudget struct {
	// Ratio is how many retries one request earns.
	Ratio float64
	// Depth is how many earned retries may be saved up. It is also how many calls beyond the
	// first, earned or not, a host may make within Window before it needs earned ones.
	Depth float64
	// Window is the interval in which a group counts calls beyond the first; 0 for a host
	// that may only spend saved retries.
	Window time.Duration
}

// ShareRetryBudget returns one host's share of the retries that a group allows in each
// window: a ratio of the requests, plus a slack that hosts divide among themselves. hosts is
// the number of hosts or the result of RetryBudgetDivisor.
func ShareRetryBudget(ratio, slack, hosts float64) RetryBudget {
	return RetryBudget{Ratio: ratio * retryBudgetShare, Depth: slack * retryBudgetShare / max(hosts, 1)}
}

// WithWindow returns the budget with the window in which groups count calls.
func (b RetryBudget) WithWindow(window time.Duration) RetryBudget {
	b.Window = window
	return b
}

// RetryBudgets holds this host's budgets for the groups of routed requests.
type RetryBudgets struct {
	// Shards is the budget of each group that is a shard, Single that of every other group.
	// They differ because coordinators make most calls to shards, while every host makes
	// its own calls to other groups.
	Shards, Single RetryBudget
	// IsShard contains the groups that are shards of any route. It is read-only.
	IsShard map[string]bool
}

func (r *RetryBudgets) of(group string) RetryBudget {
	if r.IsShard[group] {
		return r.Shards
	}
	return r.Single
}

// SetRetryBudgets sets the budgets. Saved retries beyond a new depth are lost.
func (f *Fleet) SetRetryBudgets(r RetryBudgets) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudgets = r
	for group, b := range f.retries {
		b.saved.tokens = min(b.saved.tokens, r.of(group).Depth)
	}
}

// groupRetries holds the hedges and retries that this host may still make to a group.
//
// Earned retries are saved up and pay for hedges first, which suffices for a host with
// frequent requests to the group. In a fleet of hundreds of hosts, requests are rare and
// earn almost nothing, while most of what the group allows is the slack per window. That
// slack is the reserve: it pays only for retries of failed calls, without which a part
// would be missing, and never for hedges.
type groupRetries struct {
	saved tokenBucket
	// spent sums what was spent within the window.
	spent windowedSum
}

// takeHedge pays for a hedge to a group from the saved retries. The fleet must be locked.
func (f *Fleet) takeHedge(now time.Duration, group string) bool {
	return f.takeSaved(now, group, f.retriesOf(group))
}

// takeRetry pays for a retry to a group, from the reserve if no retry is saved up. The
// fleet must be locked.
func (f *Fleet) takeRetry(now time.Duration, group string) bool {
	b := f.retriesOf(group)
	return f.takeSaved(now, group, b) || f.takeReserve(now, group, b)
}

func (f *Fleet) takeSaved(now time.Duration, group string, b *groupRetries) bool {
	budget := f.retryBudgets.of(group)
	before := b.saved.tokens
	taken := false
	if budget.Depth < probabilisticDepth {
		taken = b.saved.takeProbabilistic(f.random)
	} else {
		taken = b.saved.take()
	}
	b.spent.add(now, budget.Window, before-b.saved.tokens)
	return taken
}

// takeReserve pays for a retry from the reserve. It succeeds if everything spent within the
// window, plus this retry and the saved ones, stays within this host's share of the slack.
// It ignores the number of requests within the window, since each request already earns its
// retries once. Otherwise every host could spend according to its own peak, and hosts that
// peak at different times would exceed what the group allows.
func (f *Fleet) takeReserve(now time.Duration, group string, b *groupRetries) bool {
	budget := f.retryBudgets.of(group)
	if budget.Window <= 0 {
		return false
	}
	slack := budget.Depth
	if now < budget.Window {
		slack *= initialRetryShare
	}
	if b.spent.sum(now, budget.Window)+b.saved.tokens+1 > slack {
		return false
	}
	b.spent.add(now, budget.Window, 1)
	return true
}

// retriesOf returns the remaining retries for a group. The fleet must be locked.
func (f *Fleet) retriesOf(group string) *groupRetries {
	return getOrCreate(f.retries, group, func() *groupRetries {
		return &groupRetries{saved: tokenBucket{f.retryBudgets.of(group).Depth * initialRetryShare}}
	})
}

// earnRetry adds what one request earns to the retries for a group. The fleet must be
// locked.
func (f *Fleet) earnRetry(group string) {
	r := f.retryBudgets.of(group)
	f.retriesOf(group).saved.fill(r.Ratio, r.Depth)
}
