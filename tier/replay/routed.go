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
	// StrongHosts of the hosts, the first ones, take StrongWork of their own for each
	// answer of an upstream, one after the other; the others take WeakWork. With 0
	// no host takes any.
	StrongHosts          int
	StrongWork, WeakWork time.Duration
	// Forward has the others forward their requests to the strong ones.
	Forward bool
	// PauseFor is how long each upstream pauses once in PauseEvery; 0 for never.
	PauseFor, PauseEvery time.Duration
	// Crash adds a request that crashes upstreams; nil for none.
	Crash *Crash
}

// crashing reports whether a request of the case crashes upstreams.
func (c *Case) crashing() bool { return c.Routed != nil && c.Routed.Crash != nil }

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
	share := policy.ShareRetryBudget(c.Routed.Ratio, c.Routed.Slack, float64(c.Hosts))
	h.fleet.SetRetryBudgets(policy.RetryBudgets{Shards: share, Single: share})
	h.fleet.Apply(0, shares)
	if c.crashing() {
		h.joinCrash()
	}
}

// coreWork is the own work for each answer of a host of a core: what a host of
// another capacity takes compares to it.
const coreWork = 50 * time.Microsecond

// isStrong reports whether a host is one of the strong ones.
func (h *host) isStrong() bool { return h.index < h.world.c.Routed.StrongHosts }

// ownWork is what the host takes for each answer.
func (h *host) ownWork() time.Duration {
	r := h.world.c.Routed
	switch {
	case r == nil || r.StrongHosts == 0:
		return 0
	case h.isStrong():
		return r.StrongWork
	default:
		return r.WeakWork
	}
}

// work has something done once the host has done its own work for it.
func (h *host) work(do func()) {
	w := h.world
	took := h.ownWork()
	if took == 0 {
		do()
		return
	}
	h.freeAt = max(h.freeAt, w.now) + took
	w.after(h.freeAt-w.now, do)
}

// candidate describes the host to those that choose a coordinator.
func (h *host) candidate() policy.Candidate {
	r := h.world.c.Routed
	work := max(h.ownWork(), 1)
	return policy.Candidate{
		Host: fmt.Sprint("H", h.index), Hall: r.hall(h.index), Capacity: int(1000 * coreWork / work), RoundTrip: 2 * r.FarHop,
	}
}

// coordinator returns the host that is to carry a request out, and how long a
// message takes there; the host itself if none does better.
func (h *host) coordinator() (*host, time.Duration) {
	w := h.world
	r := w.c.Routed
	if !r.Forward {
		return h, 0
	}
	var all []policy.Candidate
	byName := map[string]*host{}
	for _, o := range w.hosts[:r.StrongHosts] {
		c := o.candidate()
		all, byName[c.Host] = append(all, c), o
	}
	best := policy.Coordinators(h.candidate(), all)
	if len(best) == 0 {
		return h, 0
	}
	to := byName[best[0].Host]
	if best[0].Hall == r.hall(h.index) {
		return to, w.c.Hop
	}
	return to, r.FarHop
}

// requestRouted carries out one gather, or forwards it.
func (h *host) requestRouted(load int) {
	to, way := h.coordinator()
	if to == h {
		h.gather(load, h.world.now, 0)
		return
	}
	began := h.world.now
	// The request, the sign and the word to begin.
	h.world.after(3*way, func() { to.gather(load, began, way) })
}

// gather carries out a request that a host got at some time, to which the answer
// takes so long.
func (h *host) gather(load int, began, back time.Duration) { h.gatherFor(nil, load, began, back) }

// gatherFor does so for a request of a caller; nil where it is not known.
func (h *host) gatherFor(v *visit, load int, began, back time.Duration) {
	w := h.world
	c := w.c.Routed
	class := c.class()
	spent := w.now - began + back
	class.Patience = config.Duration(max(time.Duration(class.Patience)-spent, 0))
	names, groups := make([][]string, w.c.Shards), make([]string, w.c.Shards)
	for i := range names {
		groups[i] = fmt.Sprint("G", i)
		for r := range w.c.Replicas {
			names[i] = append(names[i], upstreamName(i*w.c.Replicas+r))
		}
	}
	near, far := h.fleet.RoutedPools(c.Route.Name)
	f := h.newFlight(load, w.c.Shards)
	f.begun, f.back, f.visit = began, back, v
	f.begin(policy.RunConfig{
		Pool: near, Class: &class, Replicas: h.fleet.Resolve(names), Subject: v.subject(),
		Deadline: w.now + time.Duration(c.Route.TimeLimit),
		Routed: &policy.Routed{
			Groups: groups, FarPool: far, MaxAttempts: c.Route.MaxAttempts, Objective: max(time.Duration(c.Route.Objective)-spent, 0),
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
