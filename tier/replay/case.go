package replay

import (
	"time"

	"loomgap/tier/config"
)

// sharing is how the hosts of a hall share the slots of an upstream.
type sharing string

// The ways to share slots.
const (
	// sharingNone lets each host use all slots; the upstream sheds the excess.
	sharingNone sharing = "None"
	// sharingShares gives each host its own part of the slots.
	sharingShares sharing = "Shares"
	// sharingBorrow gives each host its own part, and lets it use idle slots
	// beyond it for as long as the upstream does not shed.
	sharingBorrow sharing = "Borrow"
	// sharingOwner gives all slots to one host; the others relay through it.
	sharingOwner sharing = "Owner"
)

type load struct {
	class config.Class
	// rate is requests a second over all hosts, with Poisson arrivals.
	rate float64
	// shards is how many shards each request asks: those from a random first one
	// on.
	shards int
}

type capacity struct {
	// slots is how many calls run at once, backlog how many may wait for a slot.
	slots, backlog int
	// serviceTime is the median of the lognormal serviceTime time, sigma the standard
	// deviation of its logarithm.
	serviceTime time.Duration
	sigma       float64
}

// faults are what goes wrong at upstreams. Where a field says "one in n", 0 is for
// none.
type faults struct {
	// slowOneIn makes one upstream in n slower by slowFactor, from slowFrom until
	// slowUntil; slowUntil 0 is until the end.
	slowOneIn           int
	slowFactor          float64
	slowFrom, slowUntil time.Duration
	// stragglerShare of the calls, 0 to 1, take stragglerFactor times as long.
	stragglerShare, stragglerFactor float64
	// lostOneIn makes one upstream in n stop answering from lostFrom on.
	lostOneIn int
	lostFrom  time.Duration
	// shedOneIn makes one upstream in n refuse all calls, whatever its health
	// endpoint says.
	shedOneIn int
}

// Case describes one replay. Cases returns those that are there.
type Case struct {
	// Name is the case's name in the table.
	Name string
	// Seed draws arrivals, service times and choices.
	Seed uint64
	// duration is the virtual time in which requests arrive; those of the first warmup
	// are not counted.
	duration, warmup time.Duration
	hosts            int
	sharing          sharing
	// shards and replicas are how many shards there are and upstreams of each.
	// Requests of a class have as many upstreams as shards: replica r of shard i
	// is upstream i+r.
	shards, replicas int
	// delay is the one-way time between host and upstream, relayDelay between hosts.
	delay, relayDelay time.Duration
	capacity          capacity
	faults            faults
	loads             []load
}

func (c *Case) slotsOf(host, upstream int) int {
	if c.sharing != sharingShares && c.sharing != sharingBorrow {
		return c.capacity.slots
	}
	n := c.capacity.slots / c.hosts
	if (host+upstream)%c.hosts < c.capacity.slots%c.hosts {
		n++
	}
	return max(n, 1)
}
