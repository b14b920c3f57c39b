package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
)

// shortageConfig describes hosts that share the upstreams of a gather's groups.
type shortageConfig struct {
	hosts, halls, parts, replicas int
	// slots and queue are those of each upstream.
	slots, queue int
	service      time.Duration
	// slowShare is the share of the upstreams that take slowFactor times the service time.
	slowShare, slowFactor float64
	// farDelay is the one-way delay to another hall.
	farDelay time.Duration
	// objective and coverage are those of the route.
	objective time.Duration
	coverage  float64
	// offered is how many requests each host starts in a second; without a limit it starts
	// all. 0 means that each host has as many in flight as it may.
	offered float64
	// busyHallFactor multiplies the load of the hosts of the first hall; 0 stands for 1.
	busyHallFactor float64
	// startLimit is the limit at the start; 0 for none.
	startLimit float64
	// overload configures the fleets; without it the limits are not used either.
	overload OverloadControl
	// noReports keeps upstreams from reporting their load.
	noReports bool
	// fault changes an upstream of the model before the start.
	fault func(u *modelUpstream)
}

// shortageModel runs hosts with real fleets, runs and limits against modelled upstreams in
// virtual time.
type shortageModel struct {
	t         *testing.T
	config    shortageConfig
	random    *rand.Rand
	now       time.Duration
	events    modelEvents
	sequence  int
	upstreams []*modelUpstream
	hosts     []*modelHost
	figures   modelFigures
	class     config.Class
}

// modelFigures are measured from the time from on.
type modelFigures struct {
	from         time.Duration
	calls, sheds int
	waits        []time.Duration
	ended, met   int
	took         []time.Duration
}

type modelEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (m *shortageModel) after(d time.Duration, do func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{m.now + d, m.sequence, do})
}

func (m *shortageModel) runUntil(end time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
	m.now = end
}

// modelUpstream runs up to its slots of calls and queues others.
type modelUpstream struct {
	model      *shortageModel
	name, hall string
	part       int
	service    time.Duration
	running    int
	waiting    []*modelCall
	// shedAll, fails and hangs are faults of its own.
	shedAll, fails, hangs bool
	// pausedUntil is when calls that start earlier begin to be processed.
	pausedUntil time.Duration
}

type modelCall struct {
	host      *modelHost
	run       *modelRun
	action    Action
	upstream  *modelUpstream
	sentAt    time.Duration
	arrivedAt time.Duration
	lingering bool
	ended     bool
}

func (u *modelUpstream) load() Load {
	if u.model.config.noReports {
		return Load{}
	}
	return Load{Running: u.running, Waiting: len(u.waiting), Slots: u.model.config.slots}
}

func (u *modelUpstream) arrive(c *modelCall) {
	m := u.model
	f := &m.figures
	if m.now >= f.from {
		f.calls++
	}
	switch {
	case u.hangs:
		return
	case u.fails:
		u.answer(c, CallFailed)
	case u.shedAll || u.running >= m.config.slots && len(u.waiting) >= m.config.queue:
		if m.now >= f.from {
			f.sheds++
		}
		u.answer(c, CallShed)
	case u.running >= m.config.slots:
		c.arrivedAt = m.now
		u.waiting = append(u.waiting, c)
	default:
		c.arrivedAt = m.now
		u.start(c)
	}
}

func (u *modelUpstream) start(c *modelCall) {
	m := u.model
	u.running++
	took := time.Duration(float64(u.service) * (0.5 + m.random.Float64()))
	ends := max(m.now, u.pausedUntil) + took
	if m.now >= m.figures.from {
		m.figures.waits = append(m.figures.waits, m.now-c.arrivedAt)
	}
	m.after(ends-m.now, func() {
		u.running--
		for len(u.waiting) > 0 && u.running < m.config.slots {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			if !next.ended {
				u.start(next)
			}
		}
		u.answer(c, CallOK)
	})
}

func (u *modelUpstream) answer(c *modelCall, o CallOutcome) {
	l := u.load()
	u.model.after(c.host.delay(u), func() { c.end(o, l) })
}

// modelHost starts requests within its limit.
type modelHost struct {
	model    *shortageModel
	hall     string
	fleet    *Fleet
	room     roomLimit
	replicas [][]*Upstream
	inFlight int
	// dead is true for a host that starts no more requests and reports nothing.
	dead bool
	// admitted counts the requests started.
	admitted int
}

func (h *modelHost) delay(u *modelUpstream) time.Duration {
	if u.hall == h.hall {
		return 300 * time.Microsecond
	}
	return h.model.config.farDelay
}

type modelRun struct {
	host      *modelHost
	run       *Run
	calls     map[int]*modelCall
	startedAt time.Duration
	included  int
	left      bool
	wakeAt    time.Duration
}

func newShortageModel(t *testing.T, c shortageConfig) *shortageModel {
	m := &shortageModel{t: t, config: c, random: rand.New(rand.NewPCG(20261203, 7))}
	route := &config.Route{
		Name: "Find", TimeLimit: config.Duration(2 * time.Second), Objective: config.Duration(c.objective),
		Gather: &config.Gather{Coverage: c.coverage, Top: 1},
	}
	m.class = route.Class()
	var names [][]string
	for p := range c.parts {
		names = append(names, nil)
		for r := range c.replicas {
			u := &modelUpstream{
				model: m, part: p, name: fmt.Sprintf("U%d-%d", p, r), hall: fmt.Sprint("Hall", (p+r*c.halls/c.replicas)%c.halls), service: c.service,
			}
			if m.random.Float64() < c.slowShare {
				u.service = time.Duration(c.slowFactor * float64(c.service))
			}
			if c.fault != nil {
				c.fault(u)
			}
			m.upstreams = append(m.upstreams, u)
			names[p] = append(names[p], u.name)
		}
	}
	for i := range c.hosts {
		h := &modelHost{model: m, hall: fmt.Sprint("Hall", i%c.halls)}
		h.fleet = NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(uint64(i), 3)), Overload: c.overload})
		setRetryBudget(h.fleet, ShareRetryBudget(0.2, 50, float64(c.hosts)))
		var shares []Share
		for _, u := range m.upstreams {
			shares = append(shares, Share{Name: u.name, Slots: 9, PublishedSlots: c.slots, Listed: true, Hall: u.hall, Near: u.hall == h.hall})
		}
		h.fleet.Apply(0, shares)
		h.replicas = h.fleet.Resolve(names)
		h.room = newRoomLimit(2 * c.slots * c.replicas / c.hosts)
		h.room.setRouteNeed(route.Name, routeNeed{objective: c.objective})
		h.room.limit = c.startLimit
		h.room.setWhole()
		m.hosts = append(m.hosts, h)
		m.after(time.Duration(m.random.Int64N(int64(20*time.Millisecond))), h.offer)
	}
	return m
}

// offered returns how many requests the host starts in a second.
func (h *modelHost) offered() float64 {
	c := &h.model.config
	if h.hall == "Hall0" && c.busyHallFactor > 0 {
		return c.busyHallFactor * c.offered
	}
	return c.offered
}

// offer starts requests at the offered rate, or as many as the limit allows.
func (h *modelHost) offer() {
	m := h.model
	if h.dead {
		return
	}
	h.room.tick(m.now, h.inFlight)
	if m.config.offered > 0 {
		m.after(time.Duration(m.random.ExpFloat64()/h.offered()*float64(time.Second)), h.offer)
		if n, limited := h.room.places(); limited && h.inFlight >= n && m.config.overload == OverloadShortage {
			h.room.period.used, h.room.pressedAt = true, m.now
			return
		}
		h.start()
		return
	}
	m.after(5*time.Millisecond, h.offer)
	h.fill()
}

// fill starts requests until the limit is reached.
func (h *modelHost) fill() {
	n, limited := h.room.places()
	if !limited {
		n = 20 * h.room.base
	}
	for h.inFlight < n && !h.dead {
		h.start()
	}
	h.room.period.used, h.room.pressedAt = true, h.model.now
}

func (h *modelHost) start() {
	m := h.model
	h.inFlight++
	h.admitted++
	x := &modelRun{host: h, calls: map[int]*modelCall{}, startedAt: m.now}
	near, far := h.fleet.RoutedLatencyPools("Find")
	routed := &RoutedConfig{
		Groups: make([]string, m.config.parts), FarPool: far, MaxAttempts: 3, Objective: m.config.objective,
		Shortage: func() bool { _, limited := h.room.places(); return limited && m.config.overload == OverloadShortage },
	}
	for i := range routed.Groups {
		routed.Groups[i] = fmt.Sprint("G", i)
	}
	run, err := NewRun(RunConfig{
		Fleet: h.fleet, Pool: near, Class: &m.class, Deadline: m.now + 2*time.Second, Replicas: h.replicas,
		Repeatable: true, Routed: routed, Granted: func(n int) { x.do(x.run.Granted(m.now, n)) },
	})
	assert.NilError(m.t, err)
	x.run = run
	actions, err := run.Begin(m.now)
	assert.NilError(m.t, err)
	x.do(actions)
}

// do carries out the actions of a run.
func (x *modelRun) do(actions []Action) {
	m, h := x.host.model, x.host
	for _, a := range actions {
		switch a.Kind {
		case ActionSend:
			u := m.upstreams[slices.IndexFunc(m.upstreams, func(u *modelUpstream) bool { return u.name == a.Upstream.Name })]
			c := &modelCall{host: h, run: x, action: a, upstream: u, sentAt: m.now}
			x.calls[a.Attempt] = c
			h.fleet.RecordSent(m.now, a.Upstream)
			m.after(h.delay(u), func() { u.arrive(c) })
		case ActionCancel:
			x.calls[a.Attempt].end(a.Outcome, Load{})
		case ActionLinger:
			c := x.calls[a.Attempt]
			c.lingering = true
			m.after(LingerDuration, func() { c.end(a.Outcome, Load{}) })
		case ActionReleaseSlot:
			NotifyGranted(h.fleet.ReleaseSlot(m.now, a.Upstream))
		case ActionMerge:
			x.included++
			if float64(x.included) >= m.class.Coverage*float64(m.config.parts) {
				x.leave(true)
			}
		case ActionFinish:
			x.leave(false)
		}
	}
	if w := x.run.WakeAt(); w != x.wakeAt && w < m.now+time.Hour {
		x.wakeAt = w
		m.after(max(w-m.now, 0), func() {
			if x.wakeAt == w {
				x.wakeAt = 0
				x.do(x.run.Wake(m.now))
			}
		})
	}
}

// leave frees the place of the request.
func (x *modelRun) leave(covered bool) {
	if x.left {
		return
	}
	x.left = true
	m, h := x.host.model, x.host
	h.inFlight--
	took := m.now - x.startedAt
	h.room.observeEnd(m.now, h.inFlight, Completion{Took: took, Covered: covered}, m.config.objective)
	if m.now >= m.figures.from {
		m.figures.ended++
		if covered && took <= m.config.objective {
			m.figures.met++
		}
		if covered {
			m.figures.took = append(m.figures.took, took)
		}
	}
	if m.config.offered == 0 {
		m.after(0, h.fill)
	}
}

func (c *modelCall) end(o CallOutcome, l Load) {
	if c.ended {
		return
	}
	c.ended = true
	m, h := c.host.model, c.host
	took := m.now - c.sentAt
	h.room.observe(m.now, CallEnd{Coverage: m.config.coverage, Part: c.action.Part, Upstream: c.upstream.name, Outcome: o, Load: l, Queued: c.action.Queued, Took: took})
	granted := h.fleet.Finish(m.now, Call{Upstream: c.action.Upstream, Pool: c.action.Pool, Outcome: o, Took: took, Load: l, Lingering: c.lingering})
	c.run.do(c.run.run.Reply(m.now, c.action.Attempt, o))
	NotifyGranted(granted)
}

// measure runs the model until the time from, and then for d, and returns the figures.
func (m *shortageModel) measure(from, d time.Duration) *modelFigures {
	m.figures = modelFigures{from: from}
	m.runUntil(from + d)
	return &m.figures
}

func timeQuantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(all))
	return s[int(q*float64(len(s)-1))]
}

// meanLimit returns the mean limit of the hosts.
func (m *shortageModel) meanLimit() float64 {
	total := 0.0
	for _, h := range m.hosts {
		total += h.room.limit
	}
	return total / float64(len(m.hosts))
}

// capacity is how many gathers in a second the parts needed for the coverage can serve.
func (m *shortageModel) capacity() float64 {
	parts := make([]float64, m.config.parts)
	for _, u := range m.upstreams {
		if !u.hangs && !u.shedAll {
			parts[u.part] += float64(m.config.slots) / u.service.Seconds()
		}
	}
	slices.Sort(parts)
	return parts[int((1-m.config.coverage)*float64(m.config.parts))]
}

func (m *shortageModel) report(d time.Duration) string {
	f := &m.figures
	return fmt.Sprintf("%.2f of the capacity, %.2f within the objective, took %s %s, waits %s %s, shed %d of %d, mean limit %.1f",
		m.throughput(d), f.metShare(), timeQuantile(f.took, 0.5), timeQuantile(f.took, 0.8),
		timeQuantile(f.waits, 0.5), timeQuantile(f.waits, 0.8), f.sheds, f.calls, m.meanLimit())
}

// throughput is the rate of covered gathers as a share of the capacity.
func (m *shortageModel) throughput(d time.Duration) float64 {
	return float64(len(m.figures.took)) / d.Seconds() / m.capacity()
}

// metShare is the share of the requests that were covered within the objective.
func (f *modelFigures) metShare() float64 { return float64(f.met) / float64(max(f.ended, 1)) }

func (f *modelFigures) shedShare() float64 { return float64(f.sheds) / float64(max(f.calls, 1)) }

// limited counts the hosts that measure a shortage.
func (m *shortageModel) limited() int {
	n := 0
	for _, h := range m.hosts {
		if _, limited := h.room.places(); limited {
			n++
		}
	}
	return n
}
