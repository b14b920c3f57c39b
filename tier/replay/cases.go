package replay

import (
	"fmt"
	"time"

	"loomgap/tier/config"
)

// Plain turns a class into its baseline: any replica, no hedge, no admission.
func Plain(c config.Class) config.Class {
	c.Choice, c.Hedge, c.Admission = "Random", config.HedgeNone, "None"
	return c
}

// class makes a class for a case.
func class(name string, worth int, deadline time.Duration) config.Class {
	c := config.DefaultClass()
	c.Name, c.Worth, c.Deadline = name, worth, config.Duration(deadline)
	c.MaxInFlight = 100_000
	return c
}

// Healthy is 510 shards over 510 upstreams of 4 slots at a quarter of their
// capacity, as one data hall of the design size sees a query, without faults.
func Healthy() Case {
	return Case{
		Seed: 1, Length: 20 * time.Second, Warm: 4 * time.Second, Hosts: 2, Division: DivideBorrow,
		Shards: 510, Replicas: 2, Slots: 4, Backlog: 4, Service: 5 * time.Millisecond, Sigma: 0.5,
		Hop: 250 * time.Microsecond, RelayHop: 500 * time.Microsecond,
		Loads: []Load{{Class: class("Wide", 1, 390*time.Millisecond), Rate: 200, Shards: 510}},
	}
}

// small is one service of 2 upstreams with 2 slots, as the users run 50 of.
func small(rate float64) Case {
	return Case{
		Seed: 1, Length: 120 * time.Second, Warm: 10 * time.Second, Hosts: 2, Division: DivideBorrow,
		Shards: 2, Replicas: 2, Slots: 2, Backlog: 4, Service: 5 * time.Millisecond, Sigma: 0.5,
		Hop: 250 * time.Microsecond, RelayHop: 500 * time.Microsecond,
		Loads: []Load{{Class: class("Counter", 5, 300*time.Millisecond), Rate: rate, Shards: 1}},
	}
}

// overloaded is small at twice what its slots can carry, with two classes that
// differ in worth.
func overloaded() Case {
	c := small(0)
	c.Length = 60 * time.Second
	// 4 slots of a mean 5.67 ms carry 706 calls a second.
	c.Loads = []Load{
		{Class: class("Counter", 5, 300*time.Millisecond), Rate: 470, Shards: 1},
		{Class: class("Report", 1, 300*time.Millisecond), Rate: 940, Shards: 1},
	}
	return c
}

// pair returns a case under the baseline and under the defaults.
func pair(name string, c Case) []Case {
	plain, chosen := c, c
	plain.Name, chosen.Name = name+", plain", name+", chosen"
	plain.Loads = nil
	for _, l := range c.Loads {
		l.Class = Plain(l.Class)
		plain.Loads = append(plain.Loads, l)
	}
	return []Case{plain, chosen}
}

// Stragglers is the healthy case with one upstream in 50 ten times slower, and one
// call in 1,000 ten times slower besides.
func Stragglers() Case {
	c := Healthy()
	c.SlowEvery, c.SlowFactor = 50, 10
	c.StraggleShare, c.StraggleFactor = 0.001, 10
	return c
}

// Cases lists the cases of docs/DECISIONS.md.
func Cases() []Case {
	healthy, stragglers := Healthy(), Stragglers()
	lost := Healthy()
	lost.LostEvery, lost.LostFrom = 100, 8*time.Second
	cold := Healthy()
	cold.SlowEvery, cold.SlowFactor = 50, 10
	cold.SlowFrom, cold.SlowUntil = 8*time.Second, 12*time.Second
	lying := Healthy()
	lying.ShedEvery = 100
	var out []Case
	out = append(out, pair("healthy", healthy)...)
	out = append(out, pair("stragglers", stragglers)...)
	out = append(out, pair("lost replica", lost)...)
	out = append(out, pair("cold start", cold)...)
	out = append(out, pair("lying health", lying)...)
	out = append(out, pair("overload", overloaded())...)
	return append(out, divisions()...)
}

// smallCapacity is the calls a second that the 4 slots of a small service
// carry, at a mean service time of 5.67 ms.
const smallCapacity = 706

// divisions compares how two hosts share slots, with upstreams that queue
// nothing and with ones that queue four calls.
func divisions() []Case {
	var out []Case
	for _, backlog := range []int{0, 4} {
		for _, d := range []Division{DivideNone, DivideShares, DivideBorrow, DivideOwner} {
			for _, use := range []int{30, 80} {
				c := small(float64(use) / 100 * smallCapacity)
				c.Division, c.Backlog = d, backlog
				c.Name = fmt.Sprintf("small, %d%% use, queue %d, %s", use, backlog, d)
				out = append(out, c)
			}
			c := Stragglers()
			c.Division, c.Backlog = d, backlog
			c.Name = fmt.Sprintf("wide stragglers, queue %d, %s", backlog, d)
			out = append(out, c)
		}
	}
	return out
}
