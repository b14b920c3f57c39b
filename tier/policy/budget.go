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

// earn adds what calls that were needed earn.
func (b *budget) earn(calls int, ratio float64) {
	b.fill(ratio*float64(calls), max(budgetDepth, budgetRequests*ratio*float64(calls)))
}

// fill adds tokens up to a depth.
func (b *budget) fill(tokens, depth float64) { b.tokens = min(b.tokens+tokens, depth) }

// take takes a token, and reports whether there was one.
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
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	p := b.tokens
	b.tokens = 0
	return r.Float64() < p
}
