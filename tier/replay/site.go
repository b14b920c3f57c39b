package replay

import (
	"fmt"
	"time"

	"loomgap/tier/policy"
)

// site is how the hosts and upstreams of a replay are joined, and what they do beyond
// what a Case says. The cases of Cases have a classSite; tests have sites of routed
// requests, whose upstreams pause and crash.
type site interface {
	// upstreamCount is how many upstreamCount there are.
	upstreamCount() int
	// setUpHost sets up a host's view of the upstreams.
	setUpHost(*host)
	// startRequest brings one startRequest of a load, by its index, to any host.
	startRequest(load int)
	// delay is the one-way time between a host and an upstream, by its index.
	delay(h *host, upstream int) time.Duration
	// process has something done once the host has done its own process for it.
	process(h *host, do func())
	// accept reports whether an upstream treats a call that arrives as usual; if
	// not, the site does so.
	accept(*upstream, *call) bool
	// startCall reports the same of a call that has just got a slot.
	startCall(*upstream, *call) bool
}

type host struct {
	world *world
	index int
	fleet *policy.Fleet
	// pool has the latencies of requests of a class; nil at a site of routed ones.
	pool *policy.LatencyPool
}

func newHost(w *world, index int) *host {
	h := &host{world: w, index: index, fleet: policy.NewFleet(policy.FleetConfig{Random: w.random})}
	w.site.setUpHost(h)
	return h
}

func upstreamName(i int) string { return fmt.Sprintf("U%d", i) }

// classSite is the site of requests of a class: each shard is at as many upstreams as
// it has replicas, and each upstream has a part of as many shards.
type classSite struct {
	world *world
}

var _ site = classSite{}

func (s classSite) upstreamCount() int { return s.world.config.shards }

func (s classSite) setUpHost(h *host) {
	c := &s.world.config
	var shares []policy.Share
	for i := range c.shards {
		share := policy.Share{Name: upstreamName(i), Slots: c.slotsOf(h.index, i)}
		if c.sharing == sharingBorrow {
			share.MaxSlots = c.capacity.slots
		}
		shares = append(shares, share)
	}
	h.fleet.Apply(0, shares)
	h.pool = h.fleet.LatencyPool("Data")
	for i := range c.shards {
		h.fleet.RecordStatus(0, h.fleet.Find(upstreamName(i)), policy.SnapshotRange{Oldest: 1, Newest: 1, Known: true}, false)
	}
}

func (s classSite) startRequest(load int) {
	w := s.world
	h := w.hosts[w.random.IntN(len(w.hosts))]
	l := &w.config.loads[load]
	first := w.random.IntN(w.config.shards)
	names := make([][]string, l.shards)
	for i := range names {
		for r := range w.config.replicas {
			names[i] = append(names[i], upstreamName((first+i+r)%w.config.shards))
		}
	}
	replicas, snapshot := h.fleet.Plan(names)
	h.newExecution(load, l.shards).start(policy.RunConfig{
		Pool: h.pool, Class: &l.class, Replicas: replicas, Snapshot: snapshot,
		Deadline: w.now + time.Duration(l.class.Deadline-l.class.Margin),
	})
}

func (s classSite) delay(*host, int) time.Duration { return s.world.config.delay }

func (classSite) process(_ *host, do func()) { do() }

func (classSite) accept(*upstream, *call) bool { return true }

func (classSite) startCall(*upstream, *call) bool { return true }
