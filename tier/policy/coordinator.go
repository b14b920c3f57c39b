package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coreCapacity is the capacity of one core with an unlimited link.
	coreCapacity = 1000
	// linkPerCore is the link, in Mbit/s, that carries as many upstream calls a second
	// as one core works on: a call has 1.4 KB on the wire and takes 50 us.
	linkPerCore = 220
	// coordinatorAdvantage is how many times the capacity of another host a coordinator
	// has. Between hosts alike a forwarded request costs two messages and gains nothing.
	coordinatorAdvantage = 2
	// coordinatorSlack is the share of the slack of retries that coordinators divide where
	// there are weaker hosts, 0 to 1. The rest is for those hosts, which make calls by
	// themselves only where no coordinator answers.
	coordinatorSlack = 0.8
)

// Capacity is how much a host can carry, in thousandths of what a core with an
// unlimited link does: its core and its link work one after the other for each
// call, so their times add up. The link is in Mbit/s; 0 is unlimited.
func Capacity(cores, linkMbits float64) int {
	seconds := 1 / cores
	if linkMbits > 0 {
		seconds += linkPerCore / linkMbits
	}
	return max(int(math.Round(coreCapacity/seconds)), 1)
}

// Candidate is an entry host that may carry a request out.
type Candidate struct {
	Host string
	Hall string
	// Capacity is as of Capacity; above 0.
	Capacity int
	// RoundTrip is the time of a message to its hall and back; 0 if not known.
	RoundTrip time.Duration
	// Pending counts the requests that it was sent and has not yet acknowledged.
	Pending int
}

// IsCoordinator reports whether a host of some capacity carries requests out
// itself, where the strongest host has another.
func IsCoordinator(capacity, strongest int) bool { return strongest < coordinatorAdvantage*capacity }

// Coordinators lists the hosts that may carry a request out on behalf of another,
// the best first; none if none does that much better than the host itself. Those
// in the same hall go first, then those of the hall that is nearest. Hosts spread
// over those alike: each of these then sees its part of the calls and learns how
// upstreams do, where a host alone in hundreds calls nearly all of them for the
// first time.
func Coordinators(self Candidate, all []Candidate) []Candidate {
	strongest := greatestCapacity(all, self.Capacity)
	if IsCoordinator(self.Capacity, strongest) {
		return nil
	}
	out := strongHosts(all, strongest)
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(distance(&self, &a), distance(&self, &b)),
			cmp.Compare(a.Pending, b.Pending),
			cmp.Compare(RendezvousHash(self.Host, a.Host), RendezvousHash(self.Host, b.Host)),
		)
	})
	return out
}

// greatestCapacity is the greatest of some hosts, and of one that is not among them.
func greatestCapacity(hosts []Candidate, other int) int {
	for _, c := range hosts {
		other = max(other, c.Capacity)
	}
	return other
}

func strongHosts(hosts []Candidate, strongest int) []Candidate {
	return slices.DeleteFunc(slices.Clone(hosts), func(c Candidate) bool { return !IsCoordinator(c.Capacity, strongest) })
}

// distance is the round trip to a candidate; hosts of one hall are nearest, and
// those whose round trip is not known are farthest.
func distance(self, c *Candidate) time.Duration {
	switch {
	case c.Hall == self.Hall:
		return 0
	case c.RoundTrip == 0:
		return math.MaxInt64
	}
	return c.RoundTrip
}

// RendezvousHash ranks hosts for a key (rendezvous hashing): keys spread over hosts, and
// each key has the same order of hosts everywhere, the least hash first.
func RendezvousHash(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// RetryBudgetDivisor returns among how many hosts the slack of retries is divided, as
// one host is to count them: all hosts where they are alike; else the coordinators
// divide coordinatorSlack of it, and the others the rest. It is above 0.
func RetryBudgetDivisor(own int, capacities []int) float64 {
	all := append(capacities, own)
	strongest, coordinators := slices.Max(all), 0
	for _, c := range all {
		if IsCoordinator(c, strongest) {
			coordinators++
		}
	}
	others := len(all) - coordinators
	switch {
	case others == 0:
		return float64(coordinators)
	case IsCoordinator(own, strongest):
		return float64(coordinators) / coordinatorSlack
	default:
		return float64(others) / (1 - coordinatorSlack)
	}
}
