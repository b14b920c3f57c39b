// Package wire holds the messages of loomgap's own protocols: to upstreams, to the
// platform, and between entry hosts, and how a trace is carried along with them. It
// owns their JSON form, which golden files pin, and no state. docs/PROTOCOLS.md
// describes them for those who write an upstream or a platform. Messages of routed
// requests stand in package pass, those of membership in package peers.
package wire

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/go-json-experiment/json"

	"loomgap/tier/query"
)

// Largest messages, in bytes.
const (
	// MaxReplyBytes bounds the reply of an upstream or the platform, and a message between
	// hosts; a document of config.MaxBytes fits.
	MaxReplyBytes = 4 << 20
	// MaxBodyBytes bounds what callers and operators send.
	MaxBodyBytes = 64 << 10
)

// Paths of the upstream protocol.
const (
	// PathPart takes a PartRequest and gives a PartReply or a RefusalReply.
	PathPart = "/Part"
	// PathPlace takes a PlaceRequest and gives a PartReply or a RefusalReply.
	PathPlace = "/Place"
	// PathStatus gives a StatusReply.
	PathStatus = "/Status"
)

// Paths of the platform protocol.
const (
	// PathDocument gives a DocumentReply.
	PathDocument = "/Document"
	// PathLive gives a LiveReply.
	PathLive = "/Live"
)

// ErrTooLarge is returned for a message over its size.
var ErrTooLarge = errors.New("message too large")

// Identity ties a reply to its call. A reply whose identity differs from its
// call's is dropped.
type Identity struct {
	// RequestID names the caller's request.
	RequestID string
	// Attempt numbers the calls of the request.
	Attempt int
	// Shard is the shard asked.
	Shard string
	// MapRevision is the shard map that the call was made under.
	MapRevision uint64
}

// PartRequest asks one upstream for one shard's part of an answer.
type PartRequest struct {
	Identity
	Service string
	// From and To are the half-open key range of the shard.
	From, To uint32
	// Snapshot is the index snapshot to answer from; 0 for the newest.
	Snapshot uint64
	// DeadlineMillis is the time left; an upstream drops the work after it.
	DeadlineMillis int64
	Question       query.Question
}

// PlaceRequest asks one upstream to write one record. It is not repeatable.
type PlaceRequest struct {
	Identity
	Service        string
	Key            uint32
	DeadlineMillis int64
	Fields         []query.Field
}

// UpstreamInfo is what an upstream says of itself in every reply.
type UpstreamInfo struct {
	// Oldest and Newest are the index snapshots it holds.
	Oldest, Newest uint64
	// Leaving asks that no new work be sent.
	Leaving bool
}

// PartReply is the reply to PartRequest and PlaceRequest.
type PartReply struct {
	Identity
	UpstreamInfo
	Snapshot uint64
	Count    uint64
	Rows     []query.Row `json:",omitempty"`
}

// RefusalKind says why an upstream did not run a call.
type RefusalKind string

// The kinds of refusal. Each is the upstream's statement that the call did not run.
const (
	// RefusalShed means that the upstream has no slot for the call.
	RefusalShed RefusalKind = "Shed"
	// RefusalLate means that the call's deadline had passed.
	RefusalLate RefusalKind = "Late"
	// RefusalLeaving means that the upstream leaves and takes no new work.
	RefusalLeaving RefusalKind = "Leaving"
	// RefusalSnapshotGone means that the upstream lacks the snapshot asked for.
	RefusalSnapshotGone RefusalKind = "SnapshotGone"
	// RefusalMoved means that the upstream has another shard map.
	RefusalMoved RefusalKind = "Moved"
)

// RefusalReply is the reply of an upstream that did not run the call; its
// status is 409, 503 or 504.
type RefusalReply struct {
	Identity
	UpstreamInfo
	Refused RefusalKind
}

// StatusReply is what an upstream's status endpoint gives. It may lag or
// mislead, so it is a hint only.
type StatusReply struct {
	UpstreamInfo
	InUse, Slots int
}

// DocumentReply is the platform's newest configuration document.
type DocumentReply struct {
	// Era counts the returns of the platform from an older copy of itself, from 1; 0 if
	// the platform has none.
	Era uint64 `json:",omitzero"`
	// EraFrom is the first revision that the era gave out: what stands below it is of the
	// era before.
	EraFrom uint64 `json:",omitzero"`
	// Revision counts the published documents from 1; it only rises within an era.
	Revision uint64
	Text     string
}

// PackedDocument is a document as one entry host hands it to another.
type PackedDocument struct {
	// Version is the number that its author gave the document, Era the one that the
	// platform gave its history; 0 for none.
	Version uint64 `json:",omitzero"`
	Era     uint64 `json:",omitzero"`
	// Revision is 0 if there is none.
	Revision uint64
	// Packed is the text, compressed by gzip.
	Packed []byte
}

// Pack compresses a document.
func Pack(revision uint64, text []byte) (PackedDocument, error) {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, err := z.Write(text)
	if err = cmp.Or(err, z.Close()); err != nil {
		return PackedDocument{}, fmt.Errorf("pack document: %w", err)
	}
	return PackedDocument{Revision: revision, Packed: out.Bytes()}, nil
}

// Unpack returns the text of a document of at most limit bytes.
func (d *PackedDocument) Unpack(limit int64) (string, error) {
	z, err := gzip.NewReader(bytes.NewReader(d.Packed))
	if err != nil {
		return "", fmt.Errorf("unpack document: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(z, limit+1))
	if err != nil {
		return "", fmt.Errorf("unpack document: %w", err)
	}
	if int64(len(text)) > limit {
		return "", fmt.Errorf("%w: document over %d bytes", ErrTooLarge, limit)
	}
	return string(text), nil
}

// LiveState is the state of a host or upstream as the platform lists it.
type LiveState string

// The live states.
const (
	// LiveLive takes new work.
	LiveLive LiveState = "Live"
	// LiveLeaving takes none, and stops soon.
	LiveLeaving LiveState = "Leaving"
)

// LiveEntry is one line of the platform's list of live and leaving hosts.
type LiveEntry struct {
	Name  string
	State LiveState
}

// LiveReply is the platform's list; it lags.
type LiveReply struct {
	// Era is as in DocumentReply.
	Era uint64 `json:",omitzero"`
	// Version rises with every change of the list within an era.
	Version uint64
	Entries []LiveEntry
}

// OrderRequest forwards a not-repeatable request to the host that minted its
// ticket.
type OrderRequest struct {
	Ticket         string
	Statement      string
	Class          string
	DeadlineMillis int64
	// Trace is the W3C traceparent of the sending span.
	Trace string
}

// RelayRequest asks an entry host that holds slots of an upstream to make a
// call on another's behalf.
type RelayRequest struct {
	Upstream string
	Service  string
	// Path is PathPart or PathPlace.
	Path string
	// Body is the message for the upstream, as JSON text.
	Body     string
	Identity Identity
	Snapshot uint64
	// DeadlineMillis is the time left.
	DeadlineMillis int64
	Trace          string
}

// RelayReply returns what became of a relayed call.
type RelayReply struct {
	Outcome string
	Part    PartReply
}

// ReadBody reads the body of an answer, which has at most so many bytes.
func ReadBody(r *http.Response, most int64) ([]byte, error) {
	switch {
	case r.ContentLength > most:
		return nil, ErrTooLarge
	case r.Body == http.NoBody:
		return []byte{}, nil
	case r.ContentLength >= 0:
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err == nil && int64(len(body)) > most {
		err = ErrTooLarge
	}
	return body, err
}

// Decode reads one JSON value of at most limit bytes.
func Decode(r io.Reader, limit int64, v any) error {
	text, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	if int64(len(text)) > limit {
		return fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// Encode writes a JSON value.
func Encode(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return text, nil
}
