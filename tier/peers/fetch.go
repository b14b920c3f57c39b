package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

// Methods by which a host gets from another what it lacks. They have no parameters and
// are answered by a wire.PackedDocument: the document in force, or the directory as a
// config.DirectoryChange.
const (
	methodDocument  = "Document"
	methodDirectory = "Directory"
)

const (
	// maxDirectory is the most bytes of text that a directory of a peer may have.
	maxDirectoryBytes = 8 << 20
	// directoryAgain is how long a host waits, after it asked for the directory on an
	// announcement, until it does so again.
	directoryFetchInterval = 500 * time.Millisecond
	// firstFetchBound is how long the first try of a fetch may take. A change must be in
	// force within seconds, also at a host whose connections have all gone silent.
	firstFetchTimeout = 500 * time.Millisecond
)

// errEmptyDirectory is the answer of a peer that has no directory itself.
var errEmptyDirectory = errors.New("peer has no directory")

// fetches gets documents and directories from other hosts, one of each at a time, and
// serves them to others.
type fetcher struct {
	kernel *kernel.Kernel
	node   *node
	// document and directory are true while one is being fetched; directoryAt is when
	// a directory was last fetched on an announcement, 0 for never. They are used on
	// the control thread.
	fetchingDocument, fetchingDirectory bool
	directoryFetchedAt                  time.Duration
	// newer is called on the control thread once a fetched document is in force.
	onNewDocument func(*kernel.State)

	// documents and directories hold what was last packed for a peer: where many hosts
	// start, each asks for the same.
	documentCache  packCache[*config.Index]
	directoryCache packCache[*config.Directory]
}

// packing is the packed form of what was last sent to a peer. It is safe for concurrent
// use.
type packCache[T comparable] struct {
	mu     sync.Mutex
	from   T
	packed wire.PackedDocument
}

// pack returns the packed form of a value, which it makes unless the value is the same as
// the last time.
func (p *packCache[T]) pack(from T, make func(T) (wire.PackedDocument, error)) (wire.PackedDocument, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.from == from {
		return p.packed, nil
	}
	packed, err := make(from)
	if err != nil {
		return wire.PackedDocument{}, err
	}
	p.from, p.packed = from, packed
	return packed, nil
}

func newFetcher(k *kernel.Kernel, n *node, onNewDocument func(*kernel.State)) *fetcher {
	f := &fetcher{kernel: k, node: n, onNewDocument: onNewDocument}
	k.Handle(methodDocument, f.onDocument)
	k.Handle(methodDirectory, f.onDirectory)
	return f
}

// fetchDocument gets the document in force at a peer, unless one is being fetched. It
// runs on the control thread and does not wait.
func (f *fetcher) fetchDocument(from netip.AddrPort) {
	if f.fetchingDocument {
		return
	}
	f.fetchingDocument = true
	go func() {
		text, edition, err := f.read(from, methodDocument, config.MaxBytes)
		if err != nil {
			f.kernel.Log.Warn().Err(err).Msg("document not fetched")
		}
		f.kernel.Do(func(s *kernel.State) {
			f.fetchingDocument = false
			if err != nil {
				return
			}
			before := s.Index
			f.kernel.Accept(s, text, edition)
			if s.Index != before {
				f.onNewDocument(s)
			}
		})
	}()
}

// read gets a text of at most limit bytes from a peer.
func (f *fetcher) read(from netip.AddrPort, method string, limit int64) (text string, edition config.Edition, err error) {
	var packed wire.PackedDocument
	if err := f.node.fetch(from, method, &packed); err != nil {
		return "", config.Edition{}, err
	}
	text, err = packed.Unpack(limit)
	at := config.Position{Era: packed.Era, Revision: packed.Revision}
	return text, config.Edition{Version: packed.Version, Position: at}, err
}

func (f *fetcher) onDocument(context.Context, json.RawMessage) (any, error) {
	x := f.kernel.View().Index
	if x == nil {
		return wire.PackedDocument{}, nil
	}
	return f.documentCache.pack(x, func(x *config.Index) (wire.PackedDocument, error) {
		p, err := wire.Pack(x.Revision, x.Text)
		p.Version, p.Era = x.Version, x.Era
		return p, err
	})
}

// fetchDirectory gets the directory of a peer, unless one is being fetched. It runs on
// the control thread and does not wait.
func (f *fetcher) fetchDirectory(from netip.AddrPort) {
	if f.fetchingDirectory {
		return
	}
	f.fetchingDirectory = true
	go func() {
		change, err := f.readDirectory(from)
		if err != nil {
			f.kernel.Log.Info().Err(err).Stringer("Peer", from).Msg("directory not fetched")
		}
		f.kernel.Do(func(s *kernel.State) {
			f.fetchingDirectory = false
			// A host that reads the platform itself knows better, unless the platform
			// may have come back from a copy that is older than what the peer knows.
			if err == nil && (s.PlatformDown || !s.Reading || s.Directory.Unsettled()) {
				s.ApplyDirectoryChange(change)
				f.kernel.Log.Info().Stringer("Peer", from).Uint64("DirectoryEra", change.Era).Uint64("DirectoryRevision", change.Revision).
					Int("Upstreams", s.Directory.Size()).Msg("directory learnt from a peer")
			}
		})
	}()
}

// fetchDirectoryAgain is fetchDirectory, but not again within directoryAgain.
func (f *fetcher) fetchDirectoryThrottled(now time.Duration, from netip.AddrPort) {
	if f.fetchingDirectory || f.directoryFetchedAt > 0 && now-f.directoryFetchedAt < directoryFetchInterval {
		return
	}
	f.directoryFetchedAt = now
	f.fetchDirectory(from)
}

func (f *fetcher) readDirectory(from netip.AddrPort) (*config.DirectoryChange, error) {
	text, _, err := f.read(from, methodDirectory, maxDirectoryBytes)
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

func (f *fetcher) onDirectory(context.Context, json.RawMessage) (any, error) {
	var d *config.Directory
	f.kernel.DoAndWait(func(s *kernel.State) { d = s.Directory })
	if d == nil {
		return packDirectory(nil)
	}
	return f.directoryCache.pack(d, packDirectory)
}

func packDirectory(d *config.Directory) (wire.PackedDocument, error) {
	text, err := json.Marshal(d.Whole())
	if err != nil {
		return wire.PackedDocument{}, fmt.Errorf("encode directory: %w", err)
	}
	return wire.Pack(0, text)
}

// fetch calls a method without parameters. If the first try gets no answer, its
// connection may have gone silent: the second is then made on another.
func (n *node) fetch(from netip.AddrPort, method string, result any) error {
	err := n.callWithin(firstFetchTimeout, from, method, struct{}{}, result)
	if errors.Is(err, context.DeadlineExceeded) {
		err = n.callWithin(callTimeout, from, method, struct{}{}, result)
	}
	return err
}

func (n *node) callWithin(bound time.Duration, to netip.AddrPort, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	return n.callAddress(ctx, to, method, params, result)
}
