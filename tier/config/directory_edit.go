package config

import (
	"cmp"
	"maps"
	"slices"
)

// With returns the directory after a change. Entries that are older than the known ones
// have no effect, so changes may arrive twice or out of order. A complete listing that is
// older than the directory removes nothing. The second result is false if only the
// position changed.
func (d *Directory) With(c *DirectoryChange) (*Directory, bool) {
	e := newEditor(d, c)
	for _, l := range c.Listed {
		e.applyListing(l)
	}
	removed, resumed := c.Removed, []Removal(nil)
	if c.Whole && !e.next.Position().ahead(c.Position()) {
		removed = slices.Concat(removed, e.next.ImpliedRemovals(c))
		resumed = e.next.ImpliedResumptions(c)
	}
	for _, r := range removed {
		e.applyRemoval(r)
	}
	e.applyEvacuations(c, resumed)
	e.next.advanceTo(c.Position())
	e.next.pruneRemovals()
	return e.finish(), d == nil || e.changed
}

// advanceTo sets the position if it is later than the directory's own.
func (d *Directory) advanceTo(at Position) {
	if d.Era > 0 && at.Era == 0 {
		return // the revision may belong to any era
	}
	if !d.Position().ahead(at) {
		d.Era, d.Revision = at.Era, at.Revision
	}
}

// emptyDigest is the digest of an empty directory; a missing directory has 0.
const emptyDigest = 1

// pruneRemovals drops the oldest removals if there are too many.
func (d *Directory) pruneRemovals() {
	bound := max(minRemovalsKept, removalsKeptPerUpstream*d.maxListed)
	if d.removed.Len() <= bound {
		return
	}
	byAge := d.removed.Values()
	slices.SortFunc(byAge, func(a, b Removal) int { return a.version().Compare(b.version().Position) })
	for _, r := range byAge[:len(byAge)-bound/2] {
		d.removed.Delete(r.Name)
	}
}

// editor derives the next directory from a copy of the previous one.
type editor struct {
	next *Directory
	// minEra is the oldest era whose entries count. It is set if the sender of the change
	// does not know yet that the earlier eras are obsolete; 0 if all entries count.
	minEra uint64
	// changedNames are the names whose listing or removal changed; allChanged is true if
	// any may have.
	changedNames []string
	allChanged   bool
	changed      bool
}

func newEditor(d *Directory, c *DirectoryChange) *editor {
	e := &editor{next: d.clone()}
	if c.Settled > e.next.Settled {
		e.next.settle(c.Settled)
		e.allChanged = true
	} else if c.Settled < e.next.Settled {
		e.minEra = e.next.Settled
	}
	return e
}

// clone returns a copy that an editor may modify.
func (d *Directory) clone() *Directory {
	if d == nil {
		return &Directory{digest: emptyDigest, halls: map[string]int{}}
	}
	next := *d
	next.listed, next.removed, next.groups = *d.listed.Copy(), *d.removed.Copy(), *d.groups.Copy()
	next.halls = maps.Clone(d.halls)
	return &next
}

// settle marks an era as settled. Copied entries are authoritative from then on, and
// entries without an era are assigned to the era before.
func (d *Directory) settle(era uint64) {
	d.Settled = era
	for _, l := range d.listed.Values() {
		l.Copied = l.Copied && l.Era > era
		l.Era = cmp.Or(l.Era, era-1)
		d.listed.Set(l.Name, l)
		d.putInGroup(l.Group, l)
	}
	for _, r := range d.removed.Values() {
		d.removed.Set(r.Name, r.settled(era))
	}
	d.evacuations = d.evacuations.settled(era)
}

// settled returns the removal after an era is settled; see Directory.settle.
func (r Removal) settled(era uint64) Removal {
	r.Era = cmp.Or(r.Era, era-1)
	return r
}

// isOutdated reports whether an entry belongs to an obsolete era.
func (e *editor) isOutdated(v version) bool { return v.Era > 0 && v.Era < e.minEra }

func (e *editor) applyListing(l Listing) {
	l.Copied = l.Copied && l.Era > e.next.Settled
	v := l.version()
	if e.isOutdated(v) {
		return
	}
	if r, removed := e.next.removed.Get(l.Name); removed && !v.replaces(r.version()) {
		return
	}
	old, known := e.next.listed.Get(l.Name)
	if known && !v.replaces(old.version()) {
		return
	}
	if known {
		e.removeListing(old)
	}
	e.addListing(l)
	e.next.removed.Delete(l.Name)
	rewarmed := old.warmupSteps() != l.warmupSteps()
	old.Warmup = l.Warmup
	e.changed = e.changed || rewarmed || old.content() != l.content()
}

func (e *editor) applyRemoval(r Removal) {
	v := r.version()
	if e.isOutdated(v) {
		return
	}
	before, removed := e.next.removed.Get(r.Name)
	if removed && !v.replaces(before.version()) {
		return
	}
	old, known := e.next.listed.Get(r.Name)
	if known && !r.appliesTo(old.version()) {
		return
	}
	// The removal keeps the newest known report, so that an older report in a backup does
	// not list the upstream again.
	for _, known := range []version{old.version(), before.version()} {
		if known.startedMillis > r.StartedMillis || known.startedMillis == r.StartedMillis && known.sequence > r.Sequence {
			r.StartedMillis, r.Sequence = known.startedMillis, known.sequence
		}
	}
	e.next.removed.Set(r.Name, r)
	e.changedNames = append(e.changedNames, r.Name)
	if !known {
		return
	}
	e.removeListing(old)
	e.changed = true
}

func (e *editor) addListing(l Listing) {
	e.changedNames = append(e.changedNames, l.Name)
	e.next.listed.Set(l.Name, l)
	e.next.putInGroup(l.Group, l)
	e.next.digest += l.hash()
	e.next.halls[l.Hall]++
	e.next.maxListed = max(e.next.maxListed, e.next.listed.Len())
}

func (e *editor) removeListing(l Listing) {
	e.next.listed.Delete(l.Name)
	e.next.removeFromGroup(l.Group, l)
	e.next.digest -= l.hash()
	e.next.halls[l.Hall]--
}

// putInGroup adds a listing to a group or replaces the one of the same name.
func (d *Directory) putInGroup(group string, l Listing) {
	members := valueOrZero(&d.groups, group)
	i, found := slices.BinarySearchFunc(members, l, byName)
	next := slices.Clone(members)
	if found {
		next[i] = l
	} else {
		next = slices.Insert(next, i, l)
	}
	d.groups.Set(group, next)
}

// removeFromGroup removes a listing from a group.
func (d *Directory) removeFromGroup(group string, l Listing) {
	members := valueOrZero(&d.groups, group)
	if i, found := slices.BinarySearchFunc(members, l, byName); found {
		d.groups.Set(group, slices.Delete(slices.Clone(members), i, i+1))
	}
}

func (e *editor) finish() *Directory {
	switch {
	case e.allChanged:
		e.next.history = history{}.reset()
	case len(e.changedNames) > 0 || e.next.history.content == nil:
		e.next.history = e.next.history.append(e.changedNames)
	}
	return e.next
}

func byName(a, b Listing) int { return cmp.Compare(a.Name, b.Name) }
