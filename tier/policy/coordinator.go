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
	// maxAskDivisor divides the objective to get the longest round trip to a coordinator whose
	// refusal still helps the caller: it comes after two round trips, one of them until the
	// coordinator is told to begin, within a tenth of the objective.
	maxAskDivisor = 20
	// unknownRoundTrip is the round trip to a hall that is not known, when it is added to an
	// expected wait. It exceeds the objective of most routes.
	unknownRoundTrip = time.Second
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
	// Room is what is known of the room of the host. Only CoordinatorChoice uses it.
	Room KnownRoom
}

// SelfExecutes reports whether a host executes requests itself, given all live hosts.
func SelfExecutes(self Candidate, all []Candidate) bool {
	return IsCoordinator(self.Capacity, greatestCapacity(all, self.Capacity))
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
	sortForSender(&self, out)
	return out
}

// sortForSender sorts coordinators by their distance from self, then by their pending requests,
// then by rendezvous hashing.
func sortForSender(self *Candidate, all []Candidate) {
	slices.SortFunc(all, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(distance(self, &a), distance(self, &b)),
			cmp.Compare(a.Pending, b.Pending),
			cmp.Compare(RendezvousHash(self.Host, a.Host), RendezvousHash(self.Host, b.Host)),
		)
	})
}

// CoordinatorChoice is the choice of the coordinator of one request by the room that the
// candidates have reported.
type CoordinatorChoice struct {
	Now  time.Duration
	Self Candidate
	// SelfExecutes is true if Self executes requests itself, even if no other host
	// responds. It is then the nearest candidate, and chooses only while it has no room.
	SelfExecutes bool
	// OwnWait is the expected wait at Self if it executes requests; 0 if it would refuse
	// the request.
	OwnWait time.Duration
	// All are the other candidates, with what is known of their room.
	All []Candidate
	// DeclinedBy is the hall of a coordinator that has declined the request for lack of
	// room; empty if none has.
	DeclinedBy string
	// Objective is the objective of the request. A request that is admitted takes about
	// that time, so it serves to convert waiting requests to an expected wait.
	Objective time.Duration
	// Random returns a random number from 0 to n-1.
	Random func(n int) int
}

// ChosenCoordinator is the result of a choice.
type ChosenCoordinator struct {
	Candidate
	// MayDecline is true if the candidate may decline the request for lack of room: it has
	// room as far as known, and another host is left to try. If no candidate is known to
	// have room, another one would not do better.
	MayDecline bool
}

// Choose returns the coordinator to use; false if there is no candidate besides Self. Without
// a report of shortage it is the first of Coordinators. If all candidates in the nearest hall
// have no room, or have had some only for a short time, it is the better of two random ones
// with room: a sender knows little of distant coordinators, and many senders that all chose
// the best one would overload it. The same applies after a decline, since the others of the
// hall have the same load. If none has room, two random ones are compared with the nearest, so
// that the waits in all halls become similar. Self is chosen if its own wait is shorter.
func (c *CoordinatorChoice) Choose() (chosen ChosenCoordinator, ok bool) {
	all := c.sorted()
	if len(all) == 0 {
		return ChosenCoordinator{}, false
	}
	if c.SelfExecutes {
		all = filterCandidates(all, c.worthAsking)
	}
	if len(all) == 0 {
		return ChosenCoordinator{Candidate: c.Self}, true
	}
	chosen = c.chooseOther(all)
	if c.SelfExecutes && c.OwnWait > 0 && c.cost(&chosen.Candidate) >= c.OwnWait {
		return ChosenCoordinator{Candidate: c.Self}, true
	}
	return chosen, true
}

// worthAsking reports whether a candidate has room or no queue as far as known, or a refusal by it
// would still help the caller. One that had no room is asked again by one request at a time, if
// possible by one that could also wait at Self.
func (c *CoordinatorChoice) worthAsking(o *Candidate) bool {
	switch {
	case distance(&c.Self, o) <= c.Objective/maxAskDivisor, c.Objective == 0:
		return true
	case o.Room.declinedLately(c.Now):
		return false
	case o.Room.reported(c.Now):
		return o.Room.report.Waiting == 0
	case o.Room.fullAt == 0:
		return true
	default:
		return o.Pending == 0 && !o.Room.fullLately(c.Now) && c.OwnWait > 0
	}
}

// chooseOther chooses among the sorted candidates, as Choose describes.
func (c *CoordinatorChoice) chooseOther(all []Candidate) ChosenCoordinator {
	hostsLeft := c.SelfExecutes || len(all) > 1
	if nearest, ok := c.nearestSettled(all); ok && c.DeclinedBy == "" {
		return ChosenCoordinator{Candidate: nearest, MayDecline: hostsLeft}
	}
	c.assumeRoom(all)
	withRoom := filterCandidates(all, func(o *Candidate) bool { return o.Room.hasRoom(c.Now, o.Pending) })
	if len(withRoom) > 0 {
		return ChosenCoordinator{Candidate: c.betterOfTwo(withRoom), MayDecline: hostsLeft}
	}
	return ChosenCoordinator{Candidate: c.bestOfFull(all)}
}

// assumeRoom gives the candidates without a report a typical one, if all other halls with a
// report are full: the shortage is then not one of the nearest hall. Otherwise a sender that
// knows little would look for room in vain, and be refused there, while the nearest hall admits
// the requests of senders that know more.
func (c *CoordinatorChoice) assumeRoom(all []Candidate) {
	typical := RoomReport{}
	for i := range all {
		o := &all[i]
		if !o.Room.reported(c.Now) || c.inNearestHall(all, o) {
			continue
		}
		if o.Room.hasRoom(c.Now, 0) {
			return
		}
		typical.add(&o.Room.report)
	}
	if typical.Places == 0 {
		return
	}
	for i := range all {
		if o := &all[i]; !o.Room.reported(c.Now) && !o.Room.declinedLately(c.Now) {
			o.Room.report, o.Room.reportedAt = typical, c.Now
		}
	}
}

// inNearestHall reports whether a candidate is in the hall of Self, in the one that declined the
// request or, if none has, in the nearest one.
func (c *CoordinatorChoice) inNearestHall(sorted []Candidate, o *Candidate) bool {
	if o.Hall == c.Self.Hall || o.Hall == c.DeclinedBy {
		return true
	}
	return c.DeclinedBy == "" && !c.SelfExecutes && o.Hall == sorted[0].Hall
}

// bestOfFull returns the coordinator to use if none has room, by the expected waits. Those that
// declined a request lately and have not reported their room go behind the others.
func (c *CoordinatorChoice) bestOfFull(all []Candidate) Candidate {
	others := filterCandidates(all, func(o *Candidate) bool { return !o.Room.declinedLately(c.Now) || o.Room.reported(c.Now) })
	if len(others) == 0 {
		others = all
	}
	nearest := others[0]
	if c.SelfExecutes {
		nearest = c.Self
	}
	return c.best(append([]Candidate{nearest}, c.twoRandom(others)...))
}

// sorted returns the candidates besides Self, the nearest first.
func (c *CoordinatorChoice) sorted() []Candidate {
	if !c.SelfExecutes {
		return Coordinators(c.Self, c.All)
	}
	out := strongHosts(c.All, greatestCapacity(c.All, c.Self.Capacity))
	sortForSender(&c.Self, out)
	return out
}

// nearestSettled returns the first of the candidates in the nearest hall that has room and has
// had some for a while. A host that executes requests itself prefers only those of its own hall.
func (c *CoordinatorChoice) nearestSettled(sorted []Candidate) (nearest Candidate, ok bool) {
	limit := time.Duration(0)
	if !c.SelfExecutes {
		limit = distance(&c.Self, &sorted[0])
	}
	i := slices.IndexFunc(sorted, func(o Candidate) bool {
		return distance(&c.Self, &o) <= limit && o.Room.settled(c.Now, o.Pending)
	})
	if i < 0 {
		return Candidate{}, false
	}
	return sorted[i], true
}

// betterOfTwo returns the better of two random candidates with room. If one of them has had room
// only for a short time, it is a random one: that one would otherwise get all requests until its
// next report, and none after it.
func (c *CoordinatorChoice) betterOfTwo(withRoom []Candidate) Candidate {
	two := c.twoRandom(withRoom)
	for i := range two {
		if !two[i].Room.settled(c.Now, two[i].Pending) {
			return two[0]
		}
	}
	return c.best(two)
}

// twoRandom returns two different random candidates in random order, or all if there are fewer.
func (c *CoordinatorChoice) twoRandom(all []Candidate) []Candidate {
	if len(all) < 2 {
		return all
	}
	i, j := c.Random(len(all)), c.Random(len(all)-1)
	if j >= i {
		j++
	}
	return []Candidate{all[i], all[j]}
}

// best returns the candidate with the lowest sum of round trip and expected wait; the first of
// equal ones.
func (c *CoordinatorChoice) best(of []Candidate) Candidate {
	return slices.MinFunc(of, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(c.cost(&a), c.cost(&b)), cmp.Compare(a.Pending, b.Pending))
	})
}

func (c *CoordinatorChoice) cost(o *Candidate) time.Duration {
	return min(distance(&c.Self, o), unknownRoundTrip) + o.Room.wait(c.Now, c.Objective)
}

func filterCandidates(all []Candidate, keep func(*Candidate) bool) []Candidate {
	return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return !keep(&c) })
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
