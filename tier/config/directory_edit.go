package config

import (
	"cmp"
	"maps"
	"slices"
)

// With returns the directory after a change. What is older than what is known
// has no effect, so changes may arrive twice or out of order. A whole listing
// older than the directory takes nothing away. The second result is false if
// nothing changed but the position.
func (d *Directory) With(c *DirectoryChange) (*Directory, bool) {
	e := newEditor(d, c)
	for _, l := range c.Listed {
		e.list(l)
	}
	removed, resumed := c.Removed, []Removal(nil)
	if c.Whole && !e.next.Position().ahead(c.Position()) {
		removed = slices.Concat(removed, e.next.ImpliedRemovals(c))
		resumed = e.next.ImpliedResumptions(c)
	}
	for _, r := range removed {
		e.remove(r)
	}
	e.evacuate(c, resumed)
	e.next.moveTo(c.Position())
	e.next.forget()
	return e.finish(), d == nil || e.changed
}

// moveTo notes up to where the directory is whole, if that is later.
func (d *Directory) moveTo(at Position) {
	if d.Era > 0 && at.Era == 0 {
		return // the revision may be of any era
	}
	if !d.Position().ahead(at) {
		d.Era, d.Revision = at.Era, at.Revision
	}
}

// emptyDigest is the digest of a directory that lists nothing; 0 is that of none.
const emptyDigest = 1

// forget drops the oldest removals beyond the bound.
func (d *Directory) forget() {
	bound := max(removedLeast, removedPerListed*d.mostListed)
	if d.removed.Len() <= bound {
		return
	}
	byAge := d.removed.Values()
	slices.SortFunc(byAge, func(a, b Removal) int { return a.mark().Compare(b.mark().Position) })
	for _, r := range byAge[:len(byAge)-bound/2] {
		d.removed.Delete(r.Name)
	}
}

// editor makes the next directory from one.
type editor struct {
	next *Directory
	// from is the first era of which entries count: the sender of the change does not
	// know yet that the eras before are over. 0 if all count.
	from uint64
	// touched are the names of which a listing or a removal changed; all is true if
	// that may be any.
	touched []string
	all     bool
	changed bool
}

func newEditor(d *Directory, c *DirectoryChange) *editor {
	e := &editor{next: d.clone()}
	if c.Settled > e.next.Settled {
		e.next.settle(c.Settled)
		e.all = true
	} else if c.Settled < e.next.Settled {
		e.from = e.next.Settled
	}
	return e
}

// clone returns a directory of the same content that its editor may change.
func (d *Directory) clone() *Directory {
	if d == nil {
		return &Directory{digest: emptyDigest, halls: map[string]int{}}
	}
	next := *d
	next.listed, next.removed, next.groups = *d.listed.Copy(), *d.removed.Copy(), *d.groups.Copy()
	next.halls = maps.Clone(d.halls)
	return &next
}

// settle notes that an era is settled. What was copied in it holds from now on, and what
// names no era was known before it.
func (d *Directory) settle(era uint64) {
	d.Settled = era
	for _, l := range d.listed.Values() {
		l.Copied = l.Copied && l.Era > era
		l.Era = cmp.Or(l.Era, era-1)
		d.listed.Set(l.Name, l)
		d.regroup(l.Group, l)
	}
	for _, r := range d.removed.Values() {
		d.removed.Set(r.Name, r.settled(era))
	}
	d.evacuations = d.evacuations.settled(era)
}

// settled is the removal once an era is settled, as Directory.settle does.
func (r Removal) settled(era uint64) Removal {
	r.Era = cmp.Or(r.Era, era-1)
	return r
}

// isOutdated reports whether an entry is of an era that is over.
func (e *editor) isOutdated(m mark) bool { return m.Era > 0 && m.Era < e.from }

func (e *editor) list(l Listing) {
	l.Copied = l.Copied && l.Era > e.next.Settled
	m := l.mark()
	if e.isOutdated(m) {
		return
	}
	if r, removed := e.next.removed.Get(l.Name); removed && !m.replaces(r.mark()) {
		return
	}
	old, known := e.next.listed.Get(l.Name)
	if known && !m.replaces(old.mark()) {
		return
	}
	if known {
		e.drop(old)
	}
	e.add(l)
	e.next.removed.Delete(l.Name)
	rewarmed := old.warmupSteps() != l.warmupSteps()
	old.Warmup = l.Warmup
	e.changed = e.changed || rewarmed || old.content() != l.content()
}

func (e *editor) remove(r Removal) {
	m := r.mark()
	if e.isOutdated(m) {
		return
	}
	before, removed := e.next.removed.Get(r.Name)
	if removed && !m.replaces(before.mark()) {
		return
	}
	old, known := e.next.listed.Get(r.Name)
	if known && !r.endsAt(old.mark()) {
		return
	}
	for _, known := range []mark{old.mark(), before.mark()} {
		if known.born > r.Born || known.born == r.Born && known.sequence > r.Sequence {
			r.Born, r.Sequence = known.born, known.sequence
		}
	}
	e.next.removed.Set(r.Name, r)
	e.touched = append(e.touched, r.Name)
	if !known {
		return
	}
	e.drop(old)
	e.changed = true
}

func (e *editor) add(l Listing) {
	e.touched = append(e.touched, l.Name)
	e.next.listed.Set(l.Name, l)
	e.next.regroup(l.Group, l)
	e.next.digest += l.hash()
	e.next.halls[l.Hall]++
	e.next.mostListed = max(e.next.mostListed, e.next.listed.Len())
}

func (e *editor) drop(l Listing) {
	e.next.listed.Delete(l.Name)
	e.next.ungroup(l.Group, l)
	e.next.digest -= l.hash()
	e.next.halls[l.Hall]--
}

// regroup puts a listing into a group, in place of the one of the same name.
func (d *Directory) regroup(group string, l Listing) {
	members := valueOf(&d.groups, group)
	i, found := slices.BinarySearchFunc(members, l, byName)
	next := slices.Clone(members)
	if found {
		next[i] = l
	} else {
		next = slices.Insert(next, i, l)
	}
	d.groups.Set(group, next)
}

// ungroup takes a listing out of a group.
func (d *Directory) ungroup(group string, l Listing) {
	members := valueOf(&d.groups, group)
	if i, found := slices.BinarySearchFunc(members, l, byName); found {
		d.groups.Set(group, slices.Delete(slices.Clone(members), i, i+1))
	}
}

func (e *editor) finish() *Directory {
	switch {
	case e.all:
		e.next.history = history{}.restart()
	case len(e.touched) > 0 || e.next.history.content == nil:
		e.next.history = e.next.history.append(e.touched)
	}
	return e.next
}

func byName(a, b Listing) int { return cmp.Compare(a.Name, b.Name) }
