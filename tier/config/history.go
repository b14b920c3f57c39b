package config

import "slices"

// editsKept is how many edits a directory remembers: those that use what changed follow
// each view, and fall behind by the changes of one pause between two announcements.
const editsKept = 64

// contentID names what a directory lists and has removed. Directories with the same one
// have the same content; the pointer is all that counts.
type contentID struct{ _ byte }

// edit is one step from a content to the next.
type edit struct {
	from, to *contentID
	// names are those of which a listing or a removal changed.
	names []string
}

// history remembers how a directory came from earlier ones, so that whoever knows one of
// these looks only at what changed since. It does not change.
type history struct {
	content *contentID
	// edits are the last ones, the newest last; the newest leads to content.
	edits []edit
}

// append returns the history after an edit of some names.
func (h history) append(names []string) history {
	next := h.restart()
	kept := h.edits[max(len(h.edits)-editsKept+1, 0):]
	next.edits = append(slices.Clone(kept), edit{from: h.content, to: next.content, names: names})
	return next
}

// restart returns a history that leads from no earlier content.
func (history) restart() history { return history{content: new(contentID)} }

// since returns the names edited after a content; false if that is not remembered.
func (h history) since(old *contentID) ([]string, bool) {
	if old == nil {
		return nil, false
	}
	if old == h.content {
		return nil, true
	}
	var names []string
	for _, e := range slices.Backward(h.edits) {
		names = append(names, e.names...)
		if e.from == old {
			slices.Sort(names)
			return slices.Compact(names), true
		}
	}
	return nil, false
}

// ChangedNames names the upstreams whose listing or removal changed since an earlier
// directory, in order of name; false if it is not known which they are. Evacuations are
// not among them.
func (d *Directory) ChangedNames(old *Directory) ([]string, bool) {
	return d.orEmpty().history.since(old.orEmpty().history.content)
}

// SameEvacuations reports whether the same halls are evacuated in two directories.
func (d *Directory) SameEvacuations(other *Directory) bool {
	return d.orEmpty().evacuations.digest() == other.orEmpty().evacuations.digest()
}
