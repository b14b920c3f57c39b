package policy

// kind is what the two kinds of upstream do differently. Apply chooses one when an
// upstream is registered, and nothing else asks which it is: declared.go shows all
// that is particular to the upstreams that the document declares, listed.go all that
// is to those that list themselves with the platform.
type kind struct {
	// smoothing says how fast the latency follows new calls.
	smoothing smoothing
	// slowStart gives a new upstream one call at a time until it has answered some.
	slowStart bool
	// comparesLatency marks an upstream as an outlier whose calls take much longer than
	// those of its pool.
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

// kindOf returns the kind of an upstream.
func kindOf(listed bool) *kind {
	if listed {
		return &listedKind
	}
	return &declaredKind
}
