package policy

import (
	"sync"
	"time"
)

// Fleet holds the upstreams and the state that all requests of a host share about them. It
// is safe for concurrent use.
type Fleet struct {
	// mu guards all fields below.
	mu     sync.Mutex
	random Random
	// self is the name of this host, as passed to SetColdOwners; empty until then.
	self string
	// upstreams holds the upstreams with a share by name, cold the subset that may be
	// throttled.
	upstreams map[string]*Upstream
	cold      map[string]*Upstream
	pools     map[string]*LatencyPool
	classes   map[string]*classState
	// retries holds the remaining retries for each group of routed requests.
	retries      map[string]*groupRetries
	retryBudgets RetryBudgets
	// conditions holds the latest report about the upstreams of each hall.
	conditions map[string]*hallConditions
	// quarantine tracks the requests that crash upstreams.
	quarantine quarantine
	// overload says whether listed upstreams get windows during a shortage.
	overload OverloadControl
}

// FleetConfig configures a fleet.
type FleetConfig struct {
	// Random is used only while the fleet is locked.
	Random Random
	// Overload says what the host does during a shortage; empty stands for OverloadNone.
	Overload OverloadControl
}

// NewFleet returns an empty fleet.
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
		overload:   c.Overload,
	}
}

// Share is this host's share of an upstream, together with the upstream's configuration.
type Share struct {
	// Name is the name of the upstream; never empty.
	Name string
	// Slots is how many calls this host may always have in progress.
	Slots int
	// MaxSlots is how many calls it may have in progress while the upstream does not shed.
	// It equals Slots if it is less.
	MaxSlots int
	// PublishedSlots is how many calls the upstream runs concurrently, for all hosts
	// together; 0 if unknown.
	PublishedSlots int
	// Leaving is true if the upstream must not get new calls.
	Leaving bool
	// Listed is true for an upstream that registered itself with the platform, false for
	// one declared in the configuration document.
	Listed bool
	// Hall is the data hall of a listed upstream. Near is true if it is the hall of this
	// host.
	Hall string
	Near bool
	// StartedMillis is when the upstream's process started, in Unix milliseconds by its own
	// clock; 0 if unknown.
	StartedMillis int64
	// Cold describes the warm-up of a listed upstream.
	Cold Cold
}

// Apply sets the shares of all upstreams and removes those that are not named. It returns
// the waiters that were granted a slot, for NotifyGranted.
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

// Update sets the shares of some upstreams and removes others. Upstreams that it does not
// name are unchanged. It returns the waiters that were granted a slot, for NotifyGranted.
func (f *Fleet) Update(now time.Duration, shares []Share, removed []string) []*Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	var granted []*Waiter
	for i := range shares {
		granted = append(granted, f.setShare(now, &shares[i])...)
	}
	for _, n := range removed {
		f.removeUpstream(n)
	}
	return granted
}

// setShare sets the share of one upstream. The fleet must be locked.
func (f *Fleet) setShare(now time.Duration, s *Share) []*Waiter {
	u := f.upstreams[s.Name]
	var granted []*Waiter
	if u != nil && u.startedMillis > 0 && s.StartedMillis > u.startedMillis {
		granted, u = u.grantAll(now), nil
	}
	if u == nil {
		u = &Upstream{Name: s.Name, status: status{reportedAt: never, readAt: never}}
		f.upstreams[s.Name] = u
	}
	u.startedMillis = max(u.startedMillis, s.StartedMillis)
	u.slots.set(s.Slots, s.MaxSlots)
	u.slots.published = s.PublishedSlots
	u.leaving = s.Leaving || u.replaced
	u.kind, u.near, u.hall = &declaredKind, s.Near, s.Hall
	if s.Listed {
		u.kind = &listedKind
		u.limitsShortage = f.overload == OverloadShortage
		u.condition.hall = f.hallConditions(s.Hall)
		u.cold.update(now, s.Cold)
		f.trackCold(now, u)
	}
	return append(granted, u.grant(now)...)
}

// grantAll grants slots to all waiters of an upstream whose process was replaced by a later
// one, since the limits of the old process do not apply to the new one.
func (u *Upstream) grantAll(now time.Duration) []*Waiter {
	u.slots.set(u.slots.inUse+u.slots.queue.Len(), 0)
	return u.grant(now)
}

// removeUpstream removes an upstream. The fleet must be locked.
func (f *Fleet) removeUpstream(name string) {
	delete(f.upstreams, name)
	delete(f.cold, name)
}

// Find returns the named upstream, or nil if there is none.
func (f *Fleet) Find(name string) *Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[name]
}

// Resolve returns the upstreams for each list of names. Unknown names are left out.
func (f *Fleet) Resolve(names [][]string) [][]*Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resolve(names)
}

// resolve is Resolve for a locked fleet.
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

// LatencyPool returns the latency pool of a service and creates it on first use.
func (f *Fleet) LatencyPool(service string) *LatencyPool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(service, poolWindow)
}

// RoutedLatencyPools returns the latency pools of a route, one for calls within this host's
// hall and one for calls to other halls. It creates them on first use.
func (f *Fleet) RoutedLatencyPools(route string) (near, far *LatencyPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The prefixes distinguish the pools of a route from that of a service with the same
	// name.
	return f.pool("near "+route, routedWindow), f.pool("far "+route, routedWindow)
}

// pool returns the named pool and creates it on first use. The fleet must be locked.
func (f *Fleet) pool(name string, window int64) *LatencyPool {
	return getOrCreate(f.pools, name, func() *LatencyPool { return newPool(window) })
}

func getOrCreate[V any](m map[string]*V, key string, create func() *V) *V {
	if m[key] == nil {
		m[key] = create()
	}
	return m[key]
}

// UpstreamState is a copy of an upstream's state for operators.
type UpstreamState struct {
	Name string
	// InUse counts this host's calls in progress, Share the calls that it may always have,
	// and Queued the calls that wait for a slot.
	InUse, Share, Queued int
	// Latency is the smoothed call time; 0 before the first call.
	Latency time.Duration
	// Snapshots is the range of index snapshots that the upstream last reported.
	Snapshots SnapshotRange
	// Ejected is true while the upstream is out of rotation after failures. Leaving is true
	// from the first sign that it is shutting down.
	Ejected, Leaving bool
	// Evacuated is true while the upstream's hall is evacuated, Cold while it is warming
	// up. ColdOwner is the host that makes its calls while it is throttled; empty for any.
	Evacuated, Cold bool
	ColdOwner       string
}

// State returns the state of all upstreams in no particular order.
func (f *Fleet) State(now time.Duration) []UpstreamState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]UpstreamState, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		out = append(out, UpstreamState{
			Name: u.Name, InUse: u.slots.inUse, Share: u.slots.share, Queued: u.slots.queue.Len(),
			Latency: u.latency.smoothed, Snapshots: u.status.snapshots, Ejected: u.ejection.active(now), Leaving: u.leaving,
			Evacuated: u.cold.entry.Evacuated, Cold: u.cold.active(now), ColdOwner: u.cold.ownerAt(now),
		})
	}
	return out
}
