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
	// upstreams is how many upstreams there are.
	upstreams() int
	// join sets up a host's view of the upstreams.
	join(*host)
	// request brings one request of a load, by its index, to any host.
	request(load int)
	// hop is the one-way time between a host and an upstream, by its index.
	hop(h *host, upstream int) time.Duration
	// work has something done once the host has done its own work for it.
	work(h *host, do func())
	// accept reports whether an upstream treats a call that arrives as usual; if
	// not, the site does so.
	accept(*upstream, *call) bool
	// begin reports the same of a call that has just got a slot.
	begin(*upstream, *call) bool
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
	w.site.join(h)
	return h
}

func upstreamName(i int) string { return fmt.Sprintf("U%d", i) }

// classSite is the site of requests of a class: each shard is at as many upstreams as
// it has replicas, and each upstream has a part of as many shards.
type classSite struct {
	world *world
}

var _ site = classSite{}

func (s classSite) upstreams() int { return s.world.config.shards }

func (s classSite) join(h *host) {
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

func (s classSite) request(load int) {
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
	h.newExecution(load, l.shards).begin(policy.RunConfig{
		Pool: h.pool, Class: &l.class, Replicas: replicas, Snapshot: snapshot,
		Deadline: w.now + time.Duration(l.class.Deadline-l.class.Margin),
	})
}

func (s classSite) hop(*host, int) time.Duration { return s.world.config.hop }

func (classSite) work(_ *host, do func()) { do() }

func (classSite) accept(*upstream, *call) bool { return true }

func (classSite) begin(*upstream, *call) bool { return true }
