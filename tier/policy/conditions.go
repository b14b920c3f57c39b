package policy

import (
	"math"
	"time"
)

// Conditions returns the upstreams of this host's hall that perform worse than others.
func (f *Fleet) Conditions(now time.Duration) []Condition {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Condition
	for _, u := range f.upstreams {
		c := &u.condition
		if !u.kind.managedByHall || !u.near || u.leaving || u.latency.samples == 0 || !c.worthReporting(now) {
			continue
		}
		out = append(out, Condition{
			Upstream: u.Name, Slowness: int(math.Round(c.slowness)), FaultPercent: int(math.Round(100 * c.faults)),
		})
	}
	return out
}

// hallConditions returns the report of a hall and creates it on first use. Upstreams keep
// the pointer. The fleet must be locked.
func (f *Fleet) hallConditions(hall string) *hallConditions {
	return getOrCreate(f.conditions, hall, func() *hallConditions { return &hallConditions{reportedAt: never} })
}

// SetConditions stores a host's report about the upstreams of its hall. Upstreams that it
// does not mention perform well.
func (f *Fleet) SetConditions(now time.Duration, hall string, reported []Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hallConditions(hall)
	h.reported, h.reportedAt = make(map[string]Condition, len(reported)), now
	for _, c := range reported {
		h.reported[c.Upstream] = c
	}
}
