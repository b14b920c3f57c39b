package peers

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// A platform that is restored from a backup begins another era of its history. The backup
// may list upstreams that have left, lack live ones, and report a leaving one as ready.
// The platform's writers correct that within seconds. Until then the era is unsettled: what a
// full read returns is marked as copied, and what is known of the earlier era takes precedence
// (config.Directory). Upstreams that the backup lacks are held as after an outage
// (removal_hold.go). Then the reader reads everything once more, and the platform's content
// applies.

// settleAfter is the time from a reader's first read of an era until the platform's content
// applies. After a restore, an upstream that is gone stays listed until it has missed three
// status reports, 1.2 s apart; the rest is a margin for a platform that answers late.
const settleAfter = 5 * time.Second

// eraTracker follows the eras of the platform for the host that reads it. All times are
// since the process started.
type eraTracker struct {
	// era is that of the last read; 0 for none.
	era uint64
	// settleAt is when to read the platform once more to settle the era; 0 if that is not
	// needed.
	settleAt time.Duration
	// settling is true while that read is in progress.
	settling bool
}

// begin reports whether it is time for the read that settles the era.
func (e *eraTracker) begin(now time.Duration) bool {
	e.settling = e.settleAt > 0 && now >= e.settleAt
	return e.settling
}

// failed records that a read failed, so that it settles nothing.
func (e *eraTracker) failed() { e.settling = false }

// wait limits the duration of a read so that the era is settled in time.
func (e *eraTracker) wait(now, limit time.Duration) time.Duration {
	if e.settleAt == 0 {
		return limit
	}
	return min(limit, max(e.settleAt-now, 0))
}

// observe records the era of what was read, and marks what may come from the backup that
// the era began with. It reports whether the platform has come back with another history than
// the known one. It runs on the control thread.
func (e *eraTracker) observe(k *kernel.Kernel, s *kernel.State, p *kernel.Published, now time.Duration) (returned bool) {
	era, known := p.Position.Era, s.Directory.Position()
	settles := e.settling && era == e.era
	e.settling = false
	if era != e.era {
		e.era, e.settleAt = era, now+settleAfter
	}
	if returned = known.Era > 0 && era > known.Era; returned {
		logRestored(k, s, p.Position)
	}
	switch {
	case era == 0 || !s.Directory.Unsettled() && s.Directory.Position().Era == era:
		e.settleAt = 0
	case settles:
		e.settleAt = 0
		p.Directory.Settled = era
		backdateDocument(p)
	case p.Directory.Whole:
		p.Directory.MarkCopied()
		backdateDocument(p)
	}
	return returned
}

// backdateDocument assigns a document of a full read to the previous era if it has no
// version: it may come from the backup.
func backdateDocument(p *kernel.Published) {
	if p.Document != nil && p.Edition.Version == 0 && p.Edition.Era > 1 {
		p.Edition.Era--
	}
}

// logRestored logs that the platform came back with another history, and how much of the
// earlier one is known: until when, and up to which position.
func logRestored(k *kernel.Kernel, s *kernel.State, at config.Position) {
	known := s.Directory.Position()
	metrics.GetOrCreateCounter("loomgap_platform_returns_total").Inc()
	k.Log.Warn().Uint64("DirectoryEra", at.Era).Uint64("DirectoryRevision", at.Revision).
		Uint64("KnownEra", known.Era).Uint64("KnownRevision", known.Revision).
		Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).Msg("platform history replaced, new era detected")
}

// logSettled logs what changes once an era is settled.
func logSettled(k *kernel.Kernel, s *kernel.State, c *config.DirectoryChange) {
	k.Log.Info().Uint64("DirectoryEra", c.Era).Uint64("DirectoryRevision", c.Revision).Int("Lacking", len(s.Directory.ImpliedRemovals(c))).
		Int("Resumed", len(s.Directory.ImpliedResumptions(c))).Msg("new platform era settled")
}
