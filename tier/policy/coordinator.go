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
	// linkPerCore is the link bandwidth, in Mbit/s, that carries as many upstream calls per
	// second as one core handles, at 1.4 KB on the wire and 50 us of CPU time per call.
	linkPerCore = 220
	// coordinatorAdvantage is the factor by which a coordinator's capacity must exceed that
	// of another host. Between similar hosts, forwarding a request costs two messages and
	// gains nothing.
	coordinatorAdvantage = 2
	// coordinatorSlack is the share of the retry slack, 0 to 1, that coordinators divide
	// among themselves if there are weaker hosts. The rest is for those hosts, which make
	// their own calls only when no coordinator answers.
	coordinatorSlack = 0.8
)

// Capacity returns how much work a host can handle, in thousandths of a core with an
// unlimited link. Core and link handle each call one after the other, so their times add
// up. The link is in Mbit/s; 0 means unlimited.
func Capacity(cores, linkMbits float64) int {
	seconds := 1 / cores
	if linkMbits > 0 {
		seconds += linkPerCore / linkMbits
	}
	return max(int(math.Round(coreCapacity/seconds)), 1)
}

// Candidate is an entry host that may execute a request for another host.
type Candidate struct {
	Host string
	Hall string
	// Capacity is the result of the function Capacity; always positive.
	Capacity int
	// RoundTrip is the round-trip time to the host's hall; 0 if unknown.
	RoundTrip time.Duration
	// Pending counts the requests that were sent to the host and are not acknowledged yet.
	Pending int
}

// IsCoordinator reports whether a host with the given capacity executes requests itself,
// given the capacity of the strongest host.
func IsCoordinator(capacity, strongest int) bool { return strongest < coordinatorAdvantage*capacity }

// Coordinators returns the hosts that may execute a request on behalf of self, best first.
// It returns none if no host is strong enough to make forwarding worthwhile. Hosts in the
// same hall come first, then those in the nearest hall. Requests spread over otherwise
// equal hosts, so that each coordinator sees enough calls to learn how upstreams perform.
// If each of hundreds of hosts made its own calls, almost every call would be the host's
// first to that upstream.
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

// greatestCapacity returns the largest capacity among hosts and other.
func greatestCapacity(hosts []Candidate, other int) int {
	for _, c := range hosts {
		other = max(other, c.Capacity)
	}
	return other
}

func strongHosts(hosts []Candidate, strongest int) []Candidate {
	return slices.DeleteFunc(slices.Clone(hosts), func(c Candidate) bool { return !IsCoordinator(c.Capacity, strongest) })
}

// distance returns the round-trip time to a candidate. Hosts in the same hall are nearest,
// hosts with an unknown round-trip time are farthest.
func distance(self, c *Candidate) time.Duration {
	switch {
	case c.Hall == self.Hall:
		return 0
	case c.RoundTrip == 0:
		return math.MaxInt64
	}
	return c.RoundTrip
}

// RendezvousHash ranks hosts for a key by rendezvous hashing: the lowest hash comes first,
// keys spread over the hosts, and every host computes the same order for a key.
func RendezvousHash(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// RetryBudgetDivisor returns the number by which one host divides the retry slack. Similar
// hosts divide it equally. Otherwise the coordinators divide coordinatorSlack of it and the
// remaining hosts the rest. The result is always positive.
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
