package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RecordStatus records what an upstream reported about itself.
func (f *Fleet) RecordStatus(now time.Duration, u *Upstream, r SnapshotRange, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.status.update(now, r)
	u.leaving = u.leaving || leaving
}

// NotReportedSince returns the names of upstreams that have reported nothing since a time, at
// most limit of them, least recently read first.
func (f *Fleet) NotReportedSince(since time.Duration, limit int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.Collect(maps.Values(f.upstreams))
	all = slices.DeleteFunc(all, func(u *Upstream) bool { return u.status.reportedAt > since })
	slices.SortFunc(all, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(a.status.readAt, b.status.readAt), cmp.Compare(a.Name, b.Name))
	})
	var out []string
	for _, u := range all[:min(limit, len(all))] {
		out = append(out, u.Name)
	}
	return out
}

// RecordStatusRead records that the status of an upstream is being read.
func (f *Fleet) RecordStatusRead(now time.Duration, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.upstreams[name]; u != nil {
		u.status.readAt = now
	}
}

// Leaving returns the names of the upstreams known to be leaving.
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
