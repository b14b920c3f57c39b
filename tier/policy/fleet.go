package policy

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Constants of smoothing.
const (
	latencyWeight = 0.1
	// latencyLeap bounds how far one sample counts above the smoothed latency,
	// so that one straggler does not make an upstream slow, but four do.
	latencyLeap = 4
	// faultWeight is how much one call counts in the share of faults.
	faultWeight = 0.1
	// listedWeight and listedLeap are the same for listed upstreams, of which
	// this host sees few calls.
	listedWeight = 0.25
	listedLeap   = 8
)

// Fleet holds the upstreams and what all requests of a host share about them.
// It is safe for concurrent use.
type Fleet struct {
	mu     sync.Mutex
	random Random
	// self is the name of this host, as SetColdOwners gave it.
	self      string
	upstreams map[string]*Upstream
	pools     map[string]*Pool
	classes   map[string]*classState
	// retries holds the tokens of each group of a routed request.
	retries      map[string]*budget
	retryBudgets RetryBudgets
	// conditions holds the reports about the upstreams of other halls, by hall.
	conditions map[string]*hallConditions
	// quarantine remembers the requests that crash upstreams.
	quarantine quarantine
}

// FleetConfig configures a fleet.
type FleetConfig struct {
	// Random is used with the fleet locked only.
	Random Random
}

// NewFleet makes an empty fleet.
func NewFleet(c FleetConfig) *Fleet {
	return &Fleet{
		random:     c.Random,
		upstreams:  map[string]*Upstream{},
		pools:      map[string]*Pool{},
		classes:    map[string]*classState{},
		retries:    map[string]*budget{},
		conditions: map[string]*hallConditions{},
		quarantine: quarantine{suspects: map[Fingerprint]*suspect{}},
	}
}

// Share is a host's part of an upstream.
type Share struct {
	Name string
	// Slots is how many calls this host may always have at work there.
	Slots int
	// Most is how many it may have while the upstream does not shed; Slots or
	// more, 0 for Slots.
	Most    int
	Leaving bool
	// Listed is true for an upstream of a routed group: it is judged by its
	// silence, not by how its latency compares, and needs no slow start.
	Listed bool
	// Hall is the data hall of a listed upstream; Near is true if it is the
	// hall of this host.
	Hall string
	Near bool
	// Cold is what is known of its start.
	Cold Cold
}

// Apply sets the shares of all upstreams; one that is not named is forgotten.
// Waiters that may now go ahead are returned, for Deliver.
func (f *Fleet) Apply(now time.Duration, shares []Share) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	var granted []*Waiter
	next := make(map[string]*Upstream, len(shares))
	for _, s := range shares {
		u := f.upstreams[s.Name]
		if u == nil {
			u = &Upstream{Name: s.Name, heardAt: never, askedAt: never}
		}
		u.slots.set(s.Slots, s.Most)
		u.leaving = s.Leaving || u.gone
		u.listed, u.near, u.hall = s.Listed, s.Near, s.Hall
		if s.Listed {
			u.reported = f.conditionsOf(s.Hall)
			u.cold.take(now, s.Cold)
		}
		next[s.Name] = u
		granted = append(granted, u.grant(now)...)
	}
	f.upstreams = next
	return granted
}

// Find returns the upstream of a name; nil if there is none.
func (f *Fleet) Find(name string) *Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[name]
}

// resolve returns the upstreams of names; unknown ones are left out. The fleet is
// locked.
func (f *Fleet) resolve(names []string) []*Upstream {
	out := make([]*Upstream, 0, len(names))
	for _, n := range names {
		if u := f.upstreams[n]; u != nil {
			out = append(out, u)
		}
	}
	return out
}

// HallOf returns the data hall of a listed upstream.
func (f *Fleet) HallOf(u *Upstream) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return u.hall
}

// Resolve returns the upstreams of each list of names; unknown ones are left out.
func (f *Fleet) Resolve(names [][]string) [][]*Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([][]*Upstream, len(names))
	for i := range names {
		out[i] = f.resolve(names[i])
	}
	return out
}

// Pool returns the latency pool of a service, made at first use.
func (f *Fleet) Pool(service string) *Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(service, NewPool)
}

// RoutedPools give the latencies of a route's calls within this host's hall and
// to others, made at first use.
func (f *Fleet) RoutedPools(route string) (near, far *Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A route may have the name of a service.
	return f.pool("near "+route, newRoutedPool), f.pool("far "+route, newRoutedPool)
}

// pool finds or makes a pool; the fleet is locked.
func (f *Fleet) pool(name string, make func() *Pool) *Pool {
	p := f.pools[name]
	if p == nil {
		p = make()
		f.pools[name] = p
	}
	return p
}

// Note records what an upstream said of itself.
func (f *Fleet) Note(now time.Duration, u *Upstream, w Window, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.heardAt = now
	if w.Known && (!u.window.Known || w.Newest >= u.window.Newest) {
		u.window = w
	}
	u.leaving = u.leaving || leaving
}

// Unheard lists upstreams that have said nothing since a time, the one longest
// not asked first, at most so many.
func (f *Fleet) Unheard(since time.Duration, most int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*Upstream
	for _, u := range f.upstreams {
		if u.heardAt <= since {
			all = append(all, u)
		}
	}
	slices.SortFunc(all, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(a.askedAt, b.askedAt), cmp.Compare(a.Name, b.Name))
	})
	var out []string
	for _, u := range all[:min(most, len(all))] {
		out = append(out, u.Name)
	}
	return out
}

// Asked notes that an upstream's status is being read.
func (f *Fleet) Asked(now time.Duration, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.upstreams[name]; u != nil {
		u.askedAt = now
	}
}

// Leaving lists the upstreams known to leave.
func (f *Fleet) Leaving() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for n, u := range f.upstreams {
		if u.leaving {
			out = append(out, n)
		}
	}
	return out
}

// Call is a finished call, told to the fleet.
type Call struct {
	Upstream *Upstream
	Pool     *Pool
	Outcome  CallOutcome
	// Took is the time from dispatch to the outcome.
	Took time.Duration
	// Load is what the upstream said of itself; zero if it said nothing.
	Load Load
	// Elsewhere is true for a call that another host made: it held no slot.
	Elsewhere bool
	// Lingering is true for a call that went on though it was not wanted.
	Lingering bool
	// Crowded is true for a call whose new connection was reset before any answer:
	// the upstream may have as many connections as it takes.
	Crowded bool
}

// Load is an upstream's own word on its work.
type Load struct {
	Running, Waiting, Slots int
}

// Finish gives the slot of a call back and learns from its outcome. The
// waiters that got a slot are returned, for Deliver.
func (f *Fleet) Finish(now time.Duration, c Call) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Upstream.learn(now, c)
	if c.Elsewhere {
		return nil
	}
	c.Upstream.slots.inUse--
	return c.Upstream.grant(now)
}

// Free gives an unused slot back.
func (f *Fleet) Free(now time.Duration, u *Upstream) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.slots.inUse--
	return u.grant(now)
}

// Sent notes that a call leaves for an upstream.
func (f *Fleet) Sent(now time.Duration, u *Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.stall.sent(now)
}

// Stalled reports whether an upstream answers nobody for the moment, as far as
// this host knows from its own calls.
func (f *Fleet) Stalled(now time.Duration, u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return u.stalled(now)
}

// Linger reports whether a call that is not wanted any more may go on for a
// while; it is then told to Finish as lingering.
func (f *Fleet) Linger(u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return u.linger()
}

// Lingered tells that a call which was to linger has ended before.
func (f *Fleet) Lingered(u *Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.stall.lingering = false
}

// UpstreamState is a copy of what is known of an upstream, for operators.
type UpstreamState struct {
	Name                 string
	InUse, Share, Queued int
	Latency              time.Duration
	Window               Window
	Ejected, Leaving     bool
	// Evacuated is true while its hall is evacuated, Cold while it has not warmed
	// up; ColdOwner is the host that makes the calls to it then, empty for any.
	Evacuated, Cold bool
	ColdOwner       string
}

// State lists all upstreams.
func (f *Fleet) State(now time.Duration) []UpstreamState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]UpstreamState, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		out = append(out, UpstreamState{
			Name: u.Name, InUse: u.slots.inUse, Share: u.slots.share, Queued: u.slots.queue.Len(),
			Latency: u.latency, Window: u.window, Ejected: u.ejection.active(now), Leaving: u.leaving,
			Evacuated: u.cold.told.Evacuated, Cold: now < u.cold.until, ColdOwner: u.cold.ownerAt(now),
		})
	}
	return out
}
