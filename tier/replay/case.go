package replay

import (
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// sharing is the way in which the hosts of a hall share the slots of an upstream.
type sharing string

// Ways to share slots.
const (
	// sharingNone lets each host use all slots; the upstream sheds excess calls.
	sharingNone sharing = "None"
	// sharingShares gives each host a fixed share of the slots.
	sharingShares sharing = "Shares"
	// sharingBorrow gives each host a share and lets it borrow idle slots beyond it
	// as long as the upstream does not shed calls.
	sharingBorrow sharing = "Borrow"
	// sharingOwner gives all slots to one host; the other hosts relay through it.
	sharingOwner sharing = "Owner"
)

// load is a stream of requests of one class with Poisson arrivals.
type load struct {
	class config.Class
	// rate is the number of requests per second over all hosts.
	rate float64
	// shards is the number of consecutive shards that each request queries, starting
	// at a random one.
	shards int
}

// capacity describes how much work an upstream can do.
type capacity struct {
	// slots is the number of calls that run concurrently, backlog the number that
	// may wait for a slot.
	slots, backlog int
	// serviceTime is the median of the lognormal service time, sigma the standard
	// deviation of its logarithm.
	serviceTime time.Duration
	sigma       float64
}

// faults are the faults injected at upstreams. In the fields that select one upstream
// in n, 0 selects none.
type faults struct {
	// slowOneIn makes one upstream in n slower by slowFactor from slowFrom until
	// slowUntil, or until the end if slowUntil is 0.
	slowOneIn           int
	slowFactor          float64
	slowFrom, slowUntil time.Duration
	// stragglerShare is the fraction of calls, 0 to 1, that take stragglerFactor
	// times as long.
	stragglerShare, stragglerFactor float64
	// lostOneIn makes one upstream in n stop answering at lostFrom.
	lostOneIn int
	lostFrom  time.Duration
	// shedOneIn makes one upstream in n shed all calls although its health checks
	// pass.
	shedOneIn int
}

// Case describes one replay. Cases returns the predefined ones.
type Case struct {
	// Name identifies the case in the report.
	Name string
	// Seed seeds the random source of arrivals, service times and choices.
	Seed uint64
	// duration is the virtual time during which requests arrive. Requests that start
	// within the initial warm-up are not counted.
	duration, warmup time.Duration
	hosts            int
	sharing          sharing
	// shards is the number of shards, replicas the number of upstreams of each. For
	// requests of a class there are as many upstreams as shards, and replica r of
	// shard i is upstream i+r, modulo the number of shards.
	shards, replicas int
	// delay is the one-way network delay between host and upstream, relayDelay the
	// one between two hosts.
	delay, relayDelay time.Duration
	// connectTime is the time to open a connection. A cancelled call closes its
	// connection.
	connectTime time.Duration
	// reportLoad makes upstreams report their load with each answer.
	reportLoad bool
	// overload says what hosts do during a shortage; empty for nothing.
	overload policy.OverloadControl
	capacity capacity
	faults   faults
	loads    []load
}

// slotsOf returns the number of an upstream's slots that belong to a host.
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
