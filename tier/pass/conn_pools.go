package pass

import (
	"sync"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// connPools holds the connection pool of each listed upstream. It is modified on the
// control thread and safe for concurrent use; a change of one upstream costs one update.
type connPools struct {
	// byUpstream maps the name of each upstream to its *connPool.
	byUpstream sync.Map
	// budget limits the responses of all upstreams that are held at the same time.
	budget *kernel.ByteBudget
}

func (t *connPools) find(name string) *connPool {
	if p, ok := t.byUpstream.Load(name); ok {
		return p.(*connPool)
	}
	return nil
}

// update creates the pools of listed upstreams, unless they have one for the same process,
// and closes the pools of removed upstreams.
func (t *connPools) update(listed []config.Listing, removed []string, now func() time.Duration) {
	for i := range listed {
		l := &listed[i]
		old := t.find(l.Name)
		if old != nil && old.address == l.Address && old.startedMillis == l.StartedMillis {
			continue
		}
		t.byUpstream.Store(l.Name, &connPool{address: l.Address, startedMillis: l.StartedMillis, now: now, account: t.budget.Account()})
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

// replace creates the pools of all listed upstreams and closes all others.
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

// all iterates over the pools and the names of their upstreams.
func (t *connPools) all() func(yield func(string, *connPool) bool) {
	return func(yield func(string, *connPool) bool) {
		t.byUpstream.Range(func(n, p any) bool { return yield(n.(string), p.(*connPool)) })
	}
}

// closeExpired closes the connections that exceed their idle timeout.
func (t *connPools) closeExpired() {
	for _, p := range t.all() {
		p.closeExpired()
	}
}

func (t *connPools) closeAll() {
	for _, p := range t.all() {
		p.close()
	}
}
