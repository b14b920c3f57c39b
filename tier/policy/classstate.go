package policy

// classState is the state that the requests of a class share on one host.
type classState struct {
	// hedges and retries are the budgets for the hedges and retries of the class.
	hedges, retries classBudget
	// cost is the smoothed number of parts of a request; 0 before the first request.
	cost float64
	// worth is the worth of a request as last configured.
	worth float64
	// inFlight counts the requests that were admitted and not answered yet.
	inFlight int
}

// class returns the state of a class and creates it on first use. The fleet must be locked.
func (f *Fleet) class(name string) *classState {
	return getOrCreate(f.classes, name, func() *classState {
		return &classState{hedges: newClassBudget(), retries: newClassBudget()}
	})
}

// worthPerCall returns the worth of a request per upstream call that it takes.
func (c *classState) worthPerCall() float64 { return c.worth / max(c.cost, 1) }

func (f *Fleet) maxWorthPerCall() float64 {
	highest := 0.0
	for _, c := range f.classes {
		highest = max(highest, c.worthPerCall())
	}
	return highest
}
