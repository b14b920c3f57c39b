package peers

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// A platform that is restored from a backup begins another era of its history. The backup
// may list upstreams that have left, lack live ones, and report a leaving one as ready.
// Operators and upstreams correct that within seconds. Until then the era is unsettled: the
// result of a full read is marked as copied, and entries known from the earlier era take
// precedence (config.Directory). Upstreams that the backup lacks stay listed for a while, as
// after an outage (removal_hold.go). Once settleAfter has passed, the reader reads everything
// again, and the platform's content applies.

// settleAfter is the time from a reader's first read of an era until the platform's content
// applies. After a restore, the platform removes an upstream that has left only after three
// missed status reports, 1.2 s apart; the rest is a margin for late answers.
const settleAfter = 5 * time.Second

// eraTracker follows the eras of the platform for the host that reads it. All times are
// since the process started.
type eraTracker struct {
	// era is the era of the last read; 0 before the first read.
	era uint64
	// settleAt is when to read the platform again to settle the era; 0 if that is not needed.
	settleAt time.Duration
	// settling is true while that read is in progress.
	settling bool
}

// startSettling reports whether it is time for the read that settles the era, and records that
// this read is in progress.
func (e *eraTracker) startSettling(now time.Duration) bool {
	e.settling = e.settleAt > 0 && now >= e.settleAt
	return e.settling
}

// failed records that a read failed, so that it does not settle the era.
func (e *eraTracker) failed() { e.settling = false }

// wait returns how long a read may wait for a change: limit, or less if the era must be settled
// before that.
func (e *eraTracker) wait(now, limit time.Duration) time.Duration {
	if e.settleAt == 0 {
		return limit
	}
	return min(limit, max(e.settleAt-now, 0))
}

// observe records the era of a read, and marks content that may come from the backup with which
// the era began. It reports whether the platform was restored since the last known era. It runs
// on the control thread.
func (e *eraTracker) observe(k *kernel.Kernel, s *kernel.State, p *kernel.Published, now time.Duration) (restored bool) {
	era, known := p.Position.Era, s.Directory.Position()
	settles := e.settling && era == e.era
	e.settling = false
	if era != e.era {
		e.era, e.settleAt = era, now+settleAfter
	}
	if restored = known.Era > 0 && era > known.Era; restored {
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
	return restored
}

// backdateDocument assigns a document without a version to the previous era, since a full read
// may return the document of the backup.
func backdateDocument(p *kernel.Published) {
	if p.Document != nil && p.Edition.Version == 0 && p.Edition.Era > 1 {
		p.Edition.Era--
	}
}

// logRestored logs that the platform was restored, with the known position in the earlier era
// and the time since the last known read.
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
