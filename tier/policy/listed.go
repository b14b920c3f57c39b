package policy

// Constants of the latency of listed upstreams, of which one host sees few calls.
const (
	// listedWeight is how much a new latency counts in the smoothed one, 0 to 1.
	// Measured against 0.1: worth is level on quiet days (0.811 and 0.809), better in
	// trials with slow upstreams.
	listedWeight = 0.25
	// listedLeap is how many times the smoothed latency a new one counts for at most.
	// Not measured.
	listedLeap = 8
)

// listedKind is that of the upstreams that list themselves with the platform, which
// serve routed requests. Hosts of all halls call them, many of them seldom: an
// upstream is judged by its silence (stall), by the faults and the slowness that its
// hall reports (condition) and by its own reports, not by how its latency compares.
var listedKind = kind{
	smoothing: smoothing{weight: listedWeight, leap: listedLeap},
	// Left out, the slow calls that hedges end would make the pool's quantiles sink,
	// and hedges come ever earlier.
	poolsCancelled: true,
	learnsLimit:    true,
	movedIsGone:    true,
	lingers:        true,
	inHall:         true,
}
