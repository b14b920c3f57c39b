package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// coordinatorAdvantage is how many times the capacity of another host a
// coordinator has. A gather of 180 calls takes a host of 0.19 core with a link of
// 22 Mbit/s some 140 ms of its own, one of 0.8 core with 200 Mbit/s 20 ms;
// between hosts alike a forwarded request costs two messages and gains nothing.
const coordinatorAdvantage = 2

// coordinatorSlack is the part of the slack of retries that coordinators share
// where there are weaker hosts. The rest is for those hosts, which make calls by
// themselves only where no coordinator answers.
const coordinatorSlack = 0.8

// Candidate is an entry host that may carry a request out.
type Candidate struct {
	Host string
	Hall string
	// Capacity is as of Capacity; above 0.
	Capacity int
	// RoundTrip is the time of a message to its hall and back; 0 if not known.
	RoundTrip time.Duration
	// Unheard counts the requests that it was sent and gave no sign of yet.
	Unheard int
}

// IsCoordinator reports whether a host of some capacity carries requests out
// itself, where the strongest host has another.
func IsCoordinator(capacity, strongest int) bool { return strongest < coordinatorAdvantage*capacity }

// Coordinators lists the hosts that may carry a request out on behalf of another,
// the best first; none if none does that much better than the host itself. Those
// in the same hall go first, then those of the hall that is nearest. Hosts spread
// over those alike: each of these then sees its part of the calls and learns how
// upstreams do, where a host alone in hundreds meets nearly all of them for the
// first time.
func Coordinators(self Candidate, all []Candidate) []Candidate {
	strongest := self.Capacity
	for _, c := range all {
		strongest = max(strongest, c.Capacity)
	}
	if IsCoordinator(self.Capacity, strongest) {
		return nil
	}
	fit := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return !IsCoordinator(c.Capacity, strongest) })
	slices.SortFunc(fit, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(distance(&self, &a), distance(&self, &b)),
			cmp.Compare(a.Unheard, b.Unheard),
			cmp.Compare(affinity(self.Host, a.Host), affinity(self.Host, b.Host)),
		)
	})
	return fit
}

// distance is the round trip to a candidate; hosts of one hall are nearest, and
// what is not known is farthest.
func distance(self, c *Candidate) time.Duration {
	switch {
	case c.Hall == self.Hall:
		return 0
	case c.RoundTrip == 0:
		return 1<<63 - 1
	}
	return c.RoundTrip
}

// affinity spreads hosts over coordinators, each always over the same.
func affinity(host, coordinator string) uint64 {
	return xxhash.Sum64String(host + "\x00" + coordinator)
}

// RetryShares returns among how many hosts the slack of retries is divided, as
// one host is to reckon: all hosts where they are alike; else the coordinators
// divide most of it, and the others the rest.
func RetryShares(own int, capacities []int) float64 {
	strongest := own
	for _, c := range capacities {
		strongest = max(strongest, c)
	}
	coordinators, others := 0, 0
	for _, c := range append(capacities, own) {
		if IsCoordinator(c, strongest) {
			coordinators++
		} else {
			others++
		}
	}
	switch {
	case others == 0:
		return float64(coordinators)
	case IsCoordinator(own, strongest):
		return float64(coordinators) / coordinatorSlack
	default:
		return float64(others) / (1 - coordinatorSlack)
	}
}
