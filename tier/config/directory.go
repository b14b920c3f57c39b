package config

import (
	"cmp"
	"maps"
	"slices"
)

// Directory is the set of listed upstreams at one revision. It does not change;
// With makes the next one.
type Directory struct {
	// Revision is the platform's revision up to which the directory is whole.
	Revision uint64
	// removed holds for names that were removed the revision of the removal, so
	// that an older listing of the same name does not bring it back.
	removed map[string]uint64
	listed  map[string]Listing
	// groups holds what is listed by group, each in order of name.
	groups map[string][]Listing
	// digest is the sum of the hashes of what is listed, so that a change costs
	// no more than what changed.
	digest      uint64
	evacuations evacuations
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
	// Evacuated are the halls that are evacuated, Resumed those that no longer are.
	Evacuated []Evacuation `json:",omitempty"`
	Resumed   []Removal    `json:",omitempty"`
}

// maxRemoved bounds how many removed names are remembered; the oldest half is forgotten
// when there are more. Not measured.
const maxRemoved = 2000

// nothing is what a host knows that has no directory yet. It is not changed.
var nothing Directory

// orEmpty is the directory, or one that lists nothing where there is none.
func (d *Directory) orEmpty() *Directory {
	if d == nil {
		return &nothing
	}
	return d
}

// Group lists the upstreams of a group, in order of name. The slice is not to
// be changed.
func (d *Directory) Group(name string) []Listing {
	return d.orEmpty().groups[name]
}

// Find returns the listing of an upstream; false if it is not listed.
func (d *Directory) Find(name string) (Listing, bool) {
	l, listed := d.orEmpty().listed[name]
	return l, listed
}

// Size is how many upstreams are listed.
func (d *Directory) Size() int { return len(d.orEmpty().listed) }

// PerHall counts the upstreams of each data hall that is not evacuated.
func (d *Directory) PerHall() map[string]int {
	out := map[string]int{}
	for _, l := range d.orEmpty().listed {
		if !d.Evacuated(l.Hall) {
			out[l.Hall]++
		}
	}
	return out
}

// All lists all upstreams, in order of name.
func (d *Directory) All() []Listing {
	if d == nil {
		return nil
	}
	out := slices.AppendSeq(make([]Listing, 0, len(d.listed)), maps.Values(d.listed))
	slices.SortFunc(out, byName)
	return out
}

// Whole returns the directory as a change that brings another host to it.
func (d *Directory) Whole() DirectoryChange {
	if d == nil {
		return DirectoryChange{}
	}
	out := d.Since(&nothing)
	out.Whole, out.Listed = true, d.All()
	return out
}

// Digest names what is listed, and the halls that are evacuated. Hosts that know
// the same of the same upstreams and halls have the same digest.
func (d *Directory) Digest() uint64 {
	d = d.orEmpty()
	return d.digest + d.evacuations.digest()
}

// Lacking returns the removals that would make the directory equal to a whole
// listing, without those that are newer than it.
func (d *Directory) Lacking(c *DirectoryChange) []Removal {
	names := make(map[string]bool, len(c.Listed))
	for _, l := range c.Listed {
		names[l.Name] = true
	}
	var out []Removal
	for n, l := range d.orEmpty().listed {
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
	for _, r := range newer(d.evacuations.since, old.evacuations.since) {
		out.Evacuated = append(out.Evacuated, Evacuation{Hall: r.Name, Revision: r.Revision})
	}
	out.Resumed = newer(d.evacuations.ended, old.evacuations.ended)
	out.Removed = newer(d.removed, old.removed)
	return out
}

// newer lists the names whose revision is not an older one's, in order of name.
func newer(revisions, older map[string]uint64) []Removal {
	var out []Removal
	for n, r := range revisions {
		if older[n] != r {
			out = append(out, Removal{Name: n, Revision: r})
		}
	}
	slices.SortFunc(out, func(a, b Removal) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// With returns the directory after a change. What is older than what is known
// has no effect, so changes may arrive twice or out of order. A whole listing
// older than the directory takes nothing away. The second result is false if
// nothing changed but the revision.
func (d *Directory) With(c *DirectoryChange) (*Directory, bool) {
	e := newEditor(d)
	for _, l := range c.Listed {
		e.list(l)
	}
	whole := c.Whole && c.Revision >= e.next.Revision
	if whole {
		for _, r := range e.next.Lacking(c) {
			e.remove(r)
		}
	}
	for _, r := range c.Removed {
		e.remove(r)
	}
	evacuated, moved := e.next.evacuations.next(c, whole)
	e.next.evacuations, e.changed = evacuated, e.changed || moved
	e.next.Revision = max(e.next.Revision, c.Revision)
	e.next.forget()
	return e.finish(), d == nil || e.changed
}

// emptyDigest is the digest of a directory that lists nothing; 0 is that of none.
const emptyDigest = 1

// forget drops the oldest removals beyond the bound.
func (d *Directory) forget() {
	if len(d.removed) <= maxRemoved {
		return
	}
	revisions := slices.Sorted(maps.Values(d.removed))
	oldest := revisions[len(revisions)-maxRemoved/2]
	maps.DeleteFunc(d.removed, func(_ string, r uint64) bool { return r < oldest })
}

// editor makes the next directory from one.
type editor struct {
	next *Directory
	// touched are the groups of which a member changed.
	touched map[string]bool
	changed bool
}

func newEditor(d *Directory) *editor {
	next := &Directory{
		listed: map[string]Listing{}, removed: map[string]uint64{}, groups: map[string][]Listing{}, digest: emptyDigest,
	}
	if d != nil {
		next.Revision, next.digest, next.evacuations = d.Revision, d.digest, d.evacuations
		next.listed, next.removed, next.groups = maps.Clone(d.listed), maps.Clone(d.removed), maps.Clone(d.groups)
	}
	return &editor{next: next, touched: map[string]bool{}}
}

func (e *editor) list(l Listing) {
	old, known := e.next.listed[l.Name]
	if known && old.Revision >= l.Revision || e.next.removed[l.Name] >= l.Revision {
		return
	}
	e.next.listed[l.Name] = l
	delete(e.next.removed, l.Name)
	if known {
		e.note(old.Group, -old.hash())
	}
	e.note(l.Group, l.hash())
	rewarmed := old.warmupSteps() != l.warmupSteps()
	old.Revision, old.Warmup = l.Revision, l.Warmup
	e.changed = e.changed || rewarmed || old != l
}

func (e *editor) remove(r Removal) {
	if e.next.removed[r.Name] >= r.Revision {
		return
	}
	old, known := e.next.listed[r.Name]
	if known && old.Revision > r.Revision {
		return
	}
	e.next.removed[r.Name] = r.Revision
	if !known {
		return
	}
	delete(e.next.listed, r.Name)
	e.note(old.Group, -old.hash())
	e.changed = true
}

// note adds the hash of a listing to the digest, or takes it away, and marks the group.
func (e *editor) note(group string, hash uint64) {
	e.touched[group] = true
	e.next.digest += hash
}

func (e *editor) finish() *Directory {
	if len(e.touched) == 0 {
		return e.next
	}
	for g := range e.touched {
		delete(e.next.groups, g)
	}
	for _, l := range e.next.listed {
		if e.touched[l.Group] {
			e.next.groups[l.Group] = append(e.next.groups[l.Group], l)
		}
	}
	for g := range e.touched {
		slices.SortFunc(e.next.groups[g], byName)
	}
	return e.next
}

func byName(a, b Listing) int { return cmp.Compare(a.Name, b.Name) }
