package pass

import (
	"sync"
	"time"

	"loomgap/tier/config"
)

// linkTable holds a link for each listed upstream. It is changed on the control thread,
// one link for each upstream that changed, and safe for concurrent use.
type connPools struct {
	// links holds a *link by the name of its upstream.
	byUpstream sync.Map
}

func (t *connPools) find(name string) *connPool {
	if l, ok := t.byUpstream.Load(name); ok {
		return l.(*connPool)
	}
	return nil
}

// update makes the links of upstreams that are listed, unless they have one to the same
// process, and closes those of upstreams that are gone.
func (t *connPools) update(listed []config.Listing, removed []string, now func() time.Duration) {
	for i := range listed {
		l := &listed[i]
		old := t.find(l.Name)
		if old != nil && old.address == l.Address && old.startedAt == l.Born {
			continue
		}
		t.byUpstream.Store(l.Name, &connPool{address: l.Address, startedAt: l.Born, now: now})
		if old != nil {
			old.close()
		}
	}
	for _, n := range removed {
		if old, ok := t.byUpstream.LoadAndDelete(n); ok {
			old.(*connPool).close()
		}
	}
}

// replace makes the links of all listed upstreams and closes those of all others.
func (t *connPools) replace(listed []config.Listing, now func() time.Duration) {
	isListed := make(map[string]bool, len(listed))
	for i := range listed {
		isListed[listed[i].Name] = true
	}
	var removed []string
	for n := range t.all() {
		if !isListed[n] {
			removed = append(removed, n)
		}
	}
	t.update(listed, removed, now)
}

// all iterates over the links by the names of their upstreams.
func (t *connPools) all() func(yield func(string, *connPool) bool) {
	return func(yield func(string, *connPool) bool) {
		t.byUpstream.Range(func(n, l any) bool { return yield(n.(string), l.(*connPool)) })
	}
}

// sweep closes connections that were idle for too long.
func (t *connPools) closeExpired() {
	for _, l := range t.all() {
		l.closeExpired()
	}
}

func (t *connPools) closeAll() {
	for _, l := range t.all() {
		l.close()
	}
}
