package policy

import (
	"slices"
	"time"
)

// Hosts share no state. While a cold upstream is throttled, one host of its hall, the
// owner, makes all calls to it; other hosts relay their calls through the owner, as they do
// for calls to other halls. Dividing the limit evenly would exceed it when there are more
// hosts than allowed calls.

// ColdOwner returns the host that makes the calls to a cold upstream. It is one of the
// strong hosts of the upstream's hall, and the same for all hosts with the same view of the
// hall. It returns an empty string if the hall has no host.
func ColdOwner(upstream string, hall []Candidate) string {
	if len(hall) == 0 {
		return ""
	}
	return slices.MinFunc(hall, HostRank{Key: upstream, Strongest: greatestCapacity(hall, 0)}.Compare).Host
}

// SetColdOwners sets the owner of each throttled upstream. self is the name of this host.
func (f *Fleet) SetColdOwners(self string, owners map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self = self
	for name, u := range f.cold {
		u.cold.owner = owners[name]
	}
}

// trackCold updates the index of throttled upstreams after a share was set. The fleet must
// be locked.
func (f *Fleet) trackCold(now time.Duration, u *Upstream) {
	if u.cold.throttled(now) {
		f.cold[u.Name] = u
		return
	}
	u.cold.owner = ""
	delete(f.cold, u.Name)
}

// ThrottledUpstreams returns the halls of the throttled upstreams by upstream name.
func (f *Fleet) ThrottledUpstreams(now time.Duration) map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]string{}
	for name, u := range f.cold {
		if u.cold.throttled(now) {
			out[name] = u.hall
			continue
		}
		u.cold.owner = ""
		delete(f.cold, name)
	}
	return out
}

// Destination identifies the hosts that may make the calls to an upstream.
type Destination struct {
	// Hall is the data hall of the upstream. Any host there may make the calls.
	Hall string
	// Owner is the only host that may make the calls while the upstream is throttled; empty
	// for any.
	Owner string
}

// DestinationOf returns the hosts that may make the calls to a listed upstream.
func (f *Fleet) DestinationOf(now time.Duration, u *Upstream) Destination {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Destination{Hall: u.hall, Owner: u.cold.ownerAt(now)}
}

// AdmitCold reports whether this host may send a call to an upstream now, and counts the
// call. Only the owner may call a throttled upstream, and only within its limit.
func (f *Fleet) AdmitCold(now time.Duration, u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !u.cold.throttled(now) {
		return true
	}
	if !f.ownsCold(u) || !u.cold.allows(now) {
		return false
	}
	u.cold.recordSent(now)
	return true
}

// ownsCold reports whether this host is the owner of a throttled upstream. The fleet must
// be locked.
func (f *Fleet) ownsCold(u *Upstream) bool { return u.cold.owner != "" && u.cold.owner == f.self }
