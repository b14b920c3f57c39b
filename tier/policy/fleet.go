package policy

import (
	"sync"
	"time"
)

// Fleet holds the upstreams and what all requests of a host share about them.
// It is safe for concurrent use.
type Fleet struct {
	// mu guards all below.
	mu     sync.Mutex
	random Random
	// self is the name of this host, as SetColdOwners gave it; empty before.
	self string
	// upstreams holds those that have a share, by name; cold those of them that may be
	// throttled.
	upstreams map[string]*Upstream
	cold      map[string]*Upstream
	pools     map[string]*LatencyPool
	classes   map[string]*classState
	// retries holds what may be spent at each group of a routed request.
	retries      map[string]*groupRetries
	retryBudgets RetryBudgets
	// conditions holds the last report about the upstreams of each hall.
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
		cold:       map[string]*Upstream{},
		pools:      map[string]*LatencyPool{},
		classes:    map[string]*classState{},
		retries:    map[string]*groupRetries{},
		conditions: map[string]*hallConditions{},
		quarantine: quarantine{suspects: map[Fingerprint]*suspect{}},
	}
}

// Share is this host's part of an upstream, and what the configuration says about it.
type Share struct {
	// Name is the name of the upstream; never empty.
	Name string
	// Slots is how many calls this host may always have in progress there.
	Slots int
	// MaxSlots is how many it may have while the upstream does not shed; Slots if it is
	// less.
	MaxSlots int
	// Leaving is true if the upstream is to get no new calls.
	Leaving bool
	// Listed is true for an upstream that listed itself with the platform, false for
	// one that the document declares.
	Listed bool
	// Hall is the data hall of a listed upstream; Near is true if it is the
	// hall of this host.
	Hall string
	Near bool
	// StartedMillis is when the upstream's process started, in milliseconds since 1970 by its own
	// clock; 0 if that is not known.
	StartedMillis int64
	// Cold is what is known of the start of a listed upstream.
	Cold Cold
}

// Apply sets the shares of all upstreams; one that is not named is forgotten.
// Waiters that may now go ahead are returned, for NotifyGranted.
func (f *Fleet) Apply(now time.Duration, shares []Share) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	named := make(map[string]bool, len(shares))
	var granted []*Waiter
	for i := range shares {
		named[shares[i].Name] = true
		granted = append(granted, f.setShare(now, &shares[i])...)
	}
	for n := range f.upstreams {
		if !named[n] {
			f.removeUpstream(n)
		}
	}
	return granted
}

// Update sets the shares of some upstreams and forgets others; what it does not name
// stays as it is. Waiters that may now go ahead are returned, for NotifyGranted.
func (f *Fleet) Update(now time.Duration, shares []Share, gone []string) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	var granted []*Waiter
	for i := range shares {
		granted = append(granted, f.setShare(now, &shares[i])...)
	}
	for _, n := range gone {
		f.removeUpstream(n)
	}
	return granted
}

// setShare sets the share of one upstream; the fleet is locked.
func (f *Fleet) setShare(now time.Duration, s *Share) []*Waiter {
	u := f.upstreams[s.Name]
	var granted []*Waiter
	if u != nil && u.startedMillis > 0 && s.StartedMillis > u.startedMillis {
		granted, u = u.grantAll(now), nil
	}
	if u == nil {
		u = &Upstream{Name: s.Name, status: status{heardAt: never, readAt: never}}
		f.upstreams[s.Name] = u
	}
	u.startedMillis = max(u.startedMillis, s.StartedMillis)
	u.slots.set(s.Slots, s.MaxSlots)
	u.leaving = s.Leaving || u.gone
	u.kind, u.near, u.hall = &declaredKind, s.Near, s.Hall
	if s.Listed {
		u.kind = &listedKind
		u.condition.hall = f.hallConditions(s.Hall)
		u.cold.update(now, s.Cold)
		f.trackCold(now, u)
	}
	return append(granted, u.grant(now)...)
}

// dismiss lets all calls go ahead that wait for a slot of an upstream whose process has
// been replaced by a later one: what is known of it does not hold for that one.
func (u *Upstream) grantAll(now time.Duration) []*Waiter {
	u.slots.set(u.slots.inUse+u.slots.queue.Len(), 0)
	return u.grant(now)
}

// forget drops an upstream; the fleet is locked.
func (f *Fleet) removeUpstream(name string) {
	delete(f.upstreams, name)
	delete(f.cold, name)
}

// Find returns the upstream of a name; nil if there is none.
func (f *Fleet) Find(name string) *Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[name]
}

// Resolve returns the upstreams of each list of names; unknown ones are left out.
func (f *Fleet) Resolve(names [][]string) [][]*Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resolve(names)
}

// resolve is Resolve with the fleet locked.
func (f *Fleet) resolve(names [][]string) [][]*Upstream {
	out := make([][]*Upstream, len(names))
	for i := range names {
		out[i] = make([]*Upstream, 0, len(names[i]))
		for _, n := range names[i] {
			if u := f.upstreams[n]; u != nil {
				out[i] = append(out[i], u)
			}
		}
	}
	return out
}

// LatencyPool returns the latency pool of a service, made at first use.
func (f *Fleet) LatencyPool(service string) *LatencyPool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(service, poolWindow)
}

// RoutedLatencyPools give the latencies of a route's calls within this host's hall and
// to others, made at first use.
func (f *Fleet) RoutedLatencyPools(route string) (near, far *LatencyPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A route may have the name of a service.
	return f.pool("near "+route, routedWindow), f.pool("far "+route, routedWindow)
}

// pool returns the pool of a name; the fleet is locked.
func (f *Fleet) pool(name string, window int64) *LatencyPool {
	return findOrMake(f.pools, name, func() *LatencyPool { return newPool(window) })
}

func findOrMake[V any](m map[string]*V, key string, create func() *V) *V {
	if m[key] == nil {
		m[key] = create()
	}
	return m[key]
}

// UpstreamState is a copy of what is known of an upstream, for operators.
type UpstreamState struct {
	Name string
	// InUse counts this host's calls in progress there, Share those that it may always
	// have, Queued those that wait for a slot.
	InUse, Share, Queued int
	// Latency is the smoothed time of its calls; 0 before the first.
	Latency time.Duration
	// Snapshots is the range of index snapshots that it last stated.
	Snapshots SnapshotRange
	// Ejected is true while it is out of rotation after failures, Leaving from the
	// first sign that it leaves.
	Ejected, Leaving bool
	// Evacuated is true while its hall is evacuated, Cold while it has not warmed up;
	// ColdOwner is the host that makes its calls while it is throttled, empty for any.
	Evacuated, Cold bool
	ColdOwner       string
}

// State lists all upstreams, in no order.
func (f *Fleet) State(now time.Duration) []UpstreamState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]UpstreamState, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		out = append(out, UpstreamState{
			Name: u.Name, InUse: u.slots.inUse, Share: u.slots.share, Queued: u.slots.queue.Len(),
			Latency: u.latency.smoothed, Snapshots: u.status.window, Ejected: u.ejection.active(now), Leaving: u.leaving,
			Evacuated: u.cold.entry.Evacuated, Cold: u.cold.active(now), ColdOwner: u.cold.ownerAt(now),
		})
	}
	return out
}
