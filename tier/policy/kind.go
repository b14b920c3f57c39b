package policy

// kind holds the differences between declared and listed upstreams. setShare selects the
// kind of an upstream; other code reads only its fields.
type kind struct {
	// smoothing sets how fast the latency follows new calls.
	smoothing smoothing
	// slowStart limits a new upstream to one call at a time until it has answered a few.
	slowStart bool
	// comparesLatency marks an upstream as an outlier, which gets probes, if its calls take
	// much longer than those of its pool. It is off for listed upstreams, since each call
	// beyond the first counts against the retry budget of their group.
	comparesLatency bool
	// poolsCancelled records cancelled calls in the pool, with the time until they were
	// cancelled.
	poolsCancelled bool
	// learnsLimit lowers the concurrency limit when new connections are reset.
	learnsLimit bool
	// movedIsReplaced removes an upstream for good once another one answers at its address.
	movedIsReplaced bool
	// lingers lets a call that is no longer needed continue, to show when an upstream
	// responds again.
	lingers bool
	// managedByHall is true if the hosts of the upstream's hall are responsible for it: they
	// report its condition to other halls, and one of them makes its calls while it is
	// cold.
	managedByHall bool
}

const (
	// declaredWeight is the weight of a new latency in the smoothed one, 0 to 1.
	declaredWeight = 0.1
	// declaredMaxRatio caps a new latency at a multiple of the smoothed one, so that a
	// single straggler does not make an upstream an outlier, but four do.
	declaredMaxRatio = 4
)

// declaredKind is the kind of the upstreams that the configuration document declares. They
// serve the requests of classes. All hosts of their hall call them directly and often, so
// each host compares the replicas of a service by its own calls.
var declaredKind = kind{
	smoothing:       smoothing{weight: declaredWeight, maxRatio: declaredMaxRatio},
	slowStart:       true,
	comparesLatency: true,
}

// Smoothing for listed upstreams, which get few calls from any one host.
const (
	// listedWeight is the weight of a new latency in the smoothed one, 0 to 1.
	listedWeight = 0.25
	// listedMaxRatio caps a new latency at a multiple of the smoothed one.
	listedMaxRatio = 8
)

// listedKind is the kind of the upstreams that register themselves with the platform. They
// serve routed requests. Hosts of all halls call them, many of them rarely. They are
// therefore judged by unanswered calls (stall), by the faults and the slowness that their
// hall reports (condition) and by their own reports, not by comparing latencies.
var listedKind = kind{
	smoothing: smoothing{weight: listedWeight, maxRatio: listedMaxRatio},
	// Leaving out the slow calls that hedges cancel would lower the quantiles of the pool
	// and trigger hedges ever earlier.
	poolsCancelled:  true,
	learnsLimit:     true,
	movedIsReplaced: true,
	lingers:         true,
	managedByHall:   true,
}
