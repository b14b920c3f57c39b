package replay

import (
	"fmt"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// Routed describes gathers of a route: every request asks all shards, each of which
// has upstreams of its own, spread over the halls like the hosts.
type Routed struct {
	// Route is the route of the requests; its Gather names no groups.
	Route config.Route
	// Plain has the baseline decide: any upstream, no hedge.
	Plain bool
	// Halls is how many data halls there are; FarHop is the one-way time between
	// them.
	Halls  int
	FarHop time.Duration
	// Ratio and Slack bound the retries of all hosts at a shard.
	Ratio, Slack float64
	// PauseFor is how long each upstream pauses once in PauseEvery; 0 for never.
	PauseFor, PauseEvery time.Duration
}

// upstreams is how many upstreams a case has.
func (c *Case) upstreams() int {
	if c.Routed == nil {
		return c.Shards
	}
	return c.Shards * c.Replicas
}

// class returns the settings of the decisions.
func (r *Routed) class() config.Class {
	c := r.Route.Class()
	if r.Plain {
		return Plain(c)
	}
	return c
}

func (r *Routed) hall(index int) string { return fmt.Sprint("Hall", index%r.Halls) }

// hop is the one-way time between a host and an upstream.
func (h *host) hop(upstream int) time.Duration {
	r := h.world.c.Routed
	if r == nil || r.hall(h.index) == r.hall(upstream) {
		return h.world.c.Hop
	}
	return r.FarHop
}

// joinRouted sets up a host's view of the upstreams.
func (h *host) joinRouted() {
	c := &h.world.c
	var shares []policy.Share
	for i := range c.upstreams() {
		hall := c.Routed.hall(i)
		shares = append(shares, policy.Share{
			Name: upstreamName(i), Slots: c.Slots + c.Backlog, Listed: true,
			Hall: hall, Near: hall == c.Routed.hall(h.index),
		})
	}
	h.fleet.SetRetryBudget(policy.ShareRetryBudget(c.Routed.Ratio, c.Routed.Slack, float64(c.Hosts)))
	h.fleet.Apply(0, shares)
}

// requestRouted carries out one gather.
func (h *host) requestRouted(load int) {
	w := h.world
	c := w.c.Routed
	class := c.class()
	names, groups := make([][]string, w.c.Shards), make([]string, w.c.Shards)
	for i := range names {
		groups[i] = fmt.Sprint("G", i)
		for r := range w.c.Replicas {
			names[i] = append(names[i], upstreamName(i*w.c.Replicas+r))
		}
	}
	near, far := h.fleet.RoutedPools(c.Route.Name)
	h.newFlight(load, w.c.Shards).begin(policy.RunConfig{
		Pool: near, Class: &class, Replicas: h.fleet.Resolve(names),
		Deadline: w.now + time.Duration(c.Route.TimeLimit),
		Routed: &policy.Routed{
			Groups: groups, FarPool: far, MaxAttempts: c.Route.MaxAttempts, Objective: time.Duration(c.Route.Objective),
		},
	})
}

// pausedFor is how much longer an upstream pauses. Each pauses at times of its own.
func (s *server) pausedFor() time.Duration {
	r := s.world.c.Routed
	if r == nil || r.PauseFor == 0 {
		return 0
	}
	// Multiplying by a large odd number spreads the upstreams over the period.
	const spread = 7_919 * time.Millisecond
	into := (s.world.now + time.Duration(s.index)*spread) % r.PauseEvery
	return max(r.PauseFor-into, 0)
}

// linger gives a call up after a while, unless it has ended.
func (k *work) linger(o policy.CallOutcome, in time.Duration) {
	k.lingering = true
	k.world.after(in, func() { k.cancel(o) })
}

// MeanEarned is what a request of a class earns on average: the square of the share
// of shards that an answer in time has.
func (t *Tally) MeanEarned() float64 { return t.Earned / float64(max(t.Answered+t.Refused, 1)) }
