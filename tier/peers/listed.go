package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

// errEmptyDirectory is a peer that knows of no upstreams itself.
var errEmptyDirectory = errors.New("peer has no directory")

// maxDirectory bounds the text of a directory that a peer sends.
const maxDirectory = 8 << 20

// onDirectory gives the listed upstreams to a host that cannot read the
// platform.
func (g *gossip) onDirectory(context.Context, json.RawMessage) (any, error) {
	reply := make(chan config.DirectoryChange, 1)
	g.kernel.Do(func(s *kernel.State) { reply <- s.Directory.Whole() })
	text, err := json.Marshal(<-reply)
	if err != nil {
		return nil, fmt.Errorf("encode directory: %w", err)
	}
	return wire.Pack(0, text)
}

// fetchDirectory learns the listed upstreams from a peer.
func (g *gossip) fetchDirectory(from netip.AddrPort) {
	change, err := g.directoryOf(from)
	if err != nil {
		g.kernel.Log.Info().Err(err).Stringer("Peer", from).Msg("directory not fetched")
	}
	g.kernel.Do(func(s *kernel.State) {
		g.listing = false
		// A host that reads the platform itself knows better.
		if err == nil && (s.FeedDown || !s.Reading) {
			s.List(change)
			g.kernel.Log.Info().Stringer("Peer", from).Uint64("DirectoryRevision", change.Revision).
				Int("Upstreams", s.Directory.Size()).Msg("directory learnt from a peer")
		}
	})
}

func (g *gossip) directoryOf(from netip.AddrPort) (*config.DirectoryChange, error) {
	var packed wire.PackedDocument
	if err := g.node.fetch(from, MethodDirectory, &packed); err != nil {
		return nil, err
	}
	text, err := packed.Unpack(maxDirectory)
	if err != nil {
		return nil, err
	}
	var change config.DirectoryChange
	if err := json.Unmarshal([]byte(text), &change); err != nil {
		return nil, fmt.Errorf("decode directory: %w", err)
	}
	if change.Revision == 0 {
		return nil, errEmptyDirectory
	}
	return &change, nil
}
