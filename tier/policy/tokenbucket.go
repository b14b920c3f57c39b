package policy

// tokenBucket holds the tokens that pay for hedges and retries. classBudget and groupRetries
// decide how it is filled.
type tokenBucket struct {
	tokens float64
}

// fill adds tokens up to the depth.
func (b *tokenBucket) fill(tokens, depth float64) { b.tokens = min(b.tokens+tokens, depth) }

// take takes a token if there is a whole one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeProbabilistic takes a token. If less than one token is left, it takes the rest and
// succeeds with the corresponding probability, so that many hosts that each earn little can
// still spend what they earn in total.
func (b *tokenBucket) takeProbabilistic(r Random) bool {
	if b.take() {
		return true
	}
	p := b.tokens
	b.tokens = 0
	return r.Float64() < p
}
