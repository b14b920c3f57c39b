package policy

// kind is what the two kinds of upstream do differently. Apply chooses one when an
// upstream is registered, and nothing else asks which it is.
type kind struct {
	// smoothing says how fast the latency follows new calls.
	smoothing smoothing
	// slowStart gives a new upstream one call at a time until it has answered some.
	slowStart bool
	// comparesLatency marks an upstream as an outlier whose calls take much longer than
	// those of its pool, and has it probed. Listed ones are not: each call beyond the
	// first counts against what their group allows.
	comparesLatency bool
	// poolsCancelled counts calls that were cancelled in the pool, with the time that
	// they took until then.
	poolsCancelled bool
	// learnsLimit lowers the number of calls at a time when new connections are reset.
	learnsLimit bool
	// movedIsGone takes an upstream out for good once another answers at its address.
	movedIsGone bool
	// lingers lets a call whose answer is not wanted go on, to show when an upstream
	// answers again.
	lingers bool
	// inHall is true if the upstream belongs to the hosts of its hall: they report its
	// condition to other halls, and one of them makes its calls while it is cold.
	inHall bool
}

const (
	// declaredWeight is how much a new latency counts in the smoothed one, 0 to 1.
	declaredWeight = 0.1
	// declaredLeap is how many times the smoothed latency a new one counts for at most, so
	// that one straggler does not make an upstream an outlier, but four do.
	declaredMaxRatio = 4
)

// declaredKind is that of the upstreams that the document declares, which serve the
// requests of classes. All hosts of their hall call them directly and often: each
// compares the replicas of a service by its own calls.
var declaredKind = kind{
	smoothing:       smoothing{weight: declaredWeight, maxRatio: declaredMaxRatio},
	slowStart:       true,
	comparesLatency: true,
}

// Constants of the latency of listed upstreams, of which one host sees few calls.
const (
	// listedWeight is how much a new latency counts in the smoothed one, 0 to 1.
	listedWeight = 0.25
	// listedLeap is how many times the smoothed latency a new one counts for at most.
	listedMaxRatio = 8
)

// listedKind is that of the upstreams that list themselves with the platform, which
// serve routed requests. Hosts of all halls call them, many of them seldom: an
// upstream is judged by its silence (stall), by the faults and the slowness that its
// hall reports (condition) and by its own reports, not by how its latency compares.
var listedKind = kind{
	smoothing: smoothing{weight: listedWeight, maxRatio: listedMaxRatio},
	// Left out, the slow calls that hedges end would make the pool's quantiles sink,
	// and hedges come ever earlier.
	poolsCancelled: true,
	learnsLimit:    true,
	movedIsGone:    true,
	lingers:        true,
	inHall:         true,
}
