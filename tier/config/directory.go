package config

import (
	"maps"
	"slices"

	"github.com/tidwall/btree"
)

// Directory is the set of listed upstreams at one position. It is immutable; With returns
// the next directory, which shares all unchanged parts, so a change costs what it touches
// and not the size of the directory.
type Directory struct {
	// Era and Revision are the platform's position up to which the directory is complete.
	Era      uint64
	Revision uint64
	// Settled is the newest settled era. An era is settled once the writers have had time to
	// correct the backup that it began with: its entries are authoritative then, and entries
	// of earlier eras are ignored. Settled never decreases.
	Settled uint64
	// removed holds the last removal of each removed name, so that an older listing does
	// not restore it.
	removed btree.Map[string, Removal]
	listed  btree.Map[string, Listing]
	// groups holds the listings by group, each sorted by name. A slice in it is never
	// modified.
	groups btree.Map[string, []Listing]
	// halls counts the listed upstreams by hall; it is never modified.
	halls map[string]int
	// maxListed is the largest number of upstreams ever listed at a time; it bounds the
	// number of removals kept.
	maxListed int
	// digest is the sum of the hashes of all listings, so that a change updates it
	// without a scan.
	digest      uint64
	evacuations evacuations
	history     history
}

// Removal records that an upstream is no longer listed, or a hall no longer evacuated.
type Removal struct {
	Name string
	// Era and Revision are the platform's position of the removal.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// Sequence and StartedMillis are those of the name's last known report; 0 if unknown.
	Sequence      uint64 `json:",omitempty"`
	StartedMillis int64  `json:"Born,omitempty"`
}

func (r *Removal) version() version {
	return version{Position: Position{Era: r.Era, Revision: r.Revision}, startedMillis: r.StartedMillis, sequence: r.Sequence}
}

// DirectoryChange is what changed in the directory up to a position.
type DirectoryChange struct {
	// Era and Revision are the platform's position after the change.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// Settled is the newest era that the sender knows to be settled.
	Settled uint64 `json:",omitempty"`
	// Whole is true if Listed is the complete directory rather than a change.
	Whole   bool `json:",omitempty"`
	Listed  []Listing
	Removed []Removal `json:",omitempty"`
	// Evacuated are the evacuated halls, Resumed those whose evacuation has ended.
	Evacuated []Evacuation `json:",omitempty"`
	Resumed   []Removal    `json:",omitempty"`
}

const (
	// minRemovalsKept is the lower bound of the number of removals that are kept.
	minRemovalsKept = 2000
	// removalsKeptPerUpstream is the number of removals that are kept for each upstream
	// ever listed at a time, so that late entries do not restore removed upstreams even
	// if all upstreams are replaced at once. Beyond that, the oldest half is dropped.
	removalsKeptPerUpstream = 4
)

// Position returns the platform's position up to which the directory is complete.
func (d *Directory) Position() Position {
	d = d.orEmpty()
	return Position{Era: d.Era, Revision: d.Revision}
}

// Unsettled reports whether the directory's era is not settled yet, so that entries of
// earlier eras still count.
func (d *Directory) Unsettled() bool {
	d = d.orEmpty()
	return d.Settled < d.Era
}

// Position returns the platform's position after the change.
func (c *DirectoryChange) Position() Position { return Position{Era: c.Era, Revision: c.Revision} }

// MarkCopied marks all entries as possibly older than those of the previous era, because
// they may come from the backup that the era began with.
func (c *DirectoryChange) MarkCopied() {
	for i := range c.Listed {
		c.Listed[i].Copied = true
	}
	for i := range c.Evacuated {
		c.Evacuated[i].Copied = true
	}
}

// emptyDirectory replaces a nil directory. It must not be modified.
var emptyDirectory Directory

// orEmpty returns the directory, or emptyDirectory if it is nil.
func (d *Directory) orEmpty() *Directory {
	if d == nil {
		return &emptyDirectory
	}
	return d
}

// Group returns the upstreams of a group, sorted by name. The slice must not be modified.
func (d *Directory) Group(name string) []Listing {
	group, _ := d.orEmpty().groups.Get(name)
	return group
}

// Find returns the listing of an upstream and whether it is listed.
func (d *Directory) Find(name string) (Listing, bool) {
	return d.orEmpty().listed.Get(name)
}

// Size returns the number of listed upstreams.
func (d *Directory) Size() int { return d.orEmpty().listed.Len() }

// UpstreamsPerHall counts the listed upstreams by data hall, without the evacuated halls.
func (d *Directory) UpstreamsPerHall() map[string]int {
	out := map[string]int{}
	for hall, n := range d.orEmpty().halls {
		if n > 0 && !d.Evacuated(hall) {
			out[hall] = n
		}
	}
	return out
}

// All returns all listings, sorted by name.
func (d *Directory) All() []Listing {
	if d == nil {
		return nil
	}
	return d.listed.Values()
}

// Whole returns the complete directory as a change that brings another host up to date.
func (d *Directory) Whole() DirectoryChange {
	if d == nil {
		return DirectoryChange{}
	}
	out := d.Since(&emptyDirectory)
	out.Whole, out.Listed = true, d.All()
	return out
}

// Digest returns a hash of the listed upstreams and the evacuated halls. It is equal on
// hosts that know the same of them.
func (d *Directory) Digest() uint64 {
	d = d.orEmpty()
	return d.digest + d.evacuations.digest()
}

// ImpliedRemovals returns the removals that a complete listing implies: those of the
// upstreams that it lacks. Upstreams that are newer than the listing are left out, as are
// those of an earlier era while the era of the listing is not settled.
func (d *Directory) ImpliedRemovals(c *DirectoryChange) []Removal {
	return d.impliedRemovals(c, func(v version) bool { return d.coveredBy(v, c) })
}

// ImpliedRemovalsAllEras is ImpliedRemovals including the upstreams of earlier eras: a
// backup lacks the upstreams that started after it was taken, and they register
// again soon if they are alive.
func (d *Directory) ImpliedRemovalsAllEras(c *DirectoryChange) []Removal {
	return d.impliedRemovals(c, func(v version) bool { return v.Compare(c.Position()) <= 0 })
}

// impliedRemovals returns removals of the upstreams that a complete listing lacks although
// it covers them.
func (d *Directory) impliedRemovals(c *DirectoryChange, covered func(version) bool) []Removal {
	names := make(map[string]bool, len(c.Listed))
	for _, l := range c.Listed {
		names[l.Name] = true
	}
	var out []Removal
	d.orEmpty().listed.Scan(func(n string, l Listing) bool {
		if !names[n] && covered(l.version()) {
			out = append(out, Removal{Name: n, Era: c.Era, Revision: c.Revision})
		}
		return true
	})
	return out
}

// coveredBy reports whether a complete listing would contain an entry of version v if the
// entry still existed. In an era that is not settled, the listing may lack live
// upstreams, because the backup that it comes from is older than their entries.
func (d *Directory) coveredBy(v version, c *DirectoryChange) bool {
	settled := max(d.Settled, c.Settled) >= c.Era
	return v.Compare(c.Position()) <= 0 && (settled || v.sameHistory(c.Position()))
}

// Since returns the changes from an older directory to this one. If ChangedNames knows
// them, the cost depends on the number of changes, otherwise on the size of the
// directory.
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
		if l, listed := d.listed.Get(n); listed && !l.sameReport(valueOrZero(&old.listed, n)) {
			out.Listed = append(out.Listed, l)
		}
		if r := valueOrZero(&d.removed, n); r != valueOrZero(&old.removed, n) && r.Name != "" {
			out.Removed = append(out.Removed, r)
		}
	}
	out.Evacuated = changedEntries(d.evacuations.active, old.evacuations.active)
	out.Resumed = changedEntries(d.evacuations.ended, old.evacuations.ended)
	return out
}

// valueOrZero returns the value of a name, or the zero value if there is none.
func valueOrZero[T any](m *btree.Map[string, T], name string) T {
	v, _ := m.Get(name)
	return v
}

// changedEntries returns the values that differ from those before, sorted by name.
func changedEntries[T comparable](now, before map[string]T) []T {
	var out []T
	for _, n := range slices.Sorted(maps.Keys(now)) {
		if before[n] != now[n] {
			out = append(out, now[n])
		}
	}
	return out
}
