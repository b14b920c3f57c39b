package kernel

import (
	"fmt"
	"time"

	"loomgap/tier/config"
)

// DocumentState is what a host knows of the published documents.
type DocumentState struct {
	// Index is the document in force; nil before the first. It is never replaced by one
	// that is not newer.
	Index *config.Index
	// Newest is the newest edition seen, refused ones included; it only gets newer.
	Newest config.Edition
	// Refused says why the newest refused document was refused.
	Refused string
	// Published is the latest position of a document that was seen, or that a peer
	// reports. It takes no part in accepting a document: after the platform came back
	// from a copy, the document in force may be newer than the one at this position.
	Published config.Position
	// Confirmed is true once the platform has shown, to this host or to one that told it,
	// that there is no newer document than the one in force here. Before that a stale
	// platform could make a host that starts serve an older document than it did before.
	Confirmed bool
	// ConfirmedAt is as of when that was last shown, as time since the process started.
	ConfirmedAt time.Duration
}

// Edition is how new the document in force is; zero before the first.
func (d *DocumentState) Edition() config.Edition {
	if d.Index == nil {
		return config.Edition{}
	}
	return d.Index.Edition
}

// Confirm notes that there was no newer document than the one in force at a time.
func (s *State) Confirm(at time.Duration) {
	s.changed = s.changed || !s.Confirmed
	s.Confirmed, s.ConfirmedAt = true, max(s.ConfirmedAt, at)
}

// NotePublished notes what a peer reports: the latest position that it knows of a
// document, and why it refused that document, if it did.
func (s *State) NotePublished(published config.Position, refused string) {
	if published.Compare(s.Published) <= 0 {
		return
	}
	s.Published, s.changed = published, true
	if refused != "" {
		s.Refused = refused
	}
}

// Accept puts a published document in force if it is newer than the one in force
// and valid. It runs on the control thread.
func (k *Kernel) Accept(s *State, text string, e config.Edition) {
	if k.isNewer(s, e) {
		k.accept(s, text, e)
	}
}

// AcceptDocument puts a document in force that an adapter has translated. What the
// platform publishes is ordered by its edition alone, so each document is treated as
// composed from the revision before. It runs on the control thread.
func (k *Kernel) AcceptDocument(s *State, d *config.Document, e config.Edition) {
	if !k.isNewer(s, e) {
		return
	}
	d.Based = e.Revision - 1
	text, err := config.Encode(d)
	if err != nil {
		k.Log.Error().Err(err).Uint64("Revision", e.Revision).Msg("document not encoded")
		return
	}
	k.accept(s, string(text), e)
}

// isNewer notes that a document was seen, and reports whether it is newer than all seen
// before.
func (k *Kernel) isNewer(s *State, e config.Edition) bool {
	s.NotePublished(e.Position, "")
	newer := e.Newer(s.Newest)
	if !newer {
		k.logIgnored(s, e)
	}
	return newer
}

func (k *Kernel) accept(s *State, text string, e config.Edition) {
	x, err := config.Accept([]byte(text), e)
	s.Newest = e
	s.changed = true
	if err != nil {
		s.Refused = fmt.Sprintf("revision %d: %s", e.Revision, err)
		k.Log.Error().Err(err).Uint64("Revision", e.Revision).Msg("document refused")
		return
	}
	s.Index = x
	k.Log.Info().Uint64("Version", e.Version).Uint64("Era", e.Era).Uint64("Revision", e.Revision).Str("Digest", x.Digest).
		Int("Routes", len(x.Document.Routes)).Msg("document in force")
}

// logIgnored notes a document that is older than the newest one seen. Without it, a
// change that was read and ignored looks like one that was never read.
func (k *Kernel) logIgnored(s *State, e config.Edition) {
	if s.Newest.Newer(e) {
		k.Log.Info().Uint64("Version", e.Version).Uint64("Era", e.Era).Uint64("Revision", e.Revision).
			Uint64("NewestVersion", s.Newest.Version).Uint64("NewestEra", s.Newest.Era).Uint64("Newest", s.Newest.Revision).
			Msg("document passed over")
	}
}
