package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// overloadRoute is a route with its normal traffic.
type overloadRoute struct {
	config.Route
	// rate is the number of requests per second at normal traffic.
	rate float64
	// service is the mean service time of one part.
	service time.Duration
}

// overloadParams describes a case of routed requests under load.
type overloadParams struct {
	control policy.OverloadControl
	size    overloadSize
	routes  []overloadRoute
	// traffic returns the multiple of the normal traffic during the load.
	traffic func(route, hall int) float64
	// slow makes three in ten upstreams three times slower during the load.
	slow bool
	// eagerOneIn makes one caller in n retry immediately; 0 for none.
	eagerOneIn int
}

// overloadSize is the number of coordinators and shards of a deployment. The load on a shard
// does not depend on it.
type overloadSize struct {
	hosts, shards int
}

// Sizes of deployments.
var (
	// smallSize keeps a case within a second of real time. With 20 shards an answer with a
	// coverage of 0.95 may lack one.
	smallSize = overloadSize{hosts: 6, shards: 20}
	// fullSize is that of deployment A.
	fullSize = overloadSize{hosts: 12, shards: 90}
)

const (
	overloadHalls    = 3
	overloadReplicas = 3
	overloadSlots    = 2
	overloadBacklog  = 12
	// overloadConnections is the number of connections that an upstream accepts from all
	// hosts.
	overloadConnections = 58
)

// Times of a case. Hosts learn the latencies at normal traffic before the load starts.
const (
	loadFrom     = 2 * time.Second
	loadUntil    = 7 * time.Second
	overloadTail = 3 * time.Second
)

const (
	// placesPerSlot is the number of places per slot, as in package pass.
	placesPerSlot = 2
	// callerDelay is the one-way network delay between callers and hosts.
	callerDelay = 3 * time.Millisecond
	// slowdown is how many times slower a slow upstream is.
	slowdown = 3
	// serviceSigma is the standard deviation of the logarithm of service times.
	serviceSigma = 0.35
)

// arrivalStream is the second word of the PCG seed of the arrivals.
const arrivalStream = 43

// gateStream is that of the gate of the first host.
const gateStream = 100

// peak returns the highest multiple of the normal traffic of a route.
func (p *overloadParams) peak(route int) float64 {
	out := 1.0
	for i := range overloadHalls {
		out = max(out, p.traffic(route, i))
	}
	return out
}

// setup returns the case.
func (p *overloadParams) setup(name string) Case {
	c := Case{
		Name: name, Seed: 1, duration: loadUntil + overloadTail, hosts: p.size.hosts, shards: p.size.shards, replicas: overloadReplicas,
		capacity: capacity{slots: overloadSlots, backlog: overloadBacklog, serviceTime: time.Millisecond, sigma: serviceSigma},
		delay:    250 * time.Microsecond, connectTime: 6 * time.Millisecond, reportLoad: true, overload: p.control,
	}
	for i := range p.routes {
		r := &p.routes[i]
		c.loads = append(c.loads, load{class: r.Class(), shards: p.size.shards, rate: r.rate * p.peak(i)})
	}
	return c
}

// runOverload replays a case.
func runOverload(t *testing.T, name string, p overloadParams) *overloadReport {
	t.Helper()
	s := &overloadSite{params: &p, report: newOverloadReport(name, &p), waiting: make([][]*gatedAttempt, p.size.hosts)}
	w, err := newWorld(p.setup(name), func(w *world) site {
		s.routedSite = routedSite{
			classSite: classSite{w}, states: make([]upstreamState, p.size.shards*overloadReplicas),
			routed: &routedParams{
				halls: overloadHalls, farDelay: 8 * time.Millisecond, ratio: 0.2, slack: 45, window: 10 * time.Second,
				connections: max(overloadConnections/p.size.hosts, 1),
			},
		}
		return s
	})
	assert.NilError(t, err)
	w.arrivals = rand.New(rand.NewPCG(w.config.Seed, arrivalStream))
	w.after(loadFrom, s.sample)
	w.run()
	for _, h := range w.hosts {
		s.report.newConnections += h.newConnections
	}
	return s.report
}

// overloadSite is a site whose callers ask for gathers of several routes. Each host has a
// gate, unless control is off.
type overloadSite struct {
	routedSite
	params *overloadParams
	// gates holds the gates of the hosts, by index; empty without control.
	gates []*policy.Gate
	// waiting holds the attempts at each gate that are not decided yet, by host index.
	waiting [][]*gatedAttempt
	// known is what each host knows of the others, by index.
	known  []knownHosts
	report *overloadReport
}

var _ site = (*overloadSite)(nil)

func (s *overloadSite) setUpHost(h *host) {
	s.routedSite.setUpHost(h)
	n := s.params.size.hosts
	s.known = append(s.known, knownHosts{rooms: make([]policy.KnownRoom, n), pending: make([]int, n)})
	if s.params.control == policy.OverloadNone {
		return
	}
	base := max(placesPerSlot*overloadReplicas*overloadSlots/s.params.size.hosts, 1)
	random := rand.New(rand.NewPCG(s.world.config.Seed, gateStream+uint64(h.index)))
	s.gates = append(s.gates, policy.NewGate(policy.GateConfig{Base: base, Random: random}))
}

// isSlow reports whether an upstream is slow during the load: one of each shard, except in
// every tenth shard, and each time in the next hall.
func isSlow(upstream int) bool {
	shard := upstream / overloadReplicas
	return shard%10 != 9 && upstream%overloadReplicas == shard%overloadReplicas
}

func (s *overloadSite) underLoad() bool {
	return s.world.now >= loadFrom && s.world.now < loadUntil
}

// sampleInterval is the time between two samples of the upstreams.
const sampleInterval = 10 * time.Millisecond

// sample counts the calls at the upstreams during the load.
func (s *overloadSite) sample() {
	if !s.underLoad() {
		return
	}
	for _, u := range s.world.upstreams {
		l := u.load()
		s.report.running += l.Running
		s.report.queued += l.Waiting
		s.report.slots += l.Slots
	}
	s.world.after(sampleInterval, s.sample)
}

// accept drops cancelled calls from the queue, whose connections are closed.
func (s *overloadSite) accept(u *upstream, _ *call) bool {
	kept := u.backlog[:0]
	for _, k := range u.backlog {
		if !k.cancelled {
			kept = append(kept, k)
		}
	}
	u.backlog = kept
	return true
}

// startCall runs a call for the service time of its route.
func (s *overloadSite) startCall(u *upstream, k *call) bool {
	w := s.world
	mean := float64(s.params.routes[k.execution.load].service)
	if s.params.slow && s.underLoad() && isSlow(u.index) {
		mean *= slowdown
	}
	took := mean * math.Exp(serviceSigma*w.random.NormFloat64()-serviceSigma*serviceSigma/2)
	w.after(time.Duration(took), func() {
		if k.holdsSlot {
			k.holdsSlot = false
			u.release(k)
			k.reply(policy.CallOK)
		}
	})
	return false
}

// gatedAttempt is an attempt of a caller at a host.
type gatedAttempt struct {
	request   *overloadRequest
	host      *host
	arrivedAt time.Duration
	// deadline is when the host must answer.
	deadline time.Duration
	// tried holds the other hosts that it was handed over to, returnDelay is the delay from
	// the host that executes it, declinedBy the hall of the one that declined it last.
	tried       map[*host]bool
	declinedBy  string
	returnDelay time.Duration
	answered    bool
	// ticket is nil without control.
	ticket *policy.Ticket
	// admittedAt is when the attempt was admitted, left is true once its place is free.
	admittedAt time.Duration
	left       bool
}

func (s *overloadSite) gate(h *host) *policy.Gate {
	if len(s.gates) == 0 {
		return nil
	}
	return s.gates[h.index]
}

// arrive starts an attempt at the host that received it, or passes it through a gate.
func (s *overloadSite) arrive(a *gatedAttempt) {
	w, g := s.world, s.gate(a.host)
	a.arrivedAt = w.now
	if g == nil {
		s.startAttempt(a)
		return
	}
	s.place(a)
}

// demand describes an attempt to a gate.
func (s *overloadSite) demand(a *gatedAttempt) policy.Demand {
	r := &s.params.routes[a.request.route]
	spent := min(a.arrivedAt-callerDelay-a.request.askedAt, time.Duration(r.Objective))
	return policy.Demand{
		Route: r.Name, Rank: r.Priority, Caller: a.request.caller.address,
		ObjectiveAt: a.arrivedAt + time.Duration(r.Class().Patience) - spent, DeadlineAt: a.deadline, Spent: spent,
	}
}

// enter passes an attempt through the gate of the host that executes it.
func (s *overloadSite) enter(a *gatedAttempt) {
	a.ticket = s.gate(a.host).Enter(s.world.now, s.demand(a))
	s.waiting[a.host.index] = append(s.waiting[a.host.index], a)
	s.settle(a.host)
	s.scheduleCheck(a)
}

// minCheckInterval is the shortest time between two checks of an attempt that waits.
const minCheckInterval = time.Millisecond

// scheduleCheck checks an attempt that waits when its ticket asks for it, and at its
// deadline at the latest.
func (s *overloadSite) scheduleCheck(a *gatedAttempt) {
	if a.decided() {
		return
	}
	w, g := s.world, s.gate(a.host)
	at := min(max(a.ticket.CheckAt(), w.now+minCheckInterval), a.deadline)
	w.after(at-w.now, func() {
		if a.decided() {
			return
		}
		g.Check(w.now, a.ticket)
		if w.now >= a.deadline && !a.decided() {
			s.abandon(a)
		}
		s.settle(a.host)
		s.scheduleCheck(a)
	})
}

func (a *gatedAttempt) decided() bool {
	select {
	case <-a.ticket.Decided():
		return true
	default:
		return a.left
	}
}

// abandon ends an attempt whose caller left before the gate decided.
func (s *overloadSite) abandon(a *gatedAttempt) {
	a.left = true
	s.gate(a.host).Abandon(s.world.now, a.ticket)
}

// settle starts or refuses the attempts that the gate of a host has decided. It must be
// called after each call of the gate.
func (s *overloadSite) settle(h *host) {
	var decided, waiting []*gatedAttempt
	for _, a := range s.waiting[h.index] {
		if a.decided() {
			decided = append(decided, a)
		} else {
			waiting = append(waiting, a)
		}
	}
	s.waiting[h.index] = waiting
	for _, a := range decided {
		s.continueDecided(a)
	}
}

func (s *overloadSite) continueDecided(a *gatedAttempt) {
	now := s.world.now
	refusal := a.ticket.Refusal()
	switch {
	case a.left:
		s.answer(a, response{kind: responseFailed})
	case refusal != nil:
		s.report.countRefusal(a, now)
		s.answer(a, response{kind: responseRefused, retryAfter: refusal.RetryAfter})
	default:
		s.startAttempt(a)
	}
}

// leave frees the place of an attempt.
func (s *overloadSite) leave(a *gatedAttempt, covered bool) {
	if a.ticket == nil || a.left {
		return
	}
	a.left = true
	now := s.world.now
	s.gate(a.host).Leave(now, a.ticket, policy.Completion{Took: now - a.admittedAt, Covered: covered})
	s.settle(a.host)
}

// startAttempt starts the run of an attempt.
func (s *overloadSite) startAttempt(a *gatedAttempt) {
	w, q, g := s.world, a.request, s.gate(a.host)
	r := &s.params.routes[q.route]
	a.admittedAt = w.now
	s.report.countStart(a)
	run := s.runConfig(a.host, &r.Route, r.Class(), w.now-a.arrivedAt)
	run.Deadline = a.deadline
	run.Routed.Rank = r.Priority
	if g != nil {
		run.Routed.Shortage = func() bool { return g.Shortage(w.now) }
	}
	required, included := r.Gather.Coverage*float64(s.params.size.shards), 0
	covered := func() {
		s.report.countCovered(a, w.now)
		s.leave(a, true)
	}
	e := a.host.newExecution(q.route, s.params.size.shards)
	e.onMerge = func() {
		if included++; float64(included) >= required && float64(included-1) < required {
			covered()
		}
	}
	e.onCall = func(c policy.CallEnd) {
		s.report.countCall(w.now, c.Outcome)
		if g != nil {
			c.Coverage = r.Gather.Coverage
			g.ObserveCallEnd(w.now, c)
			s.settle(a.host)
		}
	}
	e.onEnd = func(answer *policy.Result, _ time.Duration) {
		s.leave(a, false)
		s.answer(a, responseOf(answer, required))
	}
	e.start(run)
}

// responseOf returns the response for the answer of a run, which is nil if the run was
// refused.
func responseOf(answer *policy.Result, required float64) response {
	switch {
	case answer == nil:
		return response{kind: responseRefused}
	case float64(answer.Included) >= required:
		return response{kind: responseServed}
	default:
		return response{kind: responseFailed}
	}
}

// answer returns a response to the caller.
func (s *overloadSite) answer(a *gatedAttempt, r response) {
	s.report.countDecision(a, r.kind, s.world.now)
	a.answered = true
	s.world.after(a.returnDelay+callerDelay, func() { s.receive(a.request, r) })
}

func hallName(i int) string { return fmt.Sprint("Hall", i) }
