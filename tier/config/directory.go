package config

import (
	"maps"
	"slices"

	"github.com/tidwall/btree"
)

// Directory is the set of listed upstreams at one position. It does not change;
// With makes the next one, which shares with it all that stays the same: a change costs
// what it touches, whatever is listed.
type Directory struct {
	// Era and Revision are the platform's position up to which the directory is whole.
	Era      uint64
	Revision uint64
	// Settled is the last era whose beginning is over: what stands in the platform then
	// holds, and what is known of earlier eras counts no more. It only rises.
	Settled uint64
	// removed holds for names that were removed their removal, so that an older listing
	// of the same name does not bring it back.
	removed btree.Map[string, Removal]
	listed  btree.Map[string, Listing]
	// groups holds what is listed by group, each in order of name. A slice in it is
	// never changed.
	groups btree.Map[string, []Listing]
	// halls counts what is listed by hall; it is never changed.
	halls map[string]int
	// mostListed is the greatest number of upstreams that were ever listed; it bounds
	// what is remembered of removed ones.
	mostListed int
	// digest is the sum of the hashes of what is listed, so that a change costs
	// no more than what changed.
	digest      uint64
	evacuations evacuations
	history     history
}

// Removal tells that a name is no longer listed.
type Removal struct {
	Name string
	// Era and Revision are the platform's position of the removal.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// Sequence is the last count of its reports that was known of the name, and Born the
	// start that it counts from; 0 for none.
	Sequence uint64 `json:",omitempty"`
	Born     int64  `json:",omitempty"`
}

func (r *Removal) mark() mark {
	return mark{Position: Position{Era: r.Era, Revision: r.Revision}, born: r.Born, sequence: r.Sequence}
}

// DirectoryChange is what changed in the directory up to a position.
type DirectoryChange struct {
	// Era and Revision are the platform's position after the change.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// Settled is the last era that whoever sends the change knows to be settled.
	Settled uint64 `json:",omitempty"`
	// Whole is true if Listed is the whole directory and not a change.
	Whole   bool `json:",omitempty"`
	Listed  []Listing
	Removed []Removal `json:",omitempty"`
	// Evacuated are the halls that are evacuated, Resumed those that no longer are.
	Evacuated []Evacuation `json:",omitempty"`
	Resumed   []Removal    `json:",omitempty"`
}

const (
	// removedLeast is how many removed names are remembered at least.
	removedLeast = 2000
	// removedPerListed is how many removed names are remembered at the most for each
	// upstream that was ever listed at a time, so that no late entry of one that is gone
	// brings it back though all upstreams are replaced at once. The oldest half is
	// forgotten beyond that.
	removedPerListed = 4
)

// Position is the platform's position up to which the directory is whole.
func (d *Directory) Position() Position {
	d = d.orEmpty()
	return Position{Era: d.Era, Revision: d.Revision}
}

// Unsettled reports whether what is known of an earlier era still counts.
func (d *Directory) Unsettled() bool {
	d = d.orEmpty()
	return d.Settled < d.Era
}

// Position is the platform's position after the change.
func (c *DirectoryChange) Position() Position { return Position{Era: c.Era, Revision: c.Revision} }

// MarkCopied notes of all entries that they may come from the copy that an era began with.
func (c *DirectoryChange) MarkCopied() {
	for i := range c.Listed {
		c.Listed[i].Copied = true
	}
	for i := range c.Evacuated {
		c.Evacuated[i].Copied = true
	}
}

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
	group, _ := d.orEmpty().groups.Get(name)
	return group
}

// Find returns the listing of an upstream; false if it is not listed.
func (d *Directory) Find(name string) (Listing, bool) {
	return d.orEmpty().listed.Get(name)
}

// Size is how many upstreams are listed.
func (d *Directory) Size() int { return d.orEmpty().listed.Len() }

// UpstreamsPerHall counts the upstreams of each data hall that is not evacuated.
func (d *Directory) UpstreamsPerHall() map[string]int {
	out := map[string]int{}
	for hall, n := range d.orEmpty().halls {
		if n > 0 && !d.Evacuated(hall) {
			out[hall] = n
		}
	}
	return out
}

// All lists all upstreams, in order of name.
func (d *Directory) All() []Listing {
	if d == nil {
		return nil
	}
	return d.listed.Values()
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

// ImpliedRemovals returns the removals that would make the directory equal to a whole
// listing, without those that are newer than it, and those of an earlier era that is not
// over.
func (d *Directory) ImpliedRemovals(c *DirectoryChange) []Removal {
	return d.missing(c, func(m mark) bool { return d.coveredBy(m, c) })
}

// ImpliedRemovalsAllEras is Lacking with what is of an earlier era: a copy lacks what started after it,
// and lists it again soon if it lives.
func (d *Directory) ImpliedRemovalsAllEras(c *DirectoryChange) []Removal {
	return d.missing(c, func(m mark) bool { return m.Compare(c.Position()) <= 0 })
}

// missing returns removals of what a whole listing does not have and should.
func (d *Directory) missing(c *DirectoryChange, should func(mark) bool) []Removal {
	names := make(map[string]bool, len(c.Listed))
	for _, l := range c.Listed {
		names[l.Name] = true
	}
	var out []Removal
	d.orEmpty().listed.Scan(func(n string, l Listing) bool {
		if !names[n] && should(l.mark()) {
			out = append(out, Removal{Name: n, Era: c.Era, Revision: c.Revision})
		}
		return true
	})
	return out
}

// coveredBy reports whether a whole listing would have what is marked m, if it were still
// there. One of an era that is not settled may lack what lives: its copy is older.
func (d *Directory) coveredBy(m mark, c *DirectoryChange) bool {
	settled := max(d.Settled, c.Settled) >= c.Era
	return m.Compare(c.Position()) <= 0 && (settled || m.sameHistory(c.Position()))
}

// Since returns what changed from an earlier directory to this one. It costs what
// changed where Touched knows that, else what is listed.
func (d *Directory) Since(old *Directory) DirectoryChange {
	if old == nil || d == nil {
		return d.Whole()
	}
	out := DirectoryChange{Era: d.Era, Revision: d.Revision, Settled: d.Settled}
	names, known := d.ChangedNames(old)
	if !known {
		names = slices.Concat(d.listed.Keys(), d.removed.Keys())
		slices.Sort(names)
		names = slices.Compact(names)
	}
	for _, n := range names {
		if l, listed := d.listed.Get(n); listed && !l.sameReport(valueOf(&old.listed, n)) {
			out.Listed = append(out.Listed, l)
		}
		if r := valueOf(&d.removed, n); r != valueOf(&old.removed, n) && r.Name != "" {
			out.Removed = append(out.Removed, r)
		}
	}
	out.Evacuated = changed(d.evacuations.since, old.evacuations.since)
	out.Resumed = changed(d.evacuations.ended, old.evacuations.ended)
	return out
}

// valueOf is the value of a name; zero if there is none.
func valueOf[T any](m *btree.Map[string, T], name string) T {
	v, _ := m.Get(name)
	return v
}

// changed lists what differs from what was known before, in order of name.
func changed[T comparable](now, before map[string]T) []T {
	var out []T
	for _, n := range slices.Sorted(maps.Keys(now)) {
		if before[n] != now[n] {
			out = append(out, now[n])
		}
	}
	return out
}
