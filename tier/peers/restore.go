package peers

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// A platform that comes back from a copy of itself begins another era of its history. The
// copy may hold upstreams that have left, lack some that live, and say ready of one that
// leaves; whoever writes to the platform puts that right within seconds. Until then the
// era is unsettled: what was read whole counts as copied, and gives way to what is known
// of the era before (config.Directory); what the copy lacks is held as after an absence
// (lapse.go). Then the reader reads everything once more, and what stands in the platform
// holds.

// settleAfter is how long after a reader first read an era what stands in the platform
// holds. An upstream that is gone is listed by a copy for three silent status reports of
// 1.2 s each; the rest is a margin for a platform that answers late.
const settleAfter = 5 * time.Second

// restore follows the eras of the platform for the host that reads it. All times are
// since the process started.
type eraTracker struct {
	// era is that of the last read; 0 for none.
	era uint64
	// settleAt is when the platform is read once more, so that the era is settled; 0 if
	// it need not be.
	settleAt time.Duration
	// settling is true while that read is under way.
	settling bool
}

// begin reports whether it is time for the read that settles the era.
func (r *eraTracker) begin(now time.Duration) bool {
	r.settling = r.settleAt > 0 && now >= r.settleAt
	return r.settling
}

// failed notes that a read failed, so that it settles nothing.
func (r *eraTracker) failed() { r.settling = false }

// wait shortens the time that a read may take so that the era is settled in time.
func (r *eraTracker) wait(now, limit time.Duration) time.Duration {
	if r.settleAt == 0 {
		return limit
	}
	return min(limit, max(r.settleAt-now, 0))
}

// follow notes the era of what was read, and marks in it what may come from the copy
// that the era began with. It reports whether the platform has come back with another
// history than the one known here. It runs on the control thread.
func (r *eraTracker) observe(k *kernel.Kernel, s *kernel.State, p *kernel.Published, now time.Duration) (returned bool) {
	era, known := p.Position.Era, s.Directory.Position()
	settles := r.settling && era == r.era
	r.settling = false
	if era != r.era {
		r.era, r.settleAt = era, now+settleAfter
	}
	if returned = known.Era > 0 && era > known.Era; returned {
		logRestored(k, s, p.Position)
	}
	switch {
	case era == 0 || !s.Directory.Unsettled() && s.Directory.Position().Era == era:
		r.settleAt = 0
	case settles:
		r.settleAt = 0
		p.Directory.Settled = era
		backdateDocument(p)
	case p.Directory.Whole:
		p.Directory.MarkCopied()
		backdateDocument(p)
	}
	return returned
}

// doubtDocument has a document that was read whole count as one of the era before, if its
// author gave it no number: it may come from the copy.
func backdateDocument(p *kernel.Published) {
	if p.Document != nil && p.Edition.Version == 0 && p.Edition.Era > 1 {
		p.Edition.Era--
	}
}

// logReturn notes that the platform came back with another history, and what was known of
// the one before: until when, and up to where.
func logRestored(k *kernel.Kernel, s *kernel.State, at config.Position) {
	known := s.Directory.Position()
	metrics.GetOrCreateCounter("loomgap_platform_returns_total").Inc()
	k.Log.Warn().Uint64("DirectoryEra", at.Era).Uint64("DirectoryRevision", at.Revision).
		Uint64("KnownEra", known.Era).Uint64("KnownRevision", known.Revision).
		Int64("PlatformAgeMillis", (k.Now() - s.PlatformReadAt).Milliseconds()).Msg("platform came back with another history")
}

// logSettled notes what changed once an era is settled.
func logSettled(k *kernel.Kernel, s *kernel.State, c *config.DirectoryChange) {
	k.Log.Info().Uint64("DirectoryEra", c.Era).Uint64("DirectoryRevision", c.Revision).Int("Lacking", len(s.Directory.ImpliedRemovals(c))).
		Int("Resumed", len(s.Directory.ImpliedResumptions(c))).Msg("history settled")
}
