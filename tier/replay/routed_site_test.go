package replay

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
	// window is that in which the shards count these; 0 for hosts that only use what
	// they have saved up.
	window time.Duration
	// ownWork is the work of hosts beside the upstreams' own.
	ownWork ownWork
	// forward has weak hosts forward their requests to the strong ones.
	forward bool
	// pauseFor is how long each upstream pauses once in pauseEvery; 0 for never.
	pauseFor, pauseEvery time.Duration
	// shedders have most upstreams shed part of their calls for a while.
	shedders shedders
	// crash adds crashes of upstreams; nil for none.
	crash *crashSettings
}

// shedders are upstreams, share of them all, that shed part of their calls from a time
// until another, though their health endpoints are good.
type shedders struct {
	share, part float64
	from, until time.Duration
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

// routedSetup is a case whose requests are gathers of a route.
type routedSetup struct {
	Case
	routed routed
}

// routedReport is the report of such a case, with what its site counted.
type routedReport struct {
	*Report
	crashes crashResult
	// earned is the sum of what the answers within the objective earn.
	earned float64
}

// meanEarned is what a request earns on average: the square of the share of shards
// that an answer in time has.
func (r *routedReport) meanEarned() float64 {
	c := r.classes[0]
	return r.earned / float64(max(c.answers+c.refusals, 1))
}

// runRouted replays cases of routed requests side by side.
func runRouted(t *testing.T, cases ...routedSetup) []*routedReport {
	t.Helper()
	out := make([]*routedReport, len(cases))
	var all sync.WaitGroup
	for i, c := range cases {
		all.Go(func() {
			r, err := c.run()
			assert.Check(t, err)
			out[i] = r
		})
	}
	all.Wait()
	return out
}

// run replays the case.
func (c *routedSetup) run() (*routedReport, error) {
	var s *routedSite
	w, err := newWorld(c.Case, func(w *world) site {
		s = &routedSite{
			classSite: classSite{w}, routed: &c.routed, freeAt: make([]time.Duration, c.hosts),
			states: make([]upstreamState, c.shards*c.replicas), attempts: map[*execution]*attempt{},
		}
		return s
	})
	if err != nil {
		return nil, err
	}
	if s.routed.crash != nil {
		s.startCrashes()
	}
	w.run()
	return &routedReport{Report: w.report(), crashes: s.crashes, earned: s.earned}, nil
}

// routedSite is a site of routed requests.
type routedSite struct {
	classSite
	routed *routed
	// freeAt is when a host has done its own work on the answers that came, by its
	// index.
	freeAt []time.Duration
	// states are the crashes of the upstreams, by their index.
	states []upstreamState
	// attempts finds those of callers' requests, in a case with crashes.
	attempts map[*execution]*attempt
	// crashes is what became of the requests, in a case with crashes.
	crashes crashResult
	// thirdCrash is when the third upstream crashed; 0 before.
	thirdCrash time.Duration
	// earned is the sum of what the answers within the objective earn.
	earned float64
}

var _ site = (*routedSite)(nil)

func (s *routedSite) upstreams() int { return len(s.states) }

func (r *routed) hall(index int) string { return fmt.Sprint("Hall", index%r.halls) }

func (s *routedSite) hop(h *host, upstream int) time.Duration {
	if s.routed.hall(h.index) == s.routed.hall(upstream) {
		return s.world.config.hop
	}
	return s.routed.farHop
}

func (s *routedSite) join(h *host) {
	c := &s.world.config
	var shares []policy.Share
	for i := range s.upstreams() {
		hall := s.routed.hall(i)
		shares = append(shares, policy.Share{
			Name: upstreamName(i), Slots: c.capacity.slots + c.capacity.backlog, Listed: true,
			Hall: hall, Near: hall == s.routed.hall(h.index),
		})
	}
	share := policy.ShareRetryBudget(s.routed.ratio, s.routed.slack, float64(c.hosts)).WithWindow(s.routed.window)
	h.fleet.SetRetryBudgets(policy.RetryBudgets{Shards: share, Single: share})
	h.fleet.Apply(0, shares)
	if s.routed.crash != nil {
		s.reportCrashes(h)
	}
}

// coreWork is the own work for each answer of a host of one core, against which the
// capacity of a host is computed. Not measured.
const coreWork = 50 * time.Microsecond

// coreCapacity is the capacity of a host of one core, in thousandths of a core.
const coreCapacity = 1000

// isStrong reports whether a host is one of the strong ones.
func (s *routedSite) isStrong(h *host) bool { return h.index < s.routed.ownWork.strongHosts }

// ownWork is what the host takes for each answer.
func (s *routedSite) ownWork(h *host) time.Duration {
	r := s.routed
	switch {
	case r.ownWork.strongHosts == 0:
		return 0
	case s.isStrong(h):
		return r.ownWork.strong
	default:
		return r.ownWork.weak
	}
}

func (s *routedSite) work(h *host, do func()) {
	w := s.world
	took := s.ownWork(h)
	if took == 0 {
		do()
		return
	}
	s.freeAt[h.index] = max(s.freeAt[h.index], w.now) + took
	w.after(s.freeAt[h.index]-w.now, do)
}

// candidate describes the host to those that choose a coordinator.
func (s *routedSite) candidate(h *host) policy.Candidate {
	r := s.routed
	work := max(s.ownWork(h), 1)
	return policy.Candidate{
		Host: fmt.Sprint("H", h.index), Hall: r.hall(h.index), Capacity: int(coreCapacity * coreWork / work), RoundTrip: 2 * r.farHop,
	}
}

// coordinator returns the host that is to carry a request out, and how long a
// message takes there; the host itself if none does better.
func (s *routedSite) coordinator(h *host) (*host, time.Duration) {
	w, r := s.world, s.routed
	if !r.forward {
		return h, 0
	}
	var all []policy.Candidate
	byName := map[string]*host{}
	for _, o := range w.hosts[:r.ownWork.strongHosts] {
		c := s.candidate(o)
		all, byName[c.Host] = append(all, c), o
	}
	best := policy.Coordinators(s.candidate(h), all)
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

// request brings one gather of a load to any host, which carries it out or forwards
// it.
func (s *routedSite) request(load int) {
	w := s.world
	if s.routed.crash != nil {
		s.arrive(s.newCallerRequest(load))
		return
	}
	h := w.hosts[w.random.IntN(len(w.hosts))]
	// Nothing uses this draw; without it the same seeds give other figures.
	w.random.IntN(w.config.shards)
	g := gather{load: load, began: w.now}
	to, hop := s.coordinator(h)
	if to == h {
		s.gather(h, g)
		return
	}
	g.back = hop
	w.after(forwardMessages*hop, func() { s.gather(to, g) })
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

// gather has a host carry out a gather.
func (s *routedSite) gather(h *host, g gather) {
	w, c := s.world, s.routed
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
	near, far := h.fleet.RoutedLatencyPools(c.route.Name)
	e := h.newExecution(g.load, w.config.shards)
	e.begun = g.began - g.back
	e.onEnd = func(answer *policy.Result, took time.Duration) { s.ended(e, g, answer, took) }
	if g.request != nil {
		s.attempts[e] = &attempt{request: g.request}
	}
	e.begin(policy.RunConfig{
		Pool: near, Class: &class, Replicas: h.fleet.Resolve(names), Identity: s.subject(g.request),
		Deadline: w.now + time.Duration(c.route.TimeLimit),
		Routed: &policy.RoutedConfig{
			Groups: groups, FarPool: far, MaxAttempts: c.route.MaxAttempts, Objective: max(time.Duration(c.route.Objective)-spent, 0),
		},
	})
}

// ended counts what the answer to a gather earns, and tells its caller.
func (s *routedSite) ended(e *execution, g gather, answer *policy.Result, took time.Duration) {
	included := 0.0
	if answer != nil {
		included = float64(answer.Included)
	}
	if e.result != nil && took <= time.Duration(s.routed.route.Objective) {
		share := included / float64(e.shards)
		s.earned += share * share
	}
	if g.request != nil {
		s.done(g.request, included >= s.routed.class().Coverage*float64(e.shards) && included > 0)
	}
}

// accept answers a call to an upstream that is away, and holds it up while the
// upstream pauses.
func (s *routedSite) accept(u *upstream, k *call) bool {
	down := s.states[u.index].down
	if !down && s.crashesBy(k) {
		s.reached(s.attempts[k.execution])
	}
	switch {
	case down:
		k.reply(policy.CallUnreachable)
		return false
	case k.cancelled:
		return true
	case s.sheds(u):
		k.reply(policy.CallShed)
		return false
	case s.pausedFor(u) > 0:
		s.world.after(s.pausedFor(u), func() { u.arrive(k) })
		return false
	default:
		return true
	}
}

// sheds decides whether the upstream sheds a call now.
func (s *routedSite) sheds(u *upstream) bool {
	d := &s.routed.shedders
	if s.world.now < d.from || s.world.now >= d.until {
		return false
	}
	// A large odd number spreads the upstreams that shed over the shards.
	isOne := float64(u.index*7919%s.upstreams()) < d.share*float64(s.upstreams())
	return isOne && s.world.random.Float64() < d.part
}

// pausedFor is how much longer the upstream pauses. Each pauses at times of its
// own.
func (s *routedSite) pausedFor(u *upstream) time.Duration {
	r := s.routed
	if r.pauseFor == 0 {
		return 0
	}
	into := (s.world.now + time.Duration(u.index)*pauseSpread) % r.pauseEvery
	return max(r.pauseFor-into, 0)
}

// pauseSpread is the time between the pauses of two neighbouring upstreams, modulo
// the period: a large odd number spreads them over it. Not measured.
const pauseSpread = 7_919 * time.Millisecond
