package pass

import (
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// linkReserve is how long an answer may be on its way to the caller, besides what this
// host takes to make and write it.
const networkReserve = 8 * time.Millisecond

// overhead is the time that this host observes itself to add to the calls of a request.
// Without it, the answers of a weak host come late by that time when the objective is
// nearly spent. It is safe for concurrent use.
type overhead struct {
	// handOver is the time of a request beyond its coordinator's part.
	forwarding policy.Margin
	// answer is the time from the decision on an answer until it is written.
	response policy.Margin
}

// beyondReserve is how much longer this host takes to make and write an answer than
// the time that every route keeps back, config.ResponseReserve.
func (o *overhead) beyondReserve() time.Duration {
	return max(o.response.Estimate()+networkReserve-time.Duration(config.ResponseReserve), 0)
}
