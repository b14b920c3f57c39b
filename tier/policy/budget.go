package policy

// budget is a token bucket that is filled by needed calls.
type budget struct {
	tokens float64
}

func (b *budget) earn(calls int, ratio float64) {
	b.fill(ratio*float64(calls), max(budgetDepth, 2*ratio*float64(calls)))
}

// fill adds tokens up to a depth.
func (b *budget) fill(tokens, depth float64) { b.tokens = min(b.tokens+tokens, depth) }

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// draw takes a token, or with less than one in the budget, one with that
// probability, and then all. So many hosts that earn little each take as many
// tokens together as they earn, up to the chance of the draw.
func (b *budget) draw(r Random) bool {
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	p := b.tokens
	b.tokens = 0
	return r.Float64() < p
}
