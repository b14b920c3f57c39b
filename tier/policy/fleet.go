package policy

import (
	"sync"
	"time"
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
	// Listed is true for an upstream that listed itself with the platform, false for
	// one that the document declares.
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
			u = &Upstream{Name: s.Name, status: status{heardAt: never, readAt: never}}
		}
		u.slots.set(s.Slots, s.Most)
		u.leaving = s.Leaving || u.gone
		u.kind, u.near, u.hall = kindOf(&s), s.Near, s.Hall
		if u.kind.inHall {
			u.condition.hall = f.conditionsOf(s.Hall)
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
	return f.pool(service, poolWindow)
}

// RoutedPools give the latencies of a route's calls within this host's hall and
// to others, made at first use.
func (f *Fleet) RoutedPools(route string) (near, far *Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A route may have the name of a service.
	return f.pool("near "+route, routedWindow), f.pool("far "+route, routedWindow)
}

// pool finds or makes a pool; the fleet is locked.
func (f *Fleet) pool(name string, window int64) *Pool {
	p := f.pools[name]
	if p == nil {
		p = newPool(window)
		f.pools[name] = p
	}
	return p
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
			Latency: u.latency.smoothed, Window: u.status.window, Ejected: u.ejection.active(now), Leaving: u.leaving,
			Evacuated: u.cold.entry.Evacuated, Cold: u.cold.active(now), ColdOwner: u.cold.ownerAt(now),
		})
	}
	return out
}
