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

// Methods by which a host fetches what it lacks from another. They have no parameters and
// return a wire.PackedDocument: the document in force, or the directory as a
// config.DirectoryChange.
const (
	methodDocument  = "Document"
	methodDirectory = "Directory"
)

const (
	// maxDirectoryBytes limits the text of a directory that is fetched from a peer.
	maxDirectoryBytes = 8 << 20
	// directoryFetchInterval is the shortest time between two throttled fetches of the
	// directory.
	directoryFetchInterval = 500 * time.Millisecond
	// firstFetchTimeout limits the first attempt of a fetch. A change must be in force within
	// seconds, also at a host all of whose connections have stalled.
	firstFetchTimeout = 500 * time.Millisecond
)

// errEmptyDirectory reports a peer that has no directory itself.
var errEmptyDirectory = errors.New("peer has no directory")

// fetcher fetches documents and directories from other hosts, one of each at a time, and
// serves them to others.
type fetcher struct {
	kernel *kernel.Kernel
	node   *node
	// fetchingDocument and fetchingDirectory are true while a fetch is in progress;
	// directoryFetchedAt is when the last throttled fetch of the directory began, 0 for
	// never. They are used on the control thread.
	fetchingDocument, fetchingDirectory bool
	directoryFetchedAt                  time.Duration
	// onNewDocument is called on the control thread once a fetched document is in force.
	onNewDocument func(*kernel.State)

	// documentCache and directoryCache hold what was last packed for a peer: when many hosts
	// start, each asks for the same.
	documentCache  packCache[*config.Index]
	directoryCache packCache[*config.Directory]
}

// packCache caches the packed form of the last value. It is safe for concurrent use.
type packCache[T comparable] struct {
	mu     sync.Mutex
	from   T
	packed wire.PackedDocument
}

// pack returns the packed form of a value, and makes it only if the value has changed.
func (p *packCache[T]) pack(from T, build func(T) (wire.PackedDocument, error)) (wire.PackedDocument, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.from == from {
		return p.packed, nil
	}
	packed, err := build(from)
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

// fetchDocument starts to fetch the document in force at a peer, unless a fetch is in
// progress. It runs on the control thread and does not wait.
func (f *fetcher) fetchDocument(from netip.AddrPort) {
	if f.fetchingDocument {
		return
	}
	f.fetchingDocument = true
	go func() {
		text, edition, err := f.read(from, methodDocument, config.MaxBytes)
		if err != nil {
			f.kernel.Log.Warn().Err(err).Msg("failed to fetch document from peer")
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

// read fetches a text of at most limit bytes from a peer.
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

// fetchDirectory starts to fetch the directory of a peer, unless a fetch is in progress. It
// runs on the control thread and does not wait.
func (f *fetcher) fetchDirectory(from netip.AddrPort) {
	if f.fetchingDirectory {
		return
	}
	f.fetchingDirectory = true
	go func() {
		change, err := f.readDirectory(from)
		if err != nil {
			f.kernel.Log.Info().Err(err).Stringer("Peer", from).Msg("failed to fetch directory from peer")
		}
		f.kernel.Do(func(s *kernel.State) {
			f.fetchingDirectory = false
			// What this host reads from the platform itself takes precedence, unless the
			// platform may have been restored from a backup older than the peer's directory.
			if err == nil && (s.PlatformDown || !s.Reading || s.Directory.Unsettled()) {
				s.ApplyDirectoryChange(change)
				f.kernel.Log.Info().Stringer("Peer", from).Uint64("DirectoryEra", change.Era).Uint64("DirectoryRevision", change.Revision).
					Int("Upstreams", s.Directory.Size()).Msg("directory fetched from peer")
			}
		})
	}()
}

// fetchDirectoryThrottled is fetchDirectory at most once per directoryFetchInterval.
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

// fetch calls a method without parameters. If the first attempt times out, its connection
// may have stalled: the second attempt uses a new one.
func (n *node) fetch(from netip.AddrPort, method string, result any) error {
	err := n.callWithin(firstFetchTimeout, from, method, struct{}{}, result)
	if errors.Is(err, context.DeadlineExceeded) {
		err = n.callWithin(callTimeout, from, method, struct{}{}, result)
	}
	return err
}

func (n *node) callWithin(timeout time.Duration, to netip.AddrPort, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return n.callAddress(ctx, to, method, params, result)
}
