package kernel

import (
	"fmt"
	"time"

	"loomgap/tier/config"
)

// DocumentState is what a host knows of the published documents.
type DocumentState struct {
	// Index is the active document; nil before the first. Only a newer document
	// replaces it.
	Index *config.Index
	// Newest is the newest edition seen, including refused ones. It never goes back.
	Newest config.Edition
	// Refused is the reason why the newest refused document was refused.
	Refused string
	// Published is the latest position of a document that this host has seen or a peer
	// has reported. It does not decide whether a document is accepted: after the
	// platform was restored from a copy, the active document may be newer than the one
	// at this position.
	Published config.Position
	// Confirmed is true once this host, or a host that reported to it, has learnt from
	// the platform that the active document is the newest. Without it, a stale platform
	// could make a restarted host serve an older document than it served before.
	Confirmed bool
	// ConfirmedAt is the time of the last confirmation, as time since the process
	// started.
	ConfirmedAt time.Duration
}

// Edition returns the edition of the active document; zero before the first.
func (d *DocumentState) Edition() config.Edition {
	if d.Index == nil {
		return config.Edition{}
	}
	return d.Index.Edition
}

// Confirm records that the active document was the newest at the given time.
func (s *State) Confirm(at time.Duration) {
	s.changed = s.changed || !s.Confirmed
	s.Confirmed, s.ConfirmedAt = true, max(s.ConfirmedAt, at)
}

// NotePublished records the latest document position that a peer reports, and the reason
// if the peer refused that document.
func (s *State) NotePublished(published config.Position, refused string) {
	if published.Compare(s.Published) <= 0 {
		return
	}
	s.Published, s.changed = published, true
	if refused != "" {
		s.Refused = refused
	}
}

// Accept activates a published document if it is valid and newer than any seen before. It
// runs on the control thread.
func (k *Kernel) Accept(s *State, text string, e config.Edition) {
	if k.isNewer(s, e) {
		k.accept(s, text, e)
	}
}

// AcceptDocument does the same as Accept for a document that an adapter has translated.
// Such documents are ordered by their edition alone, so each is treated as based on the
// previous revision. It runs on the control thread.
func (k *Kernel) AcceptDocument(s *State, d *config.Document, e config.Edition) {
	if !k.isNewer(s, e) {
		return
	}
	d.Based = e.Revision - 1
	text, err := config.Encode(d)
	if err != nil {
		k.Log.Error().Err(err).Uint64("Revision", e.Revision).Msg("failed to encode document")
		return
	}
	k.accept(s, string(text), e)
}

// isNewer records that a document was seen, and reports whether it is newer than all
// documents seen before.
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
		Int("Routes", len(x.Document.Routes)).Msg("document activated")
}

// logIgnored logs a document that is older than the newest one seen, so that an operator
// can tell an ignored change from one that was never read.
func (k *Kernel) logIgnored(s *State, e config.Edition) {
	if s.Newest.Newer(e) {
		k.Log.Info().Uint64("Version", e.Version).Uint64("Era", e.Era).Uint64("Revision", e.Revision).
			Uint64("NewestVersion", s.Newest.Version).Uint64("NewestEra", s.Newest.Era).Uint64("Newest", s.Newest.Revision).
			Msg("older document ignored")
	}
}
