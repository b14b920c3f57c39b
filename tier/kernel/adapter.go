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
	// ErrHistoryGone is wrapped when a source no longer knows what changed
	// after a revision: read everything again.
	ErrHistoryGone = errors.New("history of changes is gone")
	// ErrStaleEra is wrapped by an answer that a source gave before it came back
	// from a copy: it is not used, and asked for again.
	ErrStaleEra = errors.New("answer of an earlier history")
	// ErrNoAdapter is wrapped when an adapter is named that nobody registered.
	ErrNoAdapter = errors.New("no such adapter")
)

// Published is what a platform publishes, or what of it has changed.
type Published struct {
	// Position is the platform's position up to which this is whole. It orders nothing of
	// another era.
	Position config.Position
	// Document is the newest document, nil if it did not change or there is none yet;
	// Edition is how new it is.
	Document *config.Document
	Edition  config.Edition
	// Directory is what changed in the directory.
	Directory config.DirectoryChange
	// Problems are the errors of entries that could not be understood. These are left
	// out.
	Problems []error
}

// Source reads what a platform publishes. It is used by one goroutine.
type Source interface {
	// Read returns everything that is published, of one era; unless exact, it may be
	// seconds old.
	Read(ctx context.Context, exact bool) (*Published, error)
	// Watch returns what changed after a position; if nothing has, it waits for a
	// change. Its error wraps ErrHistoryGone if only Read can tell what is published:
	// also if the platform has come back from a copy, so that the position is of a
	// history that it no longer has. What it returns is of the era of the position, and not before it.
	Watch(ctx context.Context, after config.Position, wait time.Duration) (*Published, error)
}

// Headers names the HTTP headers that callers, hosts and upstreams exchange.
type Headers struct {
	// RequestID identifies a request; upstreams echo it.
	RequestID string
	// DeadlineMillis is how many milliseconds the sender will still wait.
	DeadlineMillis string
	// Upstream names the one upstream that may run the request.
	Upstream string
	// Stamp is an upstream's proof that an answer is its own.
	Stamp string
	// NotRun is an upstream's statement that it did not run the request.
	NotRun string
	// Load reports the calls running and waiting at an upstream, and its slots.
	Load string
	// Parts lists the stamps of the parts of a gathered answer.
	Parts string
	// Missing is how many shards a gathered answer lacks.
	Missing string
}

// Adapter is what the tier knows of the platform that it runs on.
type Adapter struct {
	Headers Headers
	// Open makes a source that reads the platform's service at an address.
	Open func(at netip.AddrPort) (Source, func())
}

var adapters = map[string]Adapter{}

// RegisterAdapter makes an adapter known; it is called from init functions.
func RegisterAdapter(name string, a Adapter) { adapters[name] = a }

// FindAdapter finds a registered adapter.
func FindAdapter(name string) (Adapter, error) {
	a, ok := adapters[name]
	if !ok {
		return Adapter{}, fmt.Errorf("adapter %q: %w", name, ErrNoAdapter)
	}
	return a, nil
}
