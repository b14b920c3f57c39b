package policy

const (
	// budgetStart is the number of tokens that a class begins with at a host. Not
	// measured.
	budgetStart = 4.0
	// budgetDepth is the number of tokens that may be saved up. Not measured.
	budgetDepth = 64.0
	// budgetRequests is the number of requests of the present size whose tokens may be
	// saved up, if these are more than budgetDepth. Not measured.
	budgetRequests = 2
)

// budget is a token bucket that is filled by needed calls.
type budget struct {
	tokens float64
}

func (b *budget) earn(calls int, ratio float64) {
	b.fill(ratio*float64(calls), max(budgetDepth, budgetRequests*ratio*float64(calls)))
}

func (b *budget) fill(tokens, depth float64) { b.tokens = min(b.tokens+tokens, depth) }

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// draw takes a token. With less than one left it takes what is left, and succeeds with
// that probability: many hosts that earn little each then take as many tokens together
// as they earn, on average.
func (b *budget) draw(r Random) bool {
	if b.take() {
		return true
	}
	p := b.tokens
	b.tokens = 0
	return r.Float64() < p
}

const (
	// retryBudgetShare is the share of the allowed retries that is used at most, since
	// hosts count in windows of their own. With it no host count from 8 to 400 exceeds
	// what a group allows in any window.
	retryBudgetShare = 0.95
	// drawBelow is the depth, in retries, below which retries are drawn by chance: there
	// are many hosts then, and chance evens out. Measured: level.
	drawBelow = 3.0
	// retriesAtStart is the share of the depth that a host begins with: all hosts may be
	// started again at once, and what they spent before still counts. Measured: with all
	// of it, worth is 0.551 in place of 0.557 to 0.560.
	retriesAtStart = 0.25
)

// RetryBudget bounds the calls beyond the first, hedges and retries, that this
// host makes at a group.
type RetryBudget struct {
	// Ratio is how many retries one request earns.
	Ratio float64
	// Depth is how many earned retries may be saved up.
	Depth float64
}

// ShareRetryBudget returns one host's part of what a group allows in each window:
// a ratio of its requests, and a slack besides that so many hosts divide.
func ShareRetryBudget(ratio, slack, hosts float64) RetryBudget {
	return RetryBudget{Ratio: ratio * retryBudgetShare, Depth: slack * retryBudgetShare / max(hosts, 1)}
}

// RetryBudgets are this host's budgets for the groups of routed requests.
type RetryBudgets struct {
	// Shards is the budget of each group that is a shard, Single that of each other.
	// Coordinators make most calls to shards, and every host its own calls to others.
	// Measured: with 12 strong and 48 weak hosts 99% of the hedges of requests to single
	// upstreams are let through; 71% where both kinds of group share one division.
	Shards, Single RetryBudget
	// IsShard names the groups that are shards of any route; it is not changed.
	IsShard map[string]bool
}

func (r *RetryBudgets) of(group string) RetryBudget {
	if r.IsShard[group] {
		return r.Shards
	}
	return r.Single
}

// SetRetryBudgets sets the budgets. What is saved up beyond a new depth is lost.
func (f *Fleet) SetRetryBudgets(r RetryBudgets) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudgets = r
	for group, b := range f.retries {
		b.tokens = min(b.tokens, r.of(group).Depth)
	}
}

// retriesOf returns the tokens of a group; the fleet is locked.
func (f *Fleet) retriesOf(group string) *budget {
	return findOrMake(f.retries, group, func() *budget {
		return &budget{f.retryBudgets.of(group).Depth * retriesAtStart}
	})
}

// takeRetry takes a retry at a group; the fleet is locked. Where there are so
// many hosts that none may save up a few retries, chance decides.
func (f *Fleet) takeRetry(group string) bool {
	b := f.retriesOf(group)
	if f.retryBudgets.of(group).Depth < drawBelow {
		return b.draw(f.random)
	}
	return b.take()
}

// earnRetry lets one request earn its part of the retries at a group; the fleet
// is locked.
func (f *Fleet) earnRetry(group string) {
	r := f.retryBudgets.of(group)
	f.retriesOf(group).fill(r.Ratio, r.Depth)
}
