package replay

import (
	"fmt"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// routed describes gathers of a route: every request asks all shards, each of which
// has upstreams of its own, spread over the halls like the hosts.
type routed struct {
	// route is the route of the requests; its Gather names no groups.
	route config.Route
	// plain has the baseline decide: any upstream, no hedge.
	plain bool
	// halls is how many data halls there are; farHop is the one-way time between
	// them.
	halls  int
	farHop time.Duration
	// ratio and slack bound the retries of all hosts at a shard.
	ratio, slack float64
	// ownWork is the work of hosts beside the upstreams' own.
	ownWork ownWork
	// forward has weak hosts forward their requests to the strong ones.
	forward bool
	// pauseFor is how long each upstream pauses once in pauseEvery; 0 for never.
	pauseFor, pauseEvery time.Duration
	// crash adds crashes of upstreams; nil for none.
	crash *crashSettings
}

// ownWork is the work of a host for each answer of an upstream, one answer after the
// other.
type ownWork struct {
	// strongHosts of the hosts, the first ones, take strong for each answer, the
	// others weak. With 0 no host takes any.
	strongHosts  int
	strong, weak time.Duration
}

// class returns the settings of the decisions.
func (r *routed) class() config.Class {
	c := r.route.Class()
	if r.plain {
		return baseline(c)
	}
	return c
}

func (r *routed) hall(index int) string { return fmt.Sprint("Hall", index%r.halls) }

// hop is the one-way time between a host and an upstream.
func (h *host) hop(upstream int) time.Duration {
	r := h.world.config.routed
	if r == nil || r.hall(h.index) == r.hall(upstream) {
		return h.world.config.hop
	}
	return r.farHop
}

// joinRouted sets up a host's view of the upstreams.
func (h *host) joinRouted() {
	c := &h.world.config
	var shares []policy.Share
	for i := range c.upstreams() {
		hall := c.routed.hall(i)
		shares = append(shares, policy.Share{
			Name: upstreamName(i), Slots: c.capacity.slots + c.capacity.backlog, Listed: true,
			Hall: hall, Near: hall == c.routed.hall(h.index),
		})
	}
	share := policy.ShareRetryBudget(c.routed.ratio, c.routed.slack, float64(c.hosts))
	h.fleet.SetRetryBudgets(policy.RetryBudgets{Shards: share, Single: share})
	h.fleet.Apply(0, shares)
	if c.crashing() {
		h.reportCrashes()
	}
}

// coreWork is the own work for each answer of a host of one core, against which the
// capacity of a host is computed. Not measured.
const coreWork = 50 * time.Microsecond

// coreCapacity is the capacity of a host of one core, in thousandths of a core.
const coreCapacity = 1000

// isStrong reports whether a host is one of the strong ones.
func (h *host) isStrong() bool { return h.index < h.world.config.routed.ownWork.strongHosts }

// ownWork is what the host takes for each answer.
func (h *host) ownWork() time.Duration {
	r := h.world.config.routed
	switch {
	case r == nil || r.ownWork.strongHosts == 0:
		return 0
	case h.isStrong():
		return r.ownWork.strong
	default:
		return r.ownWork.weak
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
	r := h.world.config.routed
	work := max(h.ownWork(), 1)
	return policy.Candidate{
		Host: fmt.Sprint("H", h.index), Hall: r.hall(h.index), Capacity: int(coreCapacity * coreWork / work), RoundTrip: 2 * r.farHop,
	}
}

// coordinator returns the host that is to carry a request out, and how long a
// message takes there; the host itself if none does better.
func (h *host) coordinator() (*host, time.Duration) {
	w := h.world
	r := w.config.routed
	if !r.forward {
		return h, 0
	}
	var all []policy.Candidate
	byName := map[string]*host{}
	for _, o := range w.hosts[:r.ownWork.strongHosts] {
		c := o.candidate()
		all, byName[c.Host] = append(all, c), o
	}
	best := policy.Coordinators(h.candidate(), all)
	if len(best) == 0 {
		return h, 0
	}
	to := byName[best[0].Host]
	if best[0].Hall == r.hall(h.index) {
		return to, w.config.hop
	}
	return to, r.farHop
}

// forwardMessages is how many messages pass one after the other before a forwarded
// request begins: the request, the sign that it came, and the word to begin.
const forwardMessages = 3

// requestRouted carries out one gather of a load, or forwards it.
func (h *host) requestRouted(load int) {
	g := gather{load: load, began: h.world.now}
	to, hop := h.coordinator()
	if to == h {
		h.gather(g)
		return
	}
	g.back = hop
	h.world.after(forwardMessages*hop, func() { to.gather(g) })
}

// gather is one gather that a host carries out.
type gather struct {
	// request is the caller's; nil where it is not known.
	request *callerRequest
	// load is the index of its load.
	load int
	// began is when a host got the request.
	began time.Duration
	// back is how long the answer takes to that host.
	back time.Duration
}

// gather carries out a gather.
func (h *host) gather(g gather) {
	w := h.world
	c := w.config.routed
	class := c.class()
	spent := w.now - g.began + g.back
	class.Patience = config.Duration(max(time.Duration(class.Patience)-spent, 0))
	names, groups := make([][]string, w.config.shards), make([]string, w.config.shards)
	for i := range names {
		groups[i] = fmt.Sprint("G", i)
		for r := range w.config.replicas {
			names[i] = append(names[i], upstreamName(i*w.config.replicas+r))
		}
	}
	near, far := h.fleet.RoutedPools(c.route.Name)
	e := h.newExecution(g.load, w.config.shards)
	e.begun, e.back, e.request = g.began, g.back, g.request
	e.begin(policy.RunConfig{
		Pool: near, Class: &class, Replicas: h.fleet.Resolve(names), Subject: g.request.subject(),
		Deadline: w.now + time.Duration(c.route.TimeLimit),
		Routed: &policy.Routed{
			Groups: groups, FarPool: far, MaxAttempts: c.route.MaxAttempts, Objective: max(time.Duration(c.route.Objective)-spent, 0),
		},
	})
}
