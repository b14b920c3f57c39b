package replay

import (
	"fmt"
	"time"

	"loomgap/tier/policy"
)

// host is one entry host.
type host struct {
	world *world
	index int
	fleet *policy.Fleet
	// pool has the latencies of requests of a class; nil in a routed case.
	pool *policy.Pool
	// freeAt is when the host has done its own work on the answers that came.
	freeAt time.Duration
}

func upstreamName(i int) string { return fmt.Sprintf("U%d", i) }

func newHost(w *world, index int) *host {
	h := &host{world: w, index: index, fleet: policy.NewFleet(policy.FleetConfig{Random: w.random})}
	if w.config.routed != nil {
		h.joinRouted()
		return h
	}
	var shares []policy.Share
	for i := range w.config.shards {
		s := policy.Share{Name: upstreamName(i), Slots: w.config.slotsOf(index, i)}
		if w.config.sharing == sharingBorrow {
			s.MaxSlots = w.config.capacity.slots
		}
		shares = append(shares, s)
	}
	h.fleet.Apply(0, shares)
	h.pool = h.fleet.Pool("Data")
	for i := range w.config.shards {
		h.fleet.NoteStatus(0, h.fleet.Find(upstreamName(i)), policy.Window{Oldest: 1, Newest: 1, Known: true}, false)
	}
	return h
}

// request begins one request of a load, by the load's index.
func (h *host) request(index int) {
	w := h.world
	l := &w.config.loads[index]
	first := w.random.IntN(w.config.shards)
	names := make([][]string, l.shards)
	for i := range names {
		for r := range w.config.replicas {
			names[i] = append(names[i], upstreamName((first+i+r)%w.config.shards))
		}
	}
	if w.config.routed != nil {
		h.requestRouted(index)
		return
	}
	replicas, snapshot := h.fleet.Plan(names)
	h.newExecution(index, l.shards).begin(policy.RunConfig{
		Pool: h.pool, Class: &l.class, Replicas: replicas, Snapshot: snapshot,
		Deadline: w.now + time.Duration(l.class.Deadline-l.class.Margin),
	})
}
