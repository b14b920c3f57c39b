package policy

import (
	"math"
	"time"
)

// Constants of the reports that hosts exchange about their upstreams.
const (
	// reportSlow and reportFaults are how many times slower than its like, and how
	// large a share of calls without a usable answer, an upstream must be to be
	// reported. From 1.6 and 0.15 on, reports were two in five bytes between halls
	// (60 hosts in simulated time).
	reportSlow   = 3
	reportFaults = 0.25
	// reportFresh is the greatest age of the last call to an upstream that is
	// reported: one that all hosts avoid is tried again once reports end.
	reportFresh = 3 * time.Second
	// conditionLife is how long a report is believed: one comes with each batch
	// that the other hall answers.
	conditionLife = 3 * time.Second
)

// Condition is a host's report of an upstream of its own hall that does worse
// than others.
type Condition struct {
	Upstream string
	// Slowness is how many times as long its calls take as like ones.
	Slowness int `json:",omitempty"`
	// FaultPercent is the share of its calls that bring no answer of use.
	FaultPercent int `json:",omitempty"`
}

// hallConditions is the last report about the upstreams of one hall.
type hallConditions struct {
	// reported holds the upstreams that do worse than others; the rest do well.
	reported map[string]Condition
	at       time.Duration
}

// Conditions lists the upstreams of this host's hall that do worse than others.
func (f *Fleet) Conditions(now time.Duration) []Condition {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Condition
	for _, u := range f.upstreams {
		if !u.listed || !u.near || u.leaving || u.samples == 0 || now-u.sampledAt > reportFresh {
			continue
		}
		if u.slowness > reportSlow || u.faults > reportFaults {
			out = append(out, Condition{
				Upstream: u.Name, Slowness: int(math.Round(u.slowness)), FaultPercent: int(math.Round(100 * u.faults)),
			})
		}
	}
	return out
}

// TakeConditions stores a host's report about the upstreams of its hall: those
// that it does not mention do well.
func (f *Fleet) TakeConditions(now time.Duration, hall string, told []Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.conditionsOf(hall)
	n.reported, n.at = make(map[string]Condition, len(told)), now
	for _, c := range told {
		n.reported[c.Upstream] = c
	}
}

// conditionsOf returns the report about a hall; the fleet is locked.
func (f *Fleet) conditionsOf(hall string) *hallConditions {
	n := f.conditions[hall]
	if n == nil {
		n = &hallConditions{at: never}
		f.conditions[hall] = n
	}
	return n
}

// condition is how slow and how faulty a listed upstream is expected to be, by
// what this host saw itself and what others told. What it saw counts for less
// as it gets old.
func (u *Upstream) condition(now time.Duration) (slowness, faults float64) {
	fresh := staleness(now - u.sampledAt)
	slowness, faults = fresh, fresh*u.faults
	if u.slowness > 0 {
		slowness *= u.slowness
	}
	if u.reported == nil || now-u.reported.at > conditionLife {
		return slowness, faults
	}
	c, worse := u.reported.reported[u.Name]
	if !worse {
		return min(slowness, reportSlow), min(faults, reportFaults)
	}
	return max(slowness, float64(c.Slowness)), max(faults, float64(c.FaultPercent)/100)
}
