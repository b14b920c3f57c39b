package pass

import (
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// networkReserve is the time reserved for the way of the response to the caller, besides
// the time that this host takes to produce and write it.
const networkReserve = 8 * time.Millisecond

// overhead estimates the time that this host adds to the calls of a request. Without it,
// the responses of a slow host are late when the calls use up the whole objective. It is
// safe for concurrent use.
type overhead struct {
	// forwarding is the time of a forwarded request outside its coordinator.
	forwarding policy.Margin
	// response is the time from the end of the run until the response is written.
	response policy.Margin
}

// beyondReserve returns by how much the time to produce and write a response exceeds
// config.ResponseReserve, which every route already keeps back.
func (o *overhead) beyondReserve() time.Duration {
	return max(o.response.Estimate()+networkReserve-time.Duration(config.ResponseReserve), 0)
}
