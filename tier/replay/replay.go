// Package replay runs the decisions of package policy against small fakes of
// upstreams in virtual time, with fixed seeds, so that a decision can be
// compared with its baseline in seconds and with the same result every time.
// It stands in for no network and no process: it measures decisions only.
package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// Division says how the hosts of a hall share the slots of an upstream.
type Division string

// The divisions.
const (
	// DivideShares gives each host its own part of the slots.
	DivideShares Division = "Shares"
	// DivideNone lets each host use all slots; the upstream sheds the excess.
	DivideNone Division = "None"
	// DivideBorrow gives each host its own part, and lets it use idle slots
	// beyond it for as long as the upstream does not shed.
	DivideBorrow Division = "Borrow"
	// DivideOwner gives all slots to one host; the others relay through it.
	DivideOwner Division = "Owner"
)

// Load is the requests of one class.
type Load struct {
	Class config.Class
	// Rate is requests a second over all hosts, of Poisson arrivals.
	Rate float64
	// Shards is how many shards each request asks: those from a random first on.
	Shards int
}

// Case describes one replay.
type Case struct {
	Name string
	Seed uint64
	// Length is the virtual time of arrivals; the first Warm is not counted.
	Length, Warm time.Duration
	Hosts        int
	Division     Division
	// Shards has a shard for each upstream; replica r of shard i is upstream i+r.
	Shards, Replicas int
	Slots, Backlog   int
	// Service is the median of the lognormal service time, Sigma its spread.
	Service time.Duration
	Sigma   float64
	// Hop is the one-way time between host and upstream, RelayHop between hosts.
	Hop, RelayHop time.Duration
	// SlowEvery makes one upstream in so many slow by SlowFactor; 0 for none.
	SlowEvery  int
	SlowFactor float64
	// SlowFrom and SlowUntil bound the slowness; SlowUntil 0 is for ever.
	SlowFrom, SlowUntil time.Duration
	// StraggleShare of the calls take StraggleFactor times as long.
	StraggleShare, StraggleFactor float64
	// LostEvery makes one upstream in so many silent from LostFrom on.
	LostEvery int
	LostFrom  time.Duration
	// ShedEvery makes one upstream in so many refuse all calls, whatever its
	// health endpoint says.
	ShedEvery int
	// Routed has the requests be gathers of a route; nil for those of a class.
	Routed *Routed
	Loads  []Load
}

type event struct {
	at   time.Duration
	rank uint64
	do   func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].rank < e[j].rank
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// world is one replay under way. It is single-threaded.
type world struct {
	c         Case
	now       time.Duration
	queue     events
	ranks     uint64
	random    *rand.Rand
	upstreams []*server
	hosts     []*host
	tallies   []*Tally
	// indices finds an upstream by name.
	indices map[string]int
	// crash is what became of requests in a case with Crash.
	crash CrashTally
	// thirdEnd is when the third upstream ended; 0 before.
	thirdEnd time.Duration
}

// after has something done after a time.
func (w *world) after(d time.Duration, do func()) {
	w.ranks++
	heap.Push(&w.queue, event{at: w.now + d, rank: w.ranks, do: do})
}

// Run replays a case.
func Run(c Case) (*Report, error) {
	w := &world{c: c, random: rand.New(rand.NewPCG(c.Seed, 42)), indices: map[string]int{}}
	for i := range c.upstreams() {
		w.upstreams = append(w.upstreams, newServer(w, i))
		w.indices[upstreamName(i)] = i
	}
	for i := range c.Hosts {
		w.hosts = append(w.hosts, newHost(w, i))
	}
	for i := range c.Loads {
		w.tallies = append(w.tallies, newTally(&c.Loads[i]))
		if c.Routed != nil {
			w.tallies[i].Objective = time.Duration(c.Routed.Route.Objective)
		}
		if err := w.arrive(i); err != nil {
			return nil, err
		}
	}
	if c.crashing() {
		w.startCrash()
	}
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w.report(), nil
}

// arrive plans the arrivals of a load.
func (w *world) arrive(i int) error {
	l := &w.c.Loads[i]
	if l.Rate <= 0 || l.Shards < 1 || l.Shards > w.c.Shards {
		return fmt.Errorf("load %s: rate or shards out of range: use a rate above 0 and 1 to %d shards", l.Class.Name, w.c.Shards)
	}
	gap := func() time.Duration {
		return time.Duration(w.random.ExpFloat64() / l.Rate * float64(time.Second))
	}
	var next func()
	next = func() {
		if w.now >= w.c.Length {
			return
		}
		w.after(gap(), next)
		if w.c.crashing() {
			w.newVisit(i).arrive()
			return
		}
		w.hosts[w.random.IntN(len(w.hosts))].request(i)
	}
	w.after(gap(), next)
	return nil
}

// host is one entry host.
type host struct {
	world *world
	index int
	fleet *policy.Fleet
	pool  *policy.Pool
	// freeAt is when the host has done its own work on the answers that came.
	freeAt time.Duration
}

func upstreamName(i int) string { return fmt.Sprintf("U%d", i) }

func newHost(w *world, index int) *host {
	h := &host{world: w, index: index, fleet: policy.NewFleet(policy.FleetConfig{Random: w.random})}
	if w.c.Routed != nil {
		h.joinRouted()
		return h
	}
	var shares []policy.Share
	for i := range w.c.Shards {
		s := policy.Share{Name: upstreamName(i), Slots: w.share(index, i)}
		if w.c.Division == DivideBorrow {
			s.MaxSlots = w.c.Slots
		}
		shares = append(shares, s)
	}
	h.fleet.Apply(0, shares)
	h.pool = h.fleet.Pool("Data")
	for i := range w.c.Shards {
		h.fleet.NoteStatus(0, h.fleet.Find(upstreamName(i)), policy.Window{Oldest: 1, Newest: 1, Known: true}, false)
	}
	return h
}

// share is the slots of an upstream that a host may fill.
func (w *world) share(host, upstream int) int {
	c := &w.c
	if c.Division != DivideShares && c.Division != DivideBorrow {
		return c.Slots
	}
	n := c.Slots / c.Hosts
	if (host+upstream)%c.Hosts < c.Slots%c.Hosts {
		n++
	}
	return max(n, 1)
}

// flight carries out one run in virtual time.
type flight struct {
	host   *host
	load   int
	run    *policy.Run
	begun  time.Duration
	calls  map[int]*work
	woken  time.Duration
	tally  *Tally
	shards int
	// coverage is the least part of the shards that an answer has.
	coverage float64
	// back is how long the answer takes to the host that the caller asked.
	back time.Duration
	// visit is the caller's request, in a case with Crash; nil otherwise.
	visit *visit
	// hasReached is true once a call of it has reached an upstream.
	hasReached bool
}

func (h *host) request(load int) {
	w := h.world
	l := &w.c.Loads[load]
	first := w.random.IntN(w.c.Shards)
	names := make([][]string, l.Shards)
	for i := range names {
		for r := range w.c.Replicas {
			names[i] = append(names[i], upstreamName((first+i+r)%w.c.Shards))
		}
	}
	if w.c.Routed != nil {
		h.requestRouted(load)
		return
	}
	replicas, snapshot := h.fleet.Plan(names)
	h.newFlight(load, l.Shards).begin(policy.RunConfig{
		Pool: h.pool, Class: &l.Class, Replicas: replicas, Snapshot: snapshot,
		Deadline: w.now + time.Duration(l.Class.Deadline-l.Class.Margin),
	})
}

func (h *host) newFlight(load, shards int) *flight {
	w := h.world
	f := &flight{host: h, load: load, begun: w.now, calls: map[int]*work{}, shards: shards}
	if w.now >= w.c.Warm {
		f.tally = w.tallies[load]
	}
	return f
}

// end tells the caller's request what became of the attempt.
func (f *flight) end(served bool) {
	if f.visit != nil {
		f.visit.done(served)
	}
}

// begin starts the run of a request that may be repeated.
func (f *flight) begin(c policy.RunConfig) {
	w := f.host.world
	f.coverage = c.Class.Coverage
	c.Fleet, c.Repeatable = f.host.fleet, true
	c.Granted = func(n int) { w.after(0, func() { f.perform(f.run.Granted(w.now, n)) }) }
	run, err := policy.NewRun(c)
	if err != nil {
		panic(err) // the case names a plug-in that is not there
	}
	f.run = run
	actions, err := run.Begin(w.now)
	if err != nil {
		f.tally.refused()
		f.end(false)
		return
	}
	f.perform(actions)
	f.sleep()
}

// sleep plans the run's next wake.
func (f *flight) sleep() {
	w := f.host.world
	next := f.run.Next()
	if f.woken == next {
		return
	}
	f.woken = next
	w.after(max(next-w.now, 0), func() {
		if f.woken != next {
			return
		}
		f.perform(f.run.Wake(w.now))
		f.sleep()
	})
}

func (f *flight) perform(actions []policy.Action) {
	w := f.host.world
	for _, a := range actions {
		switch a.Kind {
		case policy.ActionSend:
			f.send(a)
		case policy.ActionCancel:
			f.calls[a.Attempt].cancel(a.Outcome)
		case policy.ActionLinger:
			f.calls[a.Attempt].linger(a.Outcome, policy.LingerFor)
		case policy.ActionFree:
			policy.Deliver(f.host.fleet.Free(w.now, a.Upstream))
		case policy.ActionFinish:
			r := f.run.Result()
			f.tally.finished(w.now-f.begun+f.back, &r, f.shards)
			f.end(float64(r.Included) >= f.coverage*float64(f.shards) && r.Included > 0)
			f.woken = -1
		default:
		}
	}
	if f.woken >= 0 && len(actions) > 0 {
		f.sleep()
	}
}

// send makes a call, directly or through the owner of the upstream.
func (f *flight) send(a policy.Action) {
	w := f.host.world
	index := w.indices[a.Upstream.Name]
	sent := w.now
	k := &work{world: w, server: w.upstreams[index], hop: f.host.hop(index), flight: f}
	f.host.fleet.Sent(sent, a.Upstream)
	k.done = func(o policy.CallOutcome) {
		f.host.work(func() {
			policy.Deliver(f.host.fleet.Finish(w.now, policy.Call{
				Upstream: a.Upstream, Pool: a.Pool, Outcome: o, Took: w.now - sent, Lingering: k.lingering,
			}))
			f.perform(f.run.Reply(w.now, a.Attempt, o))
		})
	}
	f.calls[a.Attempt] = k
	owner := w.hosts[index%len(w.hosts)]
	if w.c.Division == DivideOwner && owner != f.host {
		k.relay(owner, a.Upstream.Name, f.begun+time.Duration(w.c.Loads[f.load].Class.Deadline))
		return
	}
	k.start()
}

// lognormal draws a service time.
func (w *world) lognormal() time.Duration {
	return time.Duration(float64(w.c.Service) * math.Exp(w.c.Sigma*w.random.NormFloat64()))
}
