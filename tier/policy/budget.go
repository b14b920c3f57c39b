package policy

const (
	// budgetStart is the number of tokens that a class starts with on a host.
	budgetStart = 4.0
	// budgetDepth is the number of tokens that may be saved up.
	budgetDepth = 64.0
	// budgetRequests is the number of requests of the current size whose tokens may be
	// saved up, if that is more than budgetDepth.
	budgetRequests = 2
)

// budget is a token bucket that is refilled by regular calls, not by hedges and retries.
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
