package policy

// classState is what the requests of a class share in one host.
type classState struct {
	// hedges and retries pay for the hedges and retries of its requests.
	hedges, retries budget
	// cost is the smoothed number of parts of a request; 0 before the first.
	cost float64
	// worth is the worth of a request as last configured.
	worth float64
	// inFlight counts the requests that were admitted and have no answer.
	inFlight int
}

// class finds or makes the state of a class; the fleet is locked.
func (f *Fleet) class(name string) *classState {
	return findOrMake(f.classes, name, func() *classState {
		return &classState{hedges: budget{budgetStart}, retries: budget{budgetStart}}
	})
}

// density is the worth of a request for each upstream call that it takes.
func (c *classState) worthPerCall() float64 { return c.worth / max(c.cost, 1) }

func (f *Fleet) maxWorthPerCall() float64 {
	top := 0.0
	for _, c := range f.classes {
		top = max(top, c.worthPerCall())
	}
	return top
}
