package replay

import (
	"fmt"
	"time"

	"loomgap/tier/config"
)

// Cases returns the cases of docs/DECISIONS.md. Each one exercises a policy:
//
//	healthy        choice of the replica with the lowest expected latency
//	stragglers     quantile and budget of hedged requests
//	lost replica   ejection after failures
//	cold start     detection of slow upstreams and probing
//	lying health   backoff after sheds
//	overload       admission by worth per cost
//	small, wide    slot shares with borrowing, compared with other ways to share
func Cases() []Case {
	lost := healthyCase()
	lost.faults = faults{lostOneIn: 100, lostFrom: 8 * time.Second}
	cold := healthyCase()
	cold.faults = faults{slowOneIn: 50, slowFactor: 10, slowFrom: 8 * time.Second, slowUntil: 12 * time.Second}
	lying := healthyCase()
	lying.faults = faults{shedOneIn: 100}
	var out []Case
	out = append(out, withBaseline("healthy", healthyCase())...)
	out = append(out, withBaseline("stragglers", stragglersCase())...)
	out = append(out, withBaseline("lost replica", lost)...)
	out = append(out, withBaseline("cold start", cold)...)
	out = append(out, withBaseline("lying health", lying)...)
	out = append(out, withBaseline("overload", overloadCase())...)
	return append(out, sharingCases()...)
}

// baseline returns a class with a random choice of replica, no hedging and no admission
// control.
func baseline(c config.Class) config.Class {
	c.Choice, c.Hedge, c.Admission = "Random", config.HedgeNone, "None"
	return c
}

// withBaseline returns a case with the baseline policies ("plain") and one with the
// default policies ("chosen").
func withBaseline(name string, c Case) []Case {
	plain, chosen := c, c
	plain.Name, chosen.Name = name+", plain", name+", chosen"
	plain.loads = nil
	for _, l := range c.loads {
		l.class = baseline(l.class)
		plain.loads = append(plain.loads, l)
	}
	return []Case{plain, chosen}
}

func caseClass(name string, worth int, deadline time.Duration) config.Class {
	c := config.DefaultClass()
	c.Name, c.Worth, c.Deadline = name, worth, config.Duration(deadline)
	c.MaxInFlight = 100_000
	return c
}

// healthyCase returns a case without faults: 510 shards on 510 upstreams of 4 slots, at
// a quarter of their capacity. This is the size of data hall that the tier is designed for.
func healthyCase() Case {
	return Case{
		Seed: 1, duration: 20 * time.Second, warmup: 4 * time.Second, hosts: 2, sharing: sharingBorrow,
		shards: 510, replicas: 2,
		capacity: capacity{slots: 4, backlog: 4, serviceTime: 5 * time.Millisecond, sigma: 0.5},
		delay:    250 * time.Microsecond, relayDelay: 500 * time.Microsecond,
		loads: []load{{class: caseClass("Wide", 1, 390*time.Millisecond), rate: 200, shards: 510}},
	}
}

// stragglersCase returns the healthy case with one upstream in 50 ten times slower and
// one call in 1,000 ten times slower in addition.
func stragglersCase() Case {
	c := healthyCase()
	c.faults = faults{slowOneIn: 50, slowFactor: 10, stragglerShare: 0.001, stragglerFactor: 10}
	return c
}

// smallCase returns a case with a small service: 2 upstreams of 2 slots each.
func smallCase(rate float64) Case {
	c := healthyCase()
	c.duration, c.warmup = 120*time.Second, 10*time.Second
	c.shards, c.capacity.slots = 2, 2
	c.loads = []load{{class: caseClass("Counter", 5, 300*time.Millisecond), rate: rate, shards: 1}}
	return c
}

// smallCallsPerSecond is the capacity of the small service: 4 slots at a mean service
// time of 5.67 ms.
const smallCallsPerSecond = 706

// overloadCase returns the small case at twice its capacity, with two classes of
// different worth.
func overloadCase() Case {
	c := smallCase(0)
	c.duration = 60 * time.Second
	c.loads = []load{
		{class: caseClass("Counter", 5, 300*time.Millisecond), rate: 470, shards: 1},
		{class: caseClass("Report", 1, 300*time.Millisecond), rate: 940, shards: 1},
	}
	return c
}

// sharingCases returns cases that compare the ways in which two hosts share slots, for
// upstreams without a queue and for upstreams that queue four calls.
func sharingCases() []Case {
	var out []Case
	for _, backlog := range []int{0, 4} {
		for _, s := range []sharing{sharingNone, sharingShares, sharingBorrow, sharingOwner} {
			for _, use := range []int{30, 80} {
				c := smallCase(float64(use) / 100 * smallCallsPerSecond)
				c.sharing, c.capacity.backlog = s, backlog
				c.Name = fmt.Sprintf("small, %d%% use, queue %d, %s", use, backlog, s)
				out = append(out, c)
			}
			c := stragglersCase()
			c.sharing, c.capacity.backlog = s, backlog
			c.Name = fmt.Sprintf("wide stragglers, queue %d, %s", backlog, s)
			out = append(out, c)
		}
	}
	return out
}
