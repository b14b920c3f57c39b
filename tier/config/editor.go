package config

import (
	"cmp"
	"maps"
	"slices"
)

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
		e.note(&old, -1)
	}
	e.note(&l, 1)
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
	e.note(&old, -1)
	e.changed = true
}

// note adds a listing to the digest, or takes it away, and marks its group.
func (e *editor) note(l *Listing, sign int) {
	e.touched[l.Group] = true
	if sign > 0 {
		e.next.digest += l.hash()
	} else {
		e.next.digest -= l.hash()
	}
}

// finish brings the groups up to date that were touched.
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
