package policy

import "time"

// draw takes a token. With less than one left it takes what is left, and succeeds with
// that probability: many hosts that earn little each then take as many tokens together
// as they earn, on average.
func (b *budget) takeProbabilistic(r Random) bool {
	if b.take() {
		return true
	}
	p := b.tokens
	b.tokens = 0
	return r.Float64() < p
}

const (
	// retryBudgetShare is the share of the allowed retries that is used at most, since
	// hosts count in windows of their own.
	retryBudgetShare = 0.95
	// drawBelow is the depth, in retries, below which retries are drawn by chance: there
	// are many hosts then, and chance evens out.
	probabilisticDepth = 3.0
	// retriesAtStart is the share of the depth that a host begins with, and of the reserve
	// that it has for the first window: all hosts may be started again at once, and what
	// they spent before still counts.
	initialRetryShare = 0.25
)

// RetryBudget bounds the calls beyond the first, hedges and retries, that this
// host makes at a group.
type RetryBudget struct {
	// Ratio is how many retries one request earns.
	Ratio float64
	// Depth is how many earned retries may be saved up, and how many calls beyond the
	// first a host may make within Window, earned or not, before it needs earned ones.
	Depth float64
	// Window is the time within which a group counts calls beyond the first; 0 for a
	// host that makes none beyond what it has saved up.
	Window time.Duration
}

// ShareRetryBudget returns one host's part of what a group allows in each window:
// a ratio of its requests, and a slack besides that so many hosts divide.
func ShareRetryBudget(ratio, slack, hosts float64) RetryBudget {
	return RetryBudget{Ratio: ratio * retryBudgetShare, Depth: slack * retryBudgetShare / max(hosts, 1)}
}

// WithWindow returns the budget with the window in which groups count.
func (b RetryBudget) WithWindow(window time.Duration) RetryBudget {
	b.Window = window
	return b
}

// RetryBudgets are this host's budgets for the groups of routed requests.
type RetryBudgets struct {
	// Shards is the budget of each group that is a shard, Single that of each other.
	// Coordinators make most calls to shards, and every host its own calls to others.
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
		b.saved.tokens = min(b.saved.tokens, r.of(group).Depth)
	}
}

// groupRetries is what this host may still spend on hedges and retries at a group.
//
// Earned retries are saved up, and pay hedges first: a host whose requests at a group are
// frequent lives by them. Where they are rare, as in a fleet of hundreds of hosts, a
// request earns nearly nothing, while the slack that the group allows in each window is
// most of what it allows. That is the reserve: it pays the retries of calls that failed,
// since without these a part is missing, and never hedges.
type groupRetries struct {
	saved budget
	// spent counts what was spent in the last window.
	spent windowedSum
}

// takeHedge takes a hedge at a group; the fleet is locked. Where there are so many hosts
// that none may save up a few retries, chance decides.
func (f *Fleet) takeHedge(now time.Duration, group string) bool {
	return f.takeSaved(now, group, f.retriesOf(group))
}

// takeRetry takes a retry at a group, from the reserve if nothing is saved up; the fleet
// is locked.
func (f *Fleet) takeRetry(now time.Duration, group string) bool {
	b := f.retriesOf(group)
	return f.takeSaved(now, group, b) || f.takeReserve(now, group, b)
}

func (f *Fleet) takeSaved(now time.Duration, group string, b *groupRetries) bool {
	budget := f.retryBudgets.of(group)
	had := b.saved.tokens
	taken := false
	if budget.Depth < probabilisticDepth {
		taken = b.saved.takeProbabilistic(f.random)
	} else {
		taken = b.saved.take()
	}
	b.spent.add(now, budget.Window, had-b.saved.tokens)
	return taken
}

// takeReserve takes a retry if all that this host has spent within the window, with it
// and with what is saved up, is no more than its part of the slack. What its requests
// earn comes on top of that, once for each request: hosts that went by the number of
// their requests in a window would each spend at its peak, which all do not have at once.
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

// retriesOf returns what may be spent at a group; the fleet is locked.
func (f *Fleet) retriesOf(group string) *groupRetries {
	return findOrMake(f.retries, group, func() *groupRetries {
		return &groupRetries{saved: budget{f.retryBudgets.of(group).Depth * initialRetryShare}}
	})
}

// earnRetry lets one request earn its part of the retries at a group; the fleet
// is locked.
func (f *Fleet) earnRetry(group string) {
	r := f.retryBudgets.of(group)
	f.retriesOf(group).saved.fill(r.Ratio, r.Depth)
}
