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

// routedParams describes the gathers of a route. Every request queries all shards; each
// shard has its own upstreams, which are spread over the halls like the hosts.
type routedParams struct {
	// route is the route of the requests; its Gather lists no groups.
	route config.Route
	// plain selects the baseline policies.
	plain bool
	// halls is the number of data halls, farDelay the one-way network delay between
	// them.
	halls    int
	farDelay time.Duration
	// ratio and slack limit the retries of all hosts at a shard.
	ratio, slack float64
	// connections is each host's share of the connections to an upstream; 0 for as many as
	// the upstream runs and queues calls.
	connections int
	// window is the period in which the platform counts retries. With 0 hosts only use
	// the retries that their requests have earned.
	window time.Duration
	// processing is the processing time of hosts.
	processing processingTimes
	// forward makes weak hosts forward their requests to strong hosts.
	forward bool
	// pauseDuration is how long each upstream pauses once per pauseInterval; 0 for never.
	pauseDuration, pauseInterval time.Duration
	// shedding makes some upstreams shed part of their calls.
	shedding sheddingFault
	// crash configures crashes of upstreams; nil for none.
	crash *crashSettings
}

// sheddingFault makes a share of the upstreams shed a share of their calls during a
// period, although their health checks pass.
type sheddingFault struct {
	upstreamShare, callShare float64
	from, until              time.Duration
}

// processingTimes is the processing time of hosts per answer of an upstream. A host
// processes one answer at a time.
type processingTimes struct {
	// strongHosts is the number of strong hosts, which are the first ones; all others
	// are weak. With 0 no host needs any time.
	strongHosts  int
	strong, weak time.Duration
}

// class returns the class of the route's requests.
func (r *routedParams) class() config.Class {
	c := r.route.Class()
	if r.plain {
		return baseline(c)
	}
	return c
}

// routedSetup is a case whose requests are gathers of a route.
type routedSetup struct {
	Case
	routed routedParams
}

// routedReport is the report of a routedSetup with the counts of its site.
type routedReport struct {
	*Report
	crashes crashResult
	// score is the total score of the requests.
	score float64
}

// meanScore returns the mean score of a request. An answer within the objective scores
// the square of its fraction of included shards, any other answer 0.
func (r *routedReport) meanScore() float64 {
	c := r.classes[0]
	return r.score / float64(max(c.answers+c.refusals, 1))
}

// runRouted replays cases of routed requests concurrently.
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
			classSite: classSite{w}, routed: &c.routed, idleAt: make([]time.Duration, c.hosts),
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
	return &routedReport{Report: w.report(), crashes: s.crashes, score: s.score}, nil
}

// routedSite is a site of routed requests.
type routedSite struct {
	classSite
	routed *routedParams
	// idleAt is when each host, by index, has processed the answers received so far.
	idleAt []time.Duration
	// states holds the crash states of the upstreams, by index.
	states []upstreamState
	// attempts maps executions to attempts, in a case with crashes.
	attempts map[*execution]*attempt
	// crashes counts crashes and requests, in a case with crashes.
	crashes crashResult
	// decisiveCrashAt is the time of the decisive crash; 0 before.
	decisiveCrashAt time.Duration
	// score is the total score of the requests.
	score float64
}

var _ site = (*routedSite)(nil)

func (s *routedSite) upstreamCount() int { return len(s.states) }

func (r *routedParams) hall(index int) string { return fmt.Sprint("Hall", index%r.halls) }

func (s *routedSite) delay(h *host, upstream int) time.Duration {
	if s.routed.hall(h.index) == s.routed.hall(upstream) {
		return s.world.config.delay
	}
	return s.routed.farDelay
}

func (s *routedSite) setUpHost(h *host) {
	c := &s.world.config
	connections := s.routed.connections
	if connections == 0 {
		connections = c.capacity.slots + c.capacity.backlog
	}
	var shares []policy.Share
	for i := range s.upstreamCount() {
		hall := s.routed.hall(i)
		shares = append(shares, policy.Share{
			Name: upstreamName(i), Slots: connections, PublishedSlots: c.capacity.slots, Listed: true,
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

// coreProcessingTime is the processing time per answer of a host with one core, the
// reference for the capacity of hosts.
const coreProcessingTime = 50 * time.Microsecond

// coreCapacity is the capacity of a host with one core, in thousandths of a core.
const coreCapacity = 1000

func (s *routedSite) isStrong(h *host) bool { return h.index < s.routed.processing.strongHosts }

// processingTime returns the host's processing time per answer.
func (s *routedSite) processingTime(h *host) time.Duration {
	r := s.routed
	switch {
	case r.processing.strongHosts == 0:
		return 0
	case s.isStrong(h):
		return r.processing.strong
	default:
		return r.processing.weak
	}
}

func (s *routedSite) process(h *host, do func()) {
	w := s.world
	took := s.processingTime(h)
	if took == 0 {
		do()
		return
	}
	s.idleAt[h.index] = max(s.idleAt[h.index], w.now) + took
	w.after(s.idleAt[h.index]-w.now, do)
}

// candidate describes the host as a candidate for coordinator.
func (s *routedSite) candidate(h *host) policy.Candidate {
	r := s.routed
	work := max(s.processingTime(h), 1)
	return policy.Candidate{
		Host: fmt.Sprint("H", h.index), Hall: r.hall(h.index), Capacity: int(coreCapacity * coreProcessingTime / work), RoundTrip: 2 * r.farDelay,
	}
}

// coordinator returns the host that runs a request received by h, which may be h itself,
// and the one-way network delay to it.
func (s *routedSite) coordinator(h *host) (*host, time.Duration) {
	w, r := s.world, s.routed
	if !r.forward {
		return h, 0
	}
	var all []policy.Candidate
	byName := map[string]*host{}
	for _, o := range w.hosts[:r.processing.strongHosts] {
		c := s.candidate(o)
		all, byName[c.Host] = append(all, c), o
	}
	best := policy.Coordinators(s.candidate(h), all)
	if len(best) == 0 {
		return h, 0
	}
	to := byName[best[0].Host]
	if best[0].Hall == r.hall(h.index) {
		return to, w.config.delay
	}
	return to, r.farDelay
}

// forwardMessages is the number of sequential messages before a forwarded request
// starts: the request, its acknowledgement, and the message to start.
const forwardMessages = 3

// startRequest sends one gather of a load to a random host, which runs or forwards it.
func (s *routedSite) startRequest(load int) {
	w := s.world
	if s.routed.crash != nil {
		s.sendToRandomHost(s.newCallerRequest(load))
		return
	}
	h := w.hosts[w.random.IntN(len(w.hosts))]
	// Keep this unused draw: without it the seeds produce different results.
	w.random.IntN(w.config.shards)
	g := gather{load: load, startedAt: w.now}
	to, delay := s.coordinator(h)
	if to == h {
		s.startGather(h, g)
		return
	}
	g.returnDelay = delay
	w.after(forwardMessages*delay, func() { s.startGather(to, g) })
}

// gather is a gather that a host runs.
type gather struct {
	// request is the caller's request; nil in a case without crashes.
	request *callerRequest
	// load is the index of the load.
	load int
	// startedAt is when the first host received the request.
	startedAt time.Duration
	// returnDelay is the network delay of the answer to that host.
	returnDelay time.Duration
}

// startGather makes a host run a gather.
func (s *routedSite) startGather(h *host, g gather) {
	w, c := s.world, s.routed
	spent := w.now - g.startedAt + g.returnDelay
	e := h.newExecution(g.load, w.config.shards)
	e.startedAt = g.startedAt - g.returnDelay
	e.onEnd = func(answer *policy.Result, took time.Duration) { s.recordEnd(e, g, answer, took) }
	if g.request != nil {
		s.attempts[e] = &attempt{request: g.request}
	}
	run := s.runConfig(h, &c.route, c.class(), spent)
	run.Identity = s.identity(g.request)
	run.Deadline = w.now + time.Duration(c.route.TimeLimit)
	e.start(run)
}

// runConfig describes a gather of a route over all shards. spent is the time since the
// gather arrived.
func (s *routedSite) runConfig(h *host, r *config.Route, class config.Class, spent time.Duration) policy.RunConfig {
	c := &s.world.config
	class.Patience = config.Duration(max(time.Duration(class.Patience)-spent, 0))
	names, groups := make([][]string, c.shards), make([]string, c.shards)
	for i := range names {
		groups[i] = fmt.Sprint("G", i)
		for n := range c.replicas {
			names[i] = append(names[i], upstreamName(i*c.replicas+n))
		}
	}
	near, far := h.fleet.RoutedLatencyPools(r.Name)
	return policy.RunConfig{
		Pool: near, Class: &class, Replicas: h.fleet.Resolve(names),
		Routed: &policy.RoutedConfig{
			Groups: groups, FarPool: far, MaxAttempts: r.MaxAttempts, Objective: max(time.Duration(r.Objective)-spent, 0),
		},
	}
}

// recordEnd adds the score of a gather's answer and finishes the caller's attempt.
func (s *routedSite) recordEnd(e *execution, g gather, answer *policy.Result, took time.Duration) {
	included := 0.0
	if answer != nil {
		included = float64(answer.Included)
	}
	if e.result != nil && took <= time.Duration(s.routed.route.Objective) {
		share := included / float64(e.shards)
		s.score += share * share
	}
	if g.request != nil {
		s.finishAttempt(g.request, included >= s.routed.class().Coverage*float64(e.shards) && included > 0)
	}
}

// accept fails a call to an upstream that is down, sheds one according to the shedding
// fault, and delays one while the upstream pauses.
func (s *routedSite) accept(u *upstream, k *call) bool {
	down := s.states[u.index].down
	if !down && s.causesCrash(k) {
		s.countReached(s.attempts[k.execution])
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

// sheds reports whether the upstream sheds a call that arrives now.
func (s *routedSite) sheds(u *upstream) bool {
	d := &s.routed.shedding
	if s.world.now < d.from || s.world.now >= d.until {
		return false
	}
	// The large odd factor spreads the shedding upstreams over the shards.
	affected := float64(u.index*7919%s.upstreamCount()) < d.upstreamShare*float64(s.upstreamCount())
	return affected && s.world.random.Float64() < d.callShare
}

// pausedFor returns the remaining time of the upstream's current pause, 0 if it is not
// paused.
func (s *routedSite) pausedFor(u *upstream) time.Duration {
	r := s.routed
	if r.pauseDuration == 0 {
		return 0
	}
	elapsed := (s.world.now + time.Duration(u.index)*pauseOffset) % r.pauseInterval
	return max(r.pauseDuration-elapsed, 0)
}

// pauseOffset shifts the pauses of consecutive upstreams, modulo the pause interval. Its
// large odd value spreads them over the interval.
const pauseOffset = 7_919 * time.Millisecond
