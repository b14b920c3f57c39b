package config

import "cmp"

// Position is a place in what the platform has written: a revision of one era. The
// platform begins an era when it comes back from an older copy of itself. What it wrote
// since that copy is gone, and the revisions of these writes are given out again. So a
// position says where something stands, and not how old it is: that holds within one era
// only.
type Position struct {
	// Era rises with each return from a copy; 0 if the platform, or the host that
	// reports the position, names none.
	Era uint64
	// Revision rises with each change within the era; 0 for nothing yet.
	Revision uint64
}

// Compare orders two positions: by era, then by revision. If one of them names no era,
// the revision alone decides, as it did before there were eras.
func (p Position) Compare(other Position) int {
	if !p.sameHistory(other) {
		return cmp.Compare(p.Era, other.Era)
	}
	return cmp.Compare(p.Revision, other.Revision)
}

// sameHistory reports whether the two revisions may be compared.
func (p Position) sameHistory(other Position) bool {
	return p.Era == other.Era || p.Era == 0 || other.Era == 0
}

// refines reports whether p is other with the era that other does not name.
func (p Position) refines(other Position) bool {
	return p.Revision == other.Revision && p.Era > 0 && other.Era == 0
}

// ahead reports whether p is later than other, and other does not name an era that p
// lacks.
func (p Position) ahead(other Position) bool {
	return p.Compare(other) > 0 && (p.Era > 0 || other.Era == 0)
}

// Edition is how new a document is. Its author's own number orders it, whatever the
// platform's history does; a position orders documents whose author gives no number.
type Edition struct {
	// Version is the author's number, which only rises; 0 if there is none.
	Version uint64
	Position
}

// Newer reports whether a document replaces another. The same version at a later
// position does: its author has written it again.
func (e Edition) Newer(other Edition) bool {
	if e.Version > 0 && other.Version > 0 && e.Version != other.Version {
		return e.Version > other.Version
	}
	c := e.Compare(other.Position)
	return c > 0 || c == 0 && (e.refines(other.Position) || e.Version > 0 && other.Version == 0)
}

// mark is how new something known of one name is: of an upstream, or of a hall.
type mark struct {
	Position
	// sequence is the name's own count of what it has reported since born; 0 if there is
	// none.
	sequence uint64
	// copied is true for what may come from the copy that an era began with, so that it
	// may be older than what is known of the era before.
	copied bool
	// born is when the name's process started, in milliseconds since 1970; 0 if it does not
	// say.
	born int64
}

// replaces reports whether what is marked m replaces what is marked old. Of two eras the
// later one counts, but what was copied only if its own count is the greater.
func (m mark) replaces(old mark) bool {
	switch {
	case m.sameHistory(old.Position):
		return m.Compare(old.Position) > 0 || m.refines(old.Position)
	case m.Era > old.Era:
		return !m.copied || m.reportedAfter(old)
	default:
		return old.copied && !old.replaces(m)
	}
}

// reportedAfter reports whether the name's own counts show that it reported m after old: a
// later start counts anew.
func (m mark) reportedAfter(old mark) bool {
	if m.born > 0 && old.born > 0 && m.born != old.born {
		return m.born > old.born
	}
	return old.sequence > 0 && m.sequence > old.sequence
}
