package config

import "cmp"

// Position is a place in the platform's history: a revision within an era. The platform
// begins a new era when it is restored from a backup. The writes after the backup are lost
// and their revisions are assigned again, so positions order writes by age only within one
// era.
type Position struct {
	// Era increases with each restore; 0 if the platform, or the host that reports the
	// position, does not give one.
	Era uint64
	// Revision increases with each write within the era; 0 before the first.
	Revision uint64
}

// Compare orders two positions by era, then by revision. If one of them has no era, only
// the revisions are compared.
func (p Position) Compare(other Position) int {
	if !p.sameHistory(other) {
		return cmp.Compare(p.Era, other.Era)
	}
	return cmp.Compare(p.Revision, other.Revision)
}

// sameHistory reports whether the two revisions are comparable.
func (p Position) sameHistory(other Position) bool {
	return p.Era == other.Era || p.Era == 0 || other.Era == 0
}

// addsEraTo reports whether p is the same position as other, with the era that other
// lacks.
func (p Position) addsEraTo(other Position) bool {
	return p.Revision == other.Revision && p.Era > 0 && other.Era == 0
}

// ahead reports whether p is later than other and does not lack an era that other has.
func (p Position) ahead(other Position) bool {
	return p.Compare(other) > 0 && (p.Era > 0 || other.Era == 0)
}

// Edition orders documents. The version that the author assigns takes precedence, because
// it does not depend on restores of the platform; the position orders documents without a
// version.
type Edition struct {
	// Version is assigned by the author and only increases; 0 if there is none.
	Version uint64
	Position
}

// Newer reports whether a document replaces another. The same version at a later position
// does, because its author has published it again.
func (e Edition) Newer(other Edition) bool {
	if e.Version > 0 && other.Version > 0 && e.Version != other.Version {
		return e.Version > other.Version
	}
	c := e.Compare(other.Position)
	return c > 0 || c == 0 && (e.addsEraTo(other.Position) || e.Version > 0 && other.Version == 0)
}

// version orders the entries of one name, which is an upstream or a hall.
type version struct {
	Position
	// sequence numbers the reports of the name's process; 0 if there is none.
	sequence uint64
	// copied is true for entries that may come from the backup that their era began with,
	// and so may be older than entries of the previous era.
	copied bool
	// startedMillis is the start time of the name's process, in milliseconds since the Unix
	// epoch; 0 if it is unknown.
	startedMillis int64
}

// replaces reports whether an entry of version v replaces one of version old. The later
// of two eras wins, but a copied entry wins only if it was reported later.
func (v version) replaces(old version) bool {
	switch {
	case v.sameHistory(old.Position):
		return v.Compare(old.Position) > 0 || v.addsEraTo(old.Position)
	case v.Era > old.Era:
		return !v.copied || v.reportedAfter(old)
	default:
		return old.copied && !old.replaces(v)
	}
}

// reportedAfter reports whether, by the name's own count, v was reported after old. A
// later process starts a new count.
func (v version) reportedAfter(old version) bool {
	if v.startedMillis > 0 && old.startedMillis > 0 && v.startedMillis != old.startedMillis {
		return v.startedMillis > old.startedMillis
	}
	return old.sequence > 0 && v.sequence > old.sequence
}
