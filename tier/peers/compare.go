package peers

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/kernel"
)

// compareDirectory fetches a peer's directory if it differs and this host cannot read the
// platform itself. It also does so if the two know different eras of the platform's
// history and the peer's is later, or this host's era is not settled yet.
func (g *gossip) compareDirectory(s *kernel.State, now time.Duration, from netip.AddrPort, h *heartbeat) {
	if h.Directory == s.Directory.Digest() {
		return
	}
	era := s.Directory.Position().Era
	switch {
	case s.PlatformDown:
		g.fetcher.fetchDirectory(from)
	case era == 0 || h.DirectoryEra == 0 || h.DirectoryEra == era:
	case h.DirectoryEra > era || s.Directory.Unsettled():
		g.fetcher.fetchDirectoryThrottled(now, from)
	}
}

func (g *gossip) compareEdition(s *kernel.State, now time.Duration, h *heartbeat) {
	if s.Index == nil {
		return
	}
	if h.edition() == s.Edition() && h.Digest != s.Index.Digest {
		metrics.GetOrCreateCounter("loomgap_config_conflicts_total").Inc()
		g.kernel.Log.Error().Uint64("Revision", h.Revision).Msg("peer has a different document of the same revision, publish a new revision")
	}
	if g.confirms(s, h) {
		s.Confirm(now - max(h.ConfirmedAge, 0))
	}
}

// confirms reports whether a heartbeat shows that the document in force is the newest. With
// an adapter, a read of the platform may be stale, so the sender must have the same
// document and know from the platform that it is the newest: otherwise two starting hosts
// would confirm each other's stale read. Without an adapter there is no such knowledge, and
// a peer without a newer document suffices.
func (g *gossip) confirms(s *kernel.State, h *heartbeat) bool {
	if g.kernel.Settings.Adapter == "" {
		return !h.edition().Newer(s.Edition())
	}
	return h.Confirmed && h.ConfirmedAge <= maxConfirmedAge && h.edition() == s.Edition()
}
