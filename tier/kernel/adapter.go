package kernel

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"loomgap/tier/config"
)

// Errors of sources.
var (
	// ErrHistoryGone is wrapped when a source no longer has the changes after a
	// position. The caller must read everything again.
	ErrHistoryGone = errors.New("change history is no longer available")
	// ErrStaleEra is wrapped when a source answered from an earlier era than the requested
	// one, that is, from before it was restored from a backup. The caller must drop the
	// answer and retry.
	ErrStaleEra = errors.New("answer from an earlier era")
	// ErrNoAdapter is wrapped when no adapter is registered under a name.
	ErrNoAdapter = errors.New("no such adapter")
)

// Published is the content that a platform publishes, or a change of it.
type Published struct {
	// Position is the platform's position up to which the content is complete. Its revision
	// can be compared only with revisions of the same era.
	Position config.Position
	// Document is the newest document; nil if it did not change, does not exist yet, or could
	// not be translated.
	Document *config.Translation
	// Edition is the edition of Document, or of the document that could not be translated.
	Edition config.Edition
	// DocumentError is why a document could not be translated at all; nil if there is none.
	DocumentError error
	// Directory is the change of the directory.
	Directory config.DirectoryChange
	// Problems are the errors of the entries that could not be parsed and were
	// skipped.
	Problems []error
}

// Source reads what a platform publishes. It is used by one goroutine.
type Source interface {
	// Read returns everything that is published, all of one era. Unless consistent is set,
	// the result may be stale by a few seconds.
	Read(ctx context.Context, consistent bool) (*Published, error)
	// Watch returns the changes after a position, and waits for one if there is none.
	// The result is of the same era as the position and not older than it. The error
	// wraps ErrHistoryGone if only Read can return the content, for example because
	// the platform was restored from a backup and no longer knows the position.
	Watch(ctx context.Context, after config.Position, wait time.Duration) (*Published, error)
	// Newest returns a position that the platform has reached. It is cheap, and may be older
	// than what other calls show.
	Newest(ctx context.Context) (config.Position, error)
}

// Headers names the HTTP headers that callers, hosts and upstreams exchange.
type Headers struct {
	// RequestID identifies a request; upstreams echo it.
	RequestID string
	// DeadlineMillis is the time for which the sender still waits, in milliseconds.
	DeadlineMillis string
	// Upstream names the only upstream that may run the request.
	Upstream string
	// Stamp proves which upstream an answer comes from.
	Stamp string
	// NotRun states that the upstream did not run the request.
	NotRun string
	// Load reports the running and queued calls of an upstream, and its slots.
	Load string
	// Parts lists the stamps of the parts of a gathered answer.
	Parts string
	// Missing is the number of shards missing from a gathered answer.
	Missing string
}

// SourceConfig configures a source.
type SourceConfig struct {
	// Address is the address of the platform's service.
	Address netip.AddrPort
	// DocumentBytes is the size of the largest document that the platform stores; 0 for
	// config.MaxBytes.
	DocumentBytes int64
}

// Adapter connects the tier to the platform that it runs on.
type Adapter struct {
	Headers Headers
	// Open returns a source that reads the platform's service, and its cleanup function.
	Open func(SourceConfig) (Source, func())
	// Translate translates a published document. It depends only on the text, so that all
	// hosts translate a document alike.
	Translate func(text []byte) (*config.Translation, error)
}

var adapters = map[string]Adapter{}

// RegisterAdapter registers an adapter under a name. It must be called from an init
// function.
func RegisterAdapter(name string, a Adapter) { adapters[name] = a }

// FindAdapter returns the adapter registered under a name.
func FindAdapter(name string) (Adapter, error) {
	a, ok := adapters[name]
	if !ok {
		return Adapter{}, fmt.Errorf("adapter %q: %w", name, ErrNoAdapter)
	}
	return a, nil
}
