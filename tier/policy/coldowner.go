package policy

import (
	"cmp"
	"slices"
	"time"
)

// Hosts share no state: while a cold upstream is throttled one host of its hall, the
// owner, makes all calls to it; other hosts have the owner make theirs, as they do with
// calls to other halls. Even shares do not keep the bound where there are more hosts than
// it allows calls.

// ColdOwner returns the host that makes the calls to a cold upstream: one of the
// strong hosts of its hall, the same for all that know the same hosts; empty if
// the hall has none.
func ColdOwner(upstream string, hall []Candidate) string {
	hosts := strongHosts(hall, greatestCapacity(hall, 0))
	if len(hosts) == 0 {
		return ""
	}
	return slices.MinFunc(hosts, func(a, b Candidate) int {
		return cmp.Compare(RendezvousHash(upstream, a.Host), RendezvousHash(upstream, b.Host))
	}).Host
}

// SetColdOwners sets for each throttled upstream which host makes its calls. Self is
// this host.
func (f *Fleet) SetColdOwners(self string, owners map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self = self
	for name, u := range f.cold {
		u.cold.owner = owners[name]
	}
}

// noteCold keeps cold up to date after the share of an upstream was set; the fleet is
// locked.
func (f *Fleet) trackCold(now time.Duration, u *Upstream) {
	if u.cold.throttled(now) {
		f.cold[u.Name] = u
		return
	}
	u.cold.owner = ""
	delete(f.cold, u.Name)
}

// ThrottledUpstreams names the upstreams that are throttled, with their halls.
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

// Destination says from where calls to an upstream are to be made.
type Destination struct {
	// Hall is the upstream's data hall: any host there may make the calls.
	Hall string
	// Owner is the one host that may, while the upstream is throttled; empty for any.
	Owner string
}

// DestinationOf returns from where calls to a listed upstream are to be made.
func (f *Fleet) DestinationOf(now time.Duration, u *Upstream) Destination {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Destination{Hall: u.hall, Owner: u.cold.ownerAt(now)}
}

// AdmitCold reports whether this host may send a call to an upstream now, and counts
// it. Only the owner may send to one that is throttled, and no more than the bound.
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

// owns reports whether this host makes the calls to a throttled upstream; the fleet is
// locked.
func (f *Fleet) ownsCold(u *Upstream) bool { return u.cold.owner != "" && u.cold.owner == f.self }
