package policy

// Constants of the latency of declared upstreams.
const (
	// declaredWeight is how much a new latency counts in the smoothed one, 0 to 1.
	// Measured: with a fifth one straggler made an upstream slow for seconds (99th
	// percentile 196 ms in one run at 8 slots).
	declaredWeight = 0.1
	// declaredLeap is how many times the smoothed latency a new one counts for at
	// most, so that one straggler does not make an upstream an outlier, but four do.
	// Measured with outlierFrom.
	declaredLeap = 4
)

// declaredKind is that of the upstreams that the document declares, which serve the
// requests of classes. All hosts of their hall call them directly and often: each
// compares the replicas of a service by its own calls.
var declaredKind = kind{
	smoothing:       smoothing{weight: declaredWeight, leap: declaredLeap},
	slowStart:       true,
	comparesLatency: true,
}
