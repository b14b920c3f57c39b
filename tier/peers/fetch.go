package peers

import (
	"cmp"
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

// Methods by which a host fetches what it lacks from another. They return a
// wire.PackedDocument: with the active document, for a documentRequest, or with the directory
// as a config.DirectoryChange, without parameters.
const (
	methodDocument  = "Document"
	methodDirectory = "Directory"
)

// documentRequest asks for the active document.
type documentRequest struct {
	// Adapter is the name of the adapter of the asking host. It gets the text as the platform
	// published it; one without that adapter gets it in loomgap's own form.
	Adapter string `json:",omitempty"`
}

const (
	// documentMargin is how much larger than the platform's limit a document may be that is
	// fetched from a peer: the platform may have raised its limit since this process started.
	documentMargin = 4
	// packedDocumentFactor is the largest size of a message with a document relative to the
	// document, which may not compress and is encoded in base64.
	packedDocumentFactor = 2
	// maxPlatformDocument is the largest limit of a platform that hosts can follow, in bytes: the
	// length of a message between hosts has 32 bits.
	maxPlatformDocument = 256 << 20
	// maxDirectoryBytes limits the text of a directory that is fetched from a peer.
	maxDirectoryBytes = 8 << 20
	// directoryFetchInterval is the shortest time between two throttled fetches of the
	// directory.
	directoryFetchInterval = 500 * time.Millisecond
	// firstFetchTimeout limits the first attempt of a fetch. A change must take effect within
	// seconds, even at a host all of whose connections have stalled.
	firstFetchTimeout = 500 * time.Millisecond
)

var (
	// errEmptyDirectory is returned if the peer has no directory itself.
	errEmptyDirectory = errors.New("peer has no directory")
	// errNoDocument is returned if the peer has no document itself.
	errNoDocument = errors.New("peer has no document")
	// errOtherAdapter is returned if the peer's document needs an adapter that this host does
	// not have.
	errOtherAdapter = errors.New("peer has another adapter (set the same -Adapter on all hosts)")
)

// fetcher fetches documents and directories from other hosts, one of each at a time, and
// serves them to others.
type fetcher struct {
	kernel *kernel.Kernel
	hosts  addressCaller
	// fetchingDocument and fetchingDirectory are true while a fetch is in progress;
	// directoryFetchedAt is when the last throttled fetch of the directory began, 0 for
	// never. They are used on the control thread.
	fetchingDocument, fetchingDirectory bool
	directoryFetchedAt                  time.Duration
	// onNewDocument is called on the control thread once a fetched document is active.
	onNewDocument func(*kernel.State)

	// documentCache and directoryCache hold the last packed document and directory, since many
	// hosts that start together fetch the same ones.
	documentCache  packCache[*config.Index]
	directoryCache packCache[*config.Directory]
}

// addressCaller calls a method of the host at an address.
type addressCaller interface {
	callAddress(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// packCache caches the packed form of the last value. It is safe for concurrent use.
type packCache[T comparable] struct {
	mu     sync.Mutex
	from   T
	packed wire.PackedDocument
}

// pack returns the packed form of a value. It calls build only if the value has changed.
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

func newFetcher(k *kernel.Kernel, hosts addressCaller, onNewDocument func(*kernel.State)) *fetcher {
	f := &fetcher{kernel: k, hosts: hosts, onNewDocument: onNewDocument}
	kernel.HandleMessage(k, methodDocument, "request for the document", f.onDocument)
	k.Handle(methodDirectory, f.onDirectory)
	return f
}

// fetchDocument starts to fetch the active document of a peer, unless a fetch is in progress.
// It runs on the control thread and does not wait.
func (f *fetcher) fetchDocument(from netip.AddrPort) {
	if f.fetchingDocument {
		return
	}
	f.fetchingDocument = true
	go func() {
		accept, err := f.readDocument(from)
		if err != nil {
			f.kernel.Log.Warn().Err(err).Stringer("Peer", from).Msg("failed to fetch document from peer")
		}
		f.kernel.Do(func(s *kernel.State) {
			f.fetchingDocument = false
			if err != nil {
				return
			}
			before := s.Index
			accept(s)
			if s.Index != before {
				f.onNewDocument(s)
			}
		})
	}()
}

// readDocument fetches the active document of a peer. It returns a function that accepts it,
// to be called on the control thread.
func (f *fetcher) readDocument(from netip.AddrPort) (accept func(*kernel.State), err error) {
	var packed wire.PackedDocument
	request := documentRequest{Adapter: f.kernel.Settings.Adapter}
	if err := fetch(f.hosts, from, methodDocument, request, &packed); err != nil {
		return nil, err
	}
	return f.unpackDocument(&packed)
}

// unpackDocument returns a function that accepts a document. The text is translated before it is
// called, since a large one would hold up the control thread.
func (f *fetcher) unpackDocument(packed *wire.PackedDocument) (accept func(*kernel.State), err error) {
	if packed.Revision == 0 {
		return nil, errNoDocument
	}
	text, err := packed.Unpack(maxDocumentBytes(&f.kernel.Settings))
	if err != nil {
		return nil, err
	}
	edition := config.Edition{Version: packed.Version, Position: config.Position{Era: packed.Era, Revision: packed.Revision}}
	switch packed.Adapter {
	case "":
		return func(s *kernel.State) { f.kernel.Accept(s, string(text), edition) }, nil
	case f.kernel.Settings.Adapter:
		a, err := kernel.FindAdapter(packed.Adapter)
		if err != nil {
			return nil, err
		}
		t, err := a.Translate(text)
		if err != nil {
			return nil, fmt.Errorf("translate document of revision %d: %w", edition.Revision, err)
		}
		return func(s *kernel.State) { f.kernel.AcceptTranslation(s, t, edition) }, nil
	}
	return nil, fmt.Errorf("%w: %s", errOtherAdapter, packed.Adapter)
}

// maxDocumentBytes is the size up to which a document is fetched from a peer.
func maxDocumentBytes(s *kernel.Settings) int64 {
	return documentMargin * min(cmp.Or(s.DocumentBytes, config.MaxBytes), maxPlatformDocument)
}

func (f *fetcher) onDocument(_ context.Context, in *documentRequest) (any, error) {
	x := f.kernel.View().Index
	if x == nil {
		return wire.PackedDocument{}, nil
	}
	if x.Adapter != in.Adapter {
		return packOwnText(x)
	}
	return f.documentCache.pack(x, func(x *config.Index) (wire.PackedDocument, error) {
		return packText(x, x.Text, x.Adapter)
	})
}

// packOwnText packs a document in loomgap's own form.
func packOwnText(x *config.Index) (wire.PackedDocument, error) {
	text, err := x.OwnText()
	if err != nil {
		return wire.PackedDocument{}, err
	}
	return packText(x, text, "")
}

func packText(x *config.Index, text []byte, adapter string) (wire.PackedDocument, error) {
	p, err := wire.Pack(x.Revision, text)
	p.Version, p.Era, p.Adapter = x.Version, x.Era, adapter
	return p, err
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
			if err == nil && (!f.readsItself(s) || s.Directory.Unsettled()) {
				s.ApplyDirectoryChange(change)
				f.kernel.Log.Info().Stringer("Peer", from).Uint64("DirectoryEra", change.Era).Uint64("DirectoryRevision", change.Revision).
					Int("Upstreams", s.Directory.Size()).Msg("directory fetched from peer")
			}
		})
	}()
}

// readsItself reports whether this host reads the platform itself. A reader that has had no answer for
// long does not: the platform may be silent to it.
func (f *fetcher) readsItself(s *kernel.State) bool {
	lately := s.OwnReadAt > 0 && f.kernel.Now()-s.OwnReadAt <= maxReadAge(&f.kernel.Settings)
	return s.Reading && !s.PlatformDown && lately
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
	var packed wire.PackedDocument
	if err := fetch(f.hosts, from, methodDirectory, struct{}{}, &packed); err != nil {
		return nil, err
	}
	text, err := packed.Unpack(maxDirectoryBytes)
	if err != nil {
		return nil, err
	}
	var change config.DirectoryChange
	if err := json.Unmarshal(text, &change); err != nil {
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

// fetch calls a method. If the first attempt times out, its connection may have stalled: the
// second attempt uses a new one.
func fetch(hosts addressCaller, from netip.AddrPort, method string, params, result any) error {
	err := callWithin(hosts, firstFetchTimeout, from, method, params, result)
	if errors.Is(err, context.DeadlineExceeded) {
		err = callWithin(hosts, callTimeout, from, method, params, result)
	}
	return err
}

func callWithin(hosts addressCaller, timeout time.Duration, to netip.AddrPort, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return hosts.callAddress(ctx, to, method, params, result)
}
