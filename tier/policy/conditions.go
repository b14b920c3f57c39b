package policy

import (
	"math"
	"time"
)

// Conditions lists the upstreams of this host's hall that do worse than others.
func (f *Fleet) Conditions(now time.Duration) []Condition {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Condition
	for _, u := range f.upstreams {
		c := &u.condition
		if !u.kind.inHall || !u.near || u.leaving || u.latency.samples == 0 || !c.worthReporting(now) {
			continue
		}
		out = append(out, Condition{
			Upstream: u.Name, Slowness: int(math.Round(c.slowness)), FaultPercent: int(math.Round(100 * c.faults)),
		})
	}
	return out
}

// hallConditions returns the report about a hall, which stays the same; the fleet is
// locked.
func (f *Fleet) hallConditions(hall string) *hallConditions {
	return findOrMake(f.conditions, hall, func() *hallConditions { return &hallConditions{at: never} })
}

// SetConditions stores a host's report about the upstreams of its hall: those
// that it does not mention do well.
func (f *Fleet) SetConditions(now time.Duration, hall string, reported []Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hallConditions(hall)
	h.reported, h.at = make(map[string]Condition, len(reported)), now
	for _, c := range reported {
		h.reported[c.Upstream] = c
	}
}
