package replay

import (
	"fmt"

	"loomgap/tier/policy"
)

// host is one entry host.
type host struct {
	world *world
	index int
	fleet *policy.Fleet
	// pool has the latencies of requests of a class; nil at a site of routed ones.
	pool *policy.Pool
}

func upstreamName(i int) string { return fmt.Sprintf("U%d", i) }

func newHost(w *world, index int) *host {
	h := &host{world: w, index: index, fleet: policy.NewFleet(policy.FleetConfig{Random: w.random})}
	w.site.join(h)
	return h
}
