package replay

import (
	"fmt"
	"time"

	"loomgap/tier/policy"
)

// site defines how hosts and upstreams are connected and how they behave beyond what a
// Case describes. The cases of Cases use a classSite; tests use sites for routed
// requests whose upstreams pause and crash.
type site interface {
	// upstreamCount returns the number of upstreams.
	upstreamCount() int
	// setUpHost gives a host its view of the upstreams.
	setUpHost(*host)
	// startRequest sends one request of the load with the given index to a random host.
	startRequest(load int)
	// delay returns the one-way network delay between a host and the upstream with the
	// given index.
	delay(h *host, upstream int) time.Duration
	// process calls do after the time that the host needs to process an answer.
	process(h *host, do func())
	// accept reports whether the upstream handles an arriving call as usual. If not,
	// the site handles it.
	accept(*upstream, *call) bool
	// startCall reports whether the upstream runs a call as usual once it has a slot. If
	// not, the site runs it.
	startCall(*upstream, *call) bool
}

// host is an entry host that makes decisions with its own policy.Fleet.
type host struct {
	world *world
	index int
	fleet *policy.Fleet
	// pool holds the latencies of requests of a class; nil for routed requests.
	pool *policy.LatencyPool
	// idleConnections counts the open connections without a call, by upstream index.
	idleConnections map[int]int
	// newConnections counts the connections that the host has opened.
	newConnections int
}

func newHost(w *world, index int) *host {
	h := &host{
		world: w, index: index, fleet: policy.NewFleet(policy.FleetConfig{Random: w.random, Overload: w.config.overload}), idleConnections: map[int]int{},
	}
	w.site.setUpHost(h)
	return h
}

// takeConnection takes an idle connection to an upstream, or a new one. It returns the time to
// open it.
func (h *host) takeConnection(upstream int) time.Duration {
	if h.idleConnections[upstream] > 0 {
		h.idleConnections[upstream]--
		return 0
	}
	h.newConnections++
	return h.world.config.connectTime
}

// returnConnection keeps the connection of a call that was answered.
func (h *host) returnConnection(upstream int) { h.idleConnections[upstream]++ }

func upstreamName(i int) string { return fmt.Sprintf("U%d", i) }

// classSite is the site of requests of a class. Replica r of shard i is upstream i+r,
// modulo the number of shards.
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
