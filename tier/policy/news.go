package policy

import (
	"math"
	"time"
)

// Constants of what hosts tell each other of their upstreams.
const (
	// tellSlow and tellFaults are how much slower than like ones, and how often
	// without an answer of use, an upstream must be to be told of. Told from 1.6
	// and 0.15 on, two in five bytes between halls were of this.
	tellSlow   = 3
	tellFaults = 0.25
	// tellFresh is how old what is known of an upstream may be to be told: one
	// that all have left is asked again once it is no longer told of.
	tellFresh = 3 * time.Second
	// newsLife is how long what was told is believed: hosts hear from another
	// hall with each request that it makes calls for.
	newsLife = 3 * time.Second
)

// Condition is what a host tells of an upstream of its own hall that does worse
// than others.
type Condition struct {
	Upstream string
	// Slowness is how many times as long its calls take as like ones.
	Slowness int `json:",omitempty"`
	// FaultPercent is the share of its calls that bring no answer of use.
	FaultPercent int `json:",omitempty"`
}

// hallNews is what was last told of the upstreams of one hall.
type hallNews struct {
	// told holds those that do worse than others; the rest do well.
	told map[string]Condition
	at   time.Duration
}

// Conditions lists the upstreams of this host's hall that do worse than others.
func (f *Fleet) Conditions(now time.Duration) []Condition {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Condition
	for _, u := range f.upstreams {
		if !u.listed || !u.near || u.leaving || u.samples == 0 || now-u.sampledAt > tellFresh {
			continue
		}
		if u.slowness > tellSlow || u.faults > tellFaults {
			out = append(out, Condition{
				Upstream: u.Name, Slowness: int(math.Round(u.slowness)), FaultPercent: int(math.Round(100 * u.faults)),
			})
		}
	}
	return out
}

// TakeConditions takes in what a host told of the upstreams of its hall: those
// that it does not tell of do well.
func (f *Fleet) TakeConditions(now time.Duration, hall string, told []Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.hallNews(hall)
	n.told, n.at = make(map[string]Condition, len(told)), now
	for _, c := range told {
		n.told[c.Upstream] = c
	}
}

// hallNews finds what is told of a hall; the fleet is locked.
func (f *Fleet) hallNews(hall string) *hallNews {
	n := f.news[hall]
	if n == nil {
		n = &hallNews{at: never}
		f.news[hall] = n
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
	if u.news == nil || now-u.news.at > newsLife {
		return slowness, faults
	}
	c, worse := u.news.told[u.Name]
	if !worse {
		return min(slowness, tellSlow), min(faults, tellFaults)
	}
	return max(slowness, float64(c.Slowness)), max(faults, float64(c.FaultPercent)/100)
}
