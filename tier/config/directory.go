package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Listing is one upstream as it listed itself with the platform.
type Listing struct {
	// Name is new for each start of the upstream.
	Name string
	// Group is the group that it belongs to.
	Group string
	// Hall is its data hall; empty if it did not say.
	Hall    string `json:",omitempty"`
	Address netip.AddrPort
	// Slots is how many calls it works on at once.
	Slots int
	// Leaving tells that it gets no new work.
	Leaving bool `json:",omitempty"`
	// Revision is the platform's revision of this entry; above 0.
	Revision uint64
}

// Directory is the set of listed upstreams at one revision. It does not change;
// With makes the next one.
type Directory struct {
	// Revision is the platform's revision up to which the directory is whole.
	Revision uint64
	// removed holds for names that were removed the revision of the removal, so
	// that an older listing of the same name does not bring it back.
	removed map[string]uint64
	listed  map[string]Listing
	groups  map[string][]Listing
	digest  uint64
}

// Removal tells that a name is no longer listed.
type Removal struct {
	Name     string
	Revision uint64
}

// DirectoryChange is what changed in the directory up to a revision.
type DirectoryChange struct {
	// Revision is the platform's revision after the change.
	Revision uint64
	// Whole is true if Listed is the whole directory and not a change.
	Whole   bool `json:",omitempty"`
	Listed  []Listing
	Removed []Removal `json:",omitempty"`
}

// maxRemoved bounds how many removed names are remembered; the oldest are
// forgotten first.
const maxRemoved = 2000

// Group lists the upstreams of a group, in order of name. The slice is not to
// be changed.
func (d *Directory) Group(name string) []Listing {
	if d == nil {
		return nil
	}
	return d.groups[name]
}

// Size is how many upstreams are listed.
func (d *Directory) Size() int {
	if d == nil {
		return 0
	}
	return len(d.listed)
}

// PerHall counts the upstreams of each data hall.
func (d *Directory) PerHall() map[string]int {
	out := map[string]int{}
	if d == nil {
		return out
	}
	for _, l := range d.listed {
		out[l.Hall]++
	}
	return out
}

// All lists all upstreams, in order of name.
func (d *Directory) All() []Listing {
	if d == nil {
		return nil
	}
	out := make([]Listing, 0, len(d.listed))
	for _, l := range d.listed {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Listing) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Whole returns the directory as a change that brings another host to it.
func (d *Directory) Whole() DirectoryChange {
	if d == nil {
		return DirectoryChange{}
	}
	out := DirectoryChange{Revision: d.Revision, Whole: true, Listed: d.All()}
	for n, r := range d.removed {
		out.Removed = append(out.Removed, Removal{Name: n, Revision: r})
	}
	return out
}

// Digest names what is listed. Hosts that know the same of the same upstreams
// have the same digest.
func (d *Directory) Digest() uint64 {
	if d == nil {
		return 0
	}
	return d.digest
}

// Lacking returns the removals that would make the directory equal to a whole
// listing, without those that are newer than it.
func (d *Directory) Lacking(c *DirectoryChange) []Removal {
	if d == nil {
		return nil
	}
	names := make(map[string]bool, len(c.Listed))
	for _, l := range c.Listed {
		names[l.Name] = true
	}
	var out []Removal
	for n, l := range d.listed {
		if !names[n] && l.Revision <= c.Revision {
			out = append(out, Removal{Name: n, Revision: c.Revision})
		}
	}
	return out
}

// Since returns what changed from an earlier directory to this one.
func (d *Directory) Since(old *Directory) DirectoryChange {
	if old == nil || d == nil {
		return d.Whole()
	}
	out := DirectoryChange{Revision: d.Revision}
	for n, l := range d.listed {
		if old.listed[n] != l {
			out.Listed = append(out.Listed, l)
		}
	}
	for n, r := range d.removed {
		if old.removed[n] != r {
			out.Removed = append(out.Removed, Removal{Name: n, Revision: r})
		}
	}
	return out
}

// With returns the directory after a change. What is older than what is known
// has no effect, so changes may arrive twice or out of order. A whole listing
// older than the directory takes nothing away. The second result is false if
// nothing changed but the revision.
func (d *Directory) With(c *DirectoryChange) (*Directory, bool) {
	next := &Directory{listed: map[string]Listing{}, removed: map[string]uint64{}}
	if d != nil {
		next.Revision = d.Revision
		for n, l := range d.listed {
			next.listed[n] = l
		}
		for n, r := range d.removed {
			next.removed[n] = r
		}
	}
	changed := d == nil
	for _, l := range c.Listed {
		changed = next.list(l) || changed
	}
	if c.Whole && c.Revision >= next.Revision {
		for _, r := range next.Lacking(c) {
			changed = next.remove(r) || changed
		}
	}
	for _, r := range c.Removed {
		changed = next.remove(r) || changed
	}
	next.Revision = max(next.Revision, c.Revision)
	next.forget()
	if !changed {
		next.groups, next.digest = d.groups, d.digest
		return next, false
	}
	next.index()
	return next, true
}

func (d *Directory) list(l Listing) bool {
	old, known := d.listed[l.Name]
	if known && old.Revision >= l.Revision || d.removed[l.Name] >= l.Revision {
		return false
	}
	d.listed[l.Name] = l
	delete(d.removed, l.Name)
	old.Revision = l.Revision
	return old != l
}

func (d *Directory) remove(r Removal) bool {
	if d.removed[r.Name] >= r.Revision {
		return false
	}
	l, known := d.listed[r.Name]
	if known && l.Revision > r.Revision {
		return false
	}
	d.removed[r.Name] = r.Revision
	delete(d.listed, r.Name)
	return known
}

// forget drops the oldest removals beyond the bound.
func (d *Directory) forget() {
	if len(d.removed) <= maxRemoved {
		return
	}
	revisions := make([]uint64, 0, len(d.removed))
	for _, r := range d.removed {
		revisions = append(revisions, r)
	}
	slices.Sort(revisions)
	oldest := revisions[len(revisions)-maxRemoved/2]
	for n, r := range d.removed {
		if r < oldest {
			delete(d.removed, n)
		}
	}
}

func (d *Directory) index() {
	d.groups = map[string][]Listing{}
	h := xxhash.New()
	for _, l := range d.All() {
		// A digest takes all that is written.
		_, _ = fmt.Fprintf(h, "%s %s %s %s %d %t\n", l.Name, l.Group, l.Hall, l.Address, l.Slots, l.Leaving)
		d.groups[l.Group] = append(d.groups[l.Group], l)
	}
	d.digest = h.Sum64()
}
