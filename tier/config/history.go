package config

import "slices"

// maxEdits is the number of edits that a directory remembers. Readers fall behind by no
// more than the changes between two announcements.
const maxEdits = 64

// contentID identifies the listings and removals of a directory. Equal pointers mean
// equal content.
type contentID struct{ _ byte }

// edit is one step from a content to the next.
type edit struct {
	from, to *contentID
	// names are those whose listing or removal changed.
	names []string
}

// history records how a directory was derived from earlier ones, so that a reader that
// knows one of these looks only at the names that changed since. It is immutable.
type history struct {
	content *contentID
	// edits are sorted from oldest to newest; the newest leads to content.
	edits []edit
}

// append returns the history after an edit of some names.
func (h history) append(names []string) history {
	next := h.reset()
	kept := h.edits[max(len(h.edits)-maxEdits+1, 0):]
	next.edits = append(slices.Clone(kept), edit{from: h.content, to: next.content, names: names})
	return next
}

// reset returns a history that leads from no earlier content.
func (history) reset() history { return history{content: new(contentID)} }

// since returns the names that were edited after a content; false if the content is not
// in the history.
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

// ChangedNames returns the upstreams whose listing or removal changed since an older
// directory, sorted by name; false if they are not known. Evacuations are not included.
func (d *Directory) ChangedNames(old *Directory) ([]string, bool) {
	return d.orEmpty().history.since(old.orEmpty().history.content)
}

// SameEvacuations reports whether the same halls are evacuated in two directories.
func (d *Directory) SameEvacuations(other *Directory) bool {
	return d.orEmpty().evacuations.digest() == other.orEmpty().evacuations.digest()
}
