package policy

import "time"

// routeTimes are the longest times that requests of a route lately had when they came to a
// gate. Those of a request that comes straight from its first attempt are the longest, so that
// a shorter time shows how much has passed since.
type routeTimes struct {
	// objective is the time for the objective, counted from the first attempt; left is the
	// time until the deadline.
	objective, left recentLongest
}

// recentInterval is the length of the intervals of which the current and the previous one
// count, so that a time that became shorter is forgotten.
const recentInterval = 10 * time.Second

// recentLongest is the longest time in the current and in the previous interval. The zero value
// is ready to use.
type recentLongest struct {
	startedAt         time.Duration
	current, previous time.Duration
}

func (r *recentLongest) observe(now, value time.Duration) {
	if now-r.startedAt >= recentInterval {
		r.startedAt, r.previous, r.current = now, r.current, 0
	}
	r.current = max(r.current, value)
}

// value returns the longest time, or 0 if none is known.
func (r *recentLongest) value() time.Duration { return max(r.current, r.previous) }

// times returns the longest times of a route.
func (g *Gate) times(route string) routeTimes {
	if t := g.longest[route]; t != nil {
		return *t
	}
	return routeTimes{}
}

// noteTimes records how long a request of a route may take.
func (g *Gate) noteTimes(now time.Duration, d *Demand) {
	t := g.longest[d.Route]
	if t == nil {
		if len(g.longest) >= maxGateRoutes {
			clear(g.longest)
		}
		t = &routeTimes{}
		g.longest[d.Route] = t
	}
	t.objective.observe(now, d.objective(now))
	t.left.observe(now, d.DeadlineAt-now)
}
