package pass

import (
	"sync"
	"time"

	"loomgap/tier/config"
)

// linkTable holds a link for each listed upstream. It is changed on the control thread,
// one link for each upstream that changed, and safe for concurrent use.
type linkTable struct {
	// links holds a *link by the name of its upstream.
	links sync.Map
}

func (t *linkTable) find(name string) *link {
	if l, ok := t.links.Load(name); ok {
		return l.(*link)
	}
	return nil
}

// update makes the links of upstreams that are listed, unless they have one to the same
// process, and closes those of upstreams that are gone.
func (t *linkTable) update(listed []config.Listing, gone []string, now func() time.Duration) {
	for i := range listed {
		l := &listed[i]
		old := t.find(l.Name)
		if old != nil && old.address == l.Address && old.born == l.Born {
			continue
		}
		t.links.Store(l.Name, &link{address: l.Address, born: l.Born, now: now})
		if old != nil {
			old.close()
		}
	}
	for _, n := range gone {
		if old, ok := t.links.LoadAndDelete(n); ok {
			old.(*link).close()
		}
	}
}

// replace makes the links of all listed upstreams and closes those of all others.
func (t *linkTable) replace(listed []config.Listing, now func() time.Duration) {
	named := make(map[string]bool, len(listed))
	for i := range listed {
		named[listed[i].Name] = true
	}
	var gone []string
	for n := range t.all() {
		if !named[n] {
			gone = append(gone, n)
		}
	}
	t.update(listed, gone, now)
}

// all iterates over the links by the names of their upstreams.
func (t *linkTable) all() func(yield func(string, *link) bool) {
	return func(yield func(string, *link) bool) {
		t.links.Range(func(n, l any) bool { return yield(n.(string), l.(*link)) })
	}
}

// sweep closes connections that were idle for too long.
func (t *linkTable) sweep() {
	for _, l := range t.all() {
		l.sweep()
	}
}

func (t *linkTable) closeAll() {
	for _, l := range t.all() {
		l.close()
	}
}
