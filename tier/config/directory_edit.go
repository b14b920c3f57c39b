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
		removed = slices.Concat(removed, e.next.Lacking(c))
		resumed = e.next.LackingEvacuations(c)
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
	if len(d.removed) <= maxRemoved {
		return
	}
	byAge := slices.SortedFunc(maps.Values(d.removed), func(a, b Removal) int { return a.mark().Compare(b.mark().Position) })
	oldest := byAge[len(byAge)-maxRemoved/2]
	maps.DeleteFunc(d.removed, func(_ string, r Removal) bool { return r.mark().Compare(oldest.mark().Position) < 0 })
}

// editor makes the next directory from one.
type editor struct {
	next *Directory
	// from is the first era of which entries count: the sender of the change does not
	// know yet that the eras before are over. 0 if all count.
	from uint64
	// touched are the groups of which a member changed.
	touched map[string]bool
	changed bool
}

func newEditor(d *Directory, c *DirectoryChange) *editor {
	next := &Directory{
		listed: map[string]Listing{}, removed: map[string]Removal{}, groups: map[string][]Listing{}, digest: emptyDigest,
	}
	if d != nil {
		next.Era, next.Revision, next.Settled = d.Era, d.Revision, d.Settled
		next.digest, next.evacuations = d.digest, d.evacuations
		next.listed, next.removed, next.groups = maps.Clone(d.listed), maps.Clone(d.removed), maps.Clone(d.groups)
	}
	e := &editor{next: next, touched: map[string]bool{}}
	if c.Settled > next.Settled {
		next.settle(c.Settled)
	} else if c.Settled < next.Settled {
		e.from = next.Settled
	}
	return e
}

// settle notes that an era is settled. What was copied in it holds from now on, and what
// names no era was known before it.
func (d *Directory) settle(era uint64) {
	d.Settled = era
	for n, l := range d.listed {
		l.Copied = l.Copied && l.Era > era
		l.Era = cmp.Or(l.Era, era-1)
		d.listed[n] = l
	}
	settleRemovals(d.removed, era)
	d.evacuations = d.evacuations.settled(era)
}

// settleRemovals is settle for removals.
func settleRemovals(removals map[string]Removal, era uint64) {
	for n, r := range removals {
		r.Era = cmp.Or(r.Era, era-1)
		removals[n] = r
	}
}

// isOutdated reports whether an entry is of an era that is over.
func (e *editor) isOutdated(m mark) bool { return m.Era > 0 && m.Era < e.from }

func (e *editor) list(l Listing) {
	l.Copied = l.Copied && l.Era > e.next.Settled
	m := l.mark()
	if e.isOutdated(m) {
		return
	}
	if r, removed := e.next.removed[l.Name]; removed && !m.replaces(r.mark()) {
		return
	}
	old, known := e.next.listed[l.Name]
	if known && !m.replaces(old.mark()) {
		return
	}
	e.next.listed[l.Name] = l
	delete(e.next.removed, l.Name)
	if known {
		e.note(old.Group, -old.hash())
	}
	e.note(l.Group, l.hash())
	rewarmed := old.warmupSteps() != l.warmupSteps()
	old.Warmup = l.Warmup
	e.changed = e.changed || rewarmed || old.content() != l.content()
}

func (e *editor) remove(r Removal) {
	m := r.mark()
	if e.isOutdated(m) {
		return
	}
	if before, removed := e.next.removed[r.Name]; removed && !m.replaces(before.mark()) {
		return
	}
	old, known := e.next.listed[r.Name]
	if known && !r.endsAt(old.mark()) {
		return
	}
	r.Sequence = max(r.Sequence, old.Sequence, e.next.removed[r.Name].Sequence)
	e.next.removed[r.Name] = r
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
