package peers

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/kernel"
)

// compareDirectory fetches the directory of a peer if this host has to learn from peers,
// or if the two know different eras of the platform's history and what the peer knows
// counts: it knows the later era, or the later one is not settled yet.
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
		g.kernel.Log.Error().Uint64("Revision", h.Revision).Msg("a peer holds another document of the same revision: publish a new revision")
	}
	if g.confirms(s, h) {
		s.Confirm(now - max(h.ConfirmedAge, 0))
	}
}

// confirms reports whether a heartbeat shows that the document in force is the newest.
// Where the platform's reads may be old, it does only if its sender has the same one and
// knows from the platform that it is: else two hosts that start confirm one another's old
// read. Without an adapter nothing shows that, and a peer without a newer one has to do.
func (g *gossip) confirms(s *kernel.State, h *heartbeat) bool {
	if g.kernel.Settings.Adapter == "" {
		return !h.edition().Newer(s.Edition())
	}
	return h.Confirmed && h.ConfirmedAge <= maxConfirmedAge && h.edition() == s.Edition()
}
