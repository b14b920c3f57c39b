package kernel

import (
	"fmt"

	"loomgap/tier/config"
)

// DocumentState is what a host knows of the published documents.
type DocumentState struct {
	// Index is the document in force; nil before the first. Its revision only rises.
	Index *config.Index
	// Newest is the highest revision seen, refused ones included; it only rises.
	Newest uint64
	// Refused says why the newest refused document was refused.
	Refused string
	// Published is the highest revision seen or reported by a peer; not below
	// Newest. It takes no part in accepting a document.
	Published uint64
	// Confirmed is true once a peer, or a watch of the platform, has shown that there
	// is no newer document than the one in force here. Before that a stale platform
	// could make a host that starts serve an older document than it did before.
	Confirmed bool
}

// Revision is the revision of the document in force; 0 before the first.
func (d *DocumentState) Revision() uint64 {
	if d.Index == nil {
		return 0
	}
	return d.Index.Revision
}

// Confirm notes that there is no newer document than the one in force.
func (s *State) Confirm() {
	s.changed = s.changed || !s.Confirmed
	s.Confirmed = true
}

// NotePublished notes what a peer reports: the highest revision that it knows, and
// why it refused that document, if it did.
func (s *State) NotePublished(published uint64, refused string) {
	if published <= s.Published {
		return
	}
	s.Published, s.changed = published, true
	if refused != "" {
		s.Refused = refused
	}
}

// Accept puts a published document in force if it is newer than the one in force
// and valid. It runs on the control thread.
func (k *Kernel) Accept(s *State, text string, revision uint64) {
	if revision <= s.Newest {
		k.logPassedOver(s, revision)
		return
	}
	x, err := config.Accept([]byte(text), revision)
	s.Newest, s.Published = revision, max(revision, s.Published)
	s.changed = true
	if err != nil {
		s.Refused = fmt.Sprintf("revision %d: %s", revision, err)
		k.Log.Error().Err(err).Uint64("Revision", revision).Msg("document refused")
		return
	}
	s.Index = x
	k.Log.Info().Uint64("Revision", revision).Str("Digest", x.Digest).Int("Routes", len(x.Document.Routes)).Msg("document in force")
}

// AcceptDocument puts a document in force that an adapter has translated. The
// platform orders its documents by revision alone, so each is treated as composed
// from the revision before. It runs on the control thread.
func (k *Kernel) AcceptDocument(s *State, d *config.Document, revision uint64) {
	if revision <= s.Newest {
		k.logPassedOver(s, revision)
		return
	}
	d.Based = revision - 1
	text, err := config.Encode(d)
	if err != nil {
		k.Log.Error().Err(err).Uint64("Revision", revision).Msg("document not encoded")
		return
	}
	k.Accept(s, string(text), revision)
}

// logPassedOver notes a document that is older than the newest one seen. Without it, a
// change that was read and ignored looks like one that was never read.
func (k *Kernel) logPassedOver(s *State, revision uint64) {
	if revision < s.Newest {
		k.Log.Info().Uint64("Revision", revision).Uint64("Newest", s.Newest).Msg("document passed over")
	}
}
