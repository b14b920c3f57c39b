package kernel

import (
	"cmp"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
)

// maxFaultsLogged limits the log lines about the faults of one document.
const maxFaultsLogged = 20

// DocumentState is what a host knows of the published documents.
type DocumentState struct {
	// Index is the active document; nil before the first. Only a newer document
	// replaces it.
	Index *config.Index
	// Newest is the newest edition seen, including refused ones. It never goes back.
	Newest config.Edition
	// Refused is the reason why the newest refused document was refused.
	Refused string
	// Known is the newest edition that this host has seen or that a peer has active. It is
	// newer than the active one while the host still lacks that document or has refused it.
	Known config.Edition
	// Published is the latest position of a document that this host has seen or a peer
	// has reported. It does not decide whether a document is accepted: after the
	// platform was restored from a backup, the active document may be newer than the one
	// at this position.
	Published config.Position
	// Confirmed is true once the platform has confirmed, to this host or to a peer, that
	// the active document is the newest. A host that serves before that could, after a
	// restart, serve an older document than it served before.
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

// Accept activates a published document if it is valid and newer than all documents seen
// before. It runs on the control thread.
func (k *Kernel) Accept(s *State, text string, e config.Edition) {
	if !k.isNewer(s, e) {
		return
	}
	x, err := config.Accept([]byte(text), e)
	if err != nil {
		k.refuse(s, err, e)
		return
	}
	k.activate(s, x)
}

// AcceptTranslation is Accept for a document that an adapter has translated. What of it cannot
// be applied is logged. It runs on the control thread.
func (k *Kernel) AcceptTranslation(s *State, t *config.Translation, e config.Edition) {
	if !k.isNewer(s, e) {
		return
	}
	x := t.Index(e)
	k.reportFaults(x)
	k.activate(s, x)
}

// RefuseDocument records that a published document cannot be used at all. It runs on the
// control thread.
func (k *Kernel) RefuseDocument(s *State, reason error, e config.Edition) {
	if k.isNewer(s, e) {
		k.refuse(s, reason, e)
	}
}

func (k *Kernel) refuse(s *State, reason error, e config.Edition) {
	s.Newest, s.changed = e, true
	s.Refused = fmt.Sprintf("revision %d: %s", e.Revision, reason)
	k.Log.Error().Err(reason).Uint64("Version", e.Version).Uint64("Revision", e.Revision).Msg("document refused")
}

// isNewer records that a document was seen, and reports whether it is newer than all
// documents seen before.
func (k *Kernel) isNewer(s *State, e config.Edition) bool {
	s.NotePublished(e.Position, "")
	s.NoteEdition(e)
	newer := e.Newer(s.Newest)
	if !newer {
		k.logIgnored(s, e)
	}
	return newer
}

func (k *Kernel) activate(s *State, x *config.Index) {
	s.Newest, s.Index, s.changed = x.Edition, x, true
	s.reportEditions()
	k.Log.Info().Uint64("Version", x.Version).Uint64("Era", x.Era).Uint64("Revision", x.Revision).Str("Digest", x.Digest).
		Int("Routes", len(x.Document.Routes)).Int("Faults", len(x.Faults)).Msg("document activated")
}

// reportFaults counts and logs what of a document is not applied.
func (k *Kernel) reportFaults(x *config.Index) {
	metrics.GetOrCreateGauge("loomgap_config_faults", nil).Set(float64(len(x.Faults)))
	for _, f := range x.Faults[:min(len(x.Faults), maxFaultsLogged)] {
		k.Log.Error().Uint64("Version", x.Version).Uint64("Revision", x.Revision).Str("Name", config.Shorten(f.Name)).
			Str("Field", f.Field).Str("Kind", string(f.Kind)).Str("Problem", f.Problem).Str("Remedy", f.Remedy).Msg("part of document not applied")
	}
}

// NoteEdition records an edition that this host has seen or that a peer has active.
func (s *State) NoteEdition(e config.Edition) {
	if !e.Newer(s.Known) {
		return
	}
	s.Known = e
	s.reportEditions()
}

// reportEditions updates the metrics that show whether a newer document is known than the
// active one.
func (s *State) reportEditions() {
	report := func(state string, e config.Edition) {
		metrics.GetOrCreateGauge(`loomgap_config_version{State="`+state+`"}`, nil).Set(float64(cmp.Or(e.Version, e.Revision)))
	}
	report("Active", s.Edition())
	report("Known", s.Known)
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
