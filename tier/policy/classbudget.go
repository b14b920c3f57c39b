package policy

const (
	// classBudgetStart is the number of tokens that a class starts with on a host.
	classBudgetStart = 4.0
	// classBudgetDepth is the number of tokens that may be saved up.
	classBudgetDepth = 64.0
	// classBudgetRequests is the number of requests of the current size whose tokens may be
	// saved up, if that is more than classBudgetDepth.
	classBudgetRequests = 2
)

// classBudget limits the hedges, or the retries, of a class of requests on one host. Each
// regular call earns a part of one. It is unrelated to RetryBudget, which limits the hedges
// and retries of routed requests by the group that they are sent to.
type classBudget struct {
	tokenBucket
}

func newClassBudget() classBudget { return classBudget{tokenBucket{classBudgetStart}} }

func (b *classBudget) earn(calls int, ratio float64) {
	b.fill(ratio*float64(calls), max(classBudgetDepth, classBudgetRequests*ratio*float64(calls)))
}
