// Package wire defines the messages of loomgap's own protocols with upstreams, with the
// platform and between entry hosts, and propagates traces along with them. It holds no
// state. Golden files fix the JSON form of the messages, and docs/PROTOCOLS.md describes
// them for authors of upstreams and platforms. Package pass defines the messages of routed
// requests, package peers those of membership.
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

// Limits of message sizes.
const (
	// MaxReplyBytes limits the replies of upstreams and, unless the platform stores larger
	// documents, the messages between hosts.
	MaxReplyBytes = 4 << 20
	// MaxBodyBytes limits the request bodies of callers and operators.
	MaxBodyBytes = 64 << 10
)

// Paths of the upstream protocol.
const (
	// PathPart accepts a PartRequest and returns a PartReply or a RefusalReply.
	PathPart = "/Part"
	// PathPlace accepts a PlaceRequest and returns a PartReply or a RefusalReply.
	PathPlace = "/Place"
	// PathStatus returns a StatusReply.
	PathStatus = "/Status"
)

// Paths of the platform protocol.
const (
	// PathDocument returns a DocumentReply.
	PathDocument = "/Document"
	// PathLive returns a LiveReply.
	PathLive = "/Live"
)

// ErrTooLarge is returned for a message that exceeds its size limit.
var ErrTooLarge = errors.New("message too large")

// Identity identifies a call. A reply repeats the identity of its call; one with another
// identity is dropped.
type Identity struct {
	// RequestID identifies the caller's request.
	RequestID string
	// Attempt numbers the calls of the request.
	Attempt int
	// Shard is the name of the queried shard.
	Shard string
	// MapRevision is the revision of the shard map used for the call.
	MapRevision uint64
}

// PartRequest asks one upstream for one shard's part of an answer.
type PartRequest struct {
	Identity
	Service string
	// From and To are the key range of the shard; To is exclusive.
	From, To uint32
	// Snapshot is the index snapshot to answer from; 0 for the newest.
	Snapshot uint64
	// DeadlineMillis is the time left, after which the upstream drops the work.
	DeadlineMillis int64
	Question       query.Question
}

// PlaceRequest asks one upstream to write one record. It must run at most once.
type PlaceRequest struct {
	Identity
	Service        string
	Key            uint32
	DeadlineMillis int64
	Fields         []query.Field
}

// UpstreamInfo is the information that an upstream adds to every reply.
type UpstreamInfo struct {
	// Oldest and Newest are the oldest and newest index snapshots it holds.
	Oldest, Newest uint64
	// Leaving requests that no new work be sent.
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

// RefusalKind is the reason why an upstream did not run a call.
type RefusalKind string

// The kinds of refusal. Each states that the call did not run.
const (
	// RefusalShed means that the upstream has no slot for the call.
	RefusalShed RefusalKind = "Shed"
	// RefusalLate means that the call's deadline had passed.
	RefusalLate RefusalKind = "Late"
	// RefusalLeaving means that the upstream is leaving and accepts no new work.
	RefusalLeaving RefusalKind = "Leaving"
	// RefusalSnapshotGone means that the upstream does not hold the requested snapshot.
	RefusalSnapshotGone RefusalKind = "SnapshotGone"
	// RefusalMoved means that the upstream has another shard map.
	RefusalMoved RefusalKind = "Moved"
)

// RefusalReply is the reply of an upstream that did not run the call. Its HTTP status is
// 409, 503 or 504.
type RefusalReply struct {
	Identity
	UpstreamInfo
	Refused RefusalKind
}

// StatusReply is the reply of an upstream's status endpoint. It may be outdated or wrong, so
// it is only a hint.
type StatusReply struct {
	UpstreamInfo
	InUse, Slots int
}

// DocumentReply is the platform's newest configuration document.
type DocumentReply struct {
	// Era is incremented whenever the platform is restored from a backup, starting
	// at 1; 0 if the platform has no eras.
	Era uint64 `json:",omitzero"`
	// EraFrom is the first revision of the era. Lower revisions belong to earlier eras.
	EraFrom uint64 `json:",omitzero"`
	// Revision counts the published documents from 1. It never decreases within an era.
	Revision uint64
	Text     string
}

// PackedDocument is a compressed document, as sent between entry hosts.
type PackedDocument struct {
	// Version is the version that the author gave the document; 0 for none.
	Version uint64 `json:",omitzero"`
	// Era is the platform's era; 0 for none.
	Era uint64 `json:",omitzero"`
	// Revision is the revision of the document; 0 if there is no document.
	Revision uint64
	// Packed is the text, compressed with gzip.
	Packed []byte
	// Adapter is the name of the adapter that translates the text; empty for a text in
	// loomgap's own form.
	Adapter string `json:",omitempty"`
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

// Unpack decompresses a document of at most limit bytes.
func (d *PackedDocument) Unpack(limit int64) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(d.Packed))
	if err != nil {
		return nil, fmt.Errorf("unpack document: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(z, limit+1))
	if err != nil {
		return nil, fmt.Errorf("unpack document: %w", err)
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("%w: document over %d bytes", ErrTooLarge, limit)
	}
	return text, nil
}

// LiveState is the state of a host or upstream in the platform's live list.
type LiveState string

// The live states.
const (
	// LiveLive means that it accepts new work.
	LiveLive LiveState = "Live"
	// LiveLeaving means that it accepts no new work and will stop soon.
	LiveLeaving LiveState = "Leaving"
)

// LiveEntry is one entry of the platform's list of live and leaving hosts.
type LiveEntry struct {
	Name  string
	State LiveState
}

// LiveReply is the platform's live list, which may lag behind.
type LiveReply struct {
	// Era is as in DocumentReply.
	Era uint64 `json:",omitzero"`
	// Version is incremented with every change of the list within an era.
	Version uint64
	Entries []LiveEntry
}

// OrderRequest forwards an order to the host that holds its ticket.
type OrderRequest struct {
	Ticket         string
	Statement      string
	Class          string
	DeadlineMillis int64
	// Trace is the W3C traceparent of the sending span.
	Trace string
}

// RelayRequest asks an entry host that has slots of an upstream to make a call for another
// host.
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
	// Trace is the W3C traceparent of the sending span.
	Trace string
}

// RelayReply is the outcome of a relayed call.
type RelayReply struct {
	Outcome string
	Part    PartReply
}

// Memory limits the memory of a message that is being read.
type Memory interface {
	// Grow reserves n more bytes.
	Grow(n int64) error
	// Shrink returns n bytes that were reserved.
	Shrink(n int64)
}

const (
	// freeBodyBytes is the part of a body that is not reserved: a call takes more by itself.
	freeBodyBytes = 4 << 10
	// maxSegmentBytes limits the buffers that a body of unknown length is read into.
	maxSegmentBytes = 1 << 20
)

// ReadBody reads the body of a response. It returns ErrTooLarge if the body exceeds limit
// bytes. The memory of a body with a length is reserved before it is read, that of another one as
// it comes.
func ReadBody(r *http.Response, limit int64, m Memory) ([]byte, error) {
	if r.Body == http.NoBody && r.ContentLength <= limit {
		return []byte{}, nil
	}
	return ReadAll(r.Body, r.ContentLength, limit, m)
}

// ReadAll is ReadBody for the bytes of a reader; length is negative if it is not known.
func ReadAll(r io.Reader, length, limit int64, m Memory) ([]byte, error) {
	switch {
	case length > limit:
		return nil, errBodyTooLarge(limit)
	case length >= 0:
		return readSized(r, length, m)
	}
	return readUnsized(r, limit, m)
}

func errBodyTooLarge(limit int64) error {
	return fmt.Errorf("body over %d bytes: %w", limit, ErrTooLarge)
}

// readSized reads size bytes.
func readSized(r io.Reader, size int64, m Memory) ([]byte, error) {
	if err := m.Grow(size - freeBodyBytes); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

// readUnsized reads up to the end, but at most limit bytes. It reads into segments, since a buffer
// that grows would leave behind as much as it holds.
func readUnsized(r io.Reader, limit int64, m Memory) ([]byte, error) {
	var segments [][]byte
	total := int64(0)
	for {
		size := min(max(freeBodyBytes, total), maxSegmentBytes, limit+1-total)
		if total > 0 {
			if err := m.Grow(size); err != nil {
				return nil, err
			}
		}
		segment := make([]byte, size)
		n, err := fill(r, segment)
		total += int64(n)
		segments = append(segments, segment[:n])
		switch {
		case total > limit:
			return nil, errBodyTooLarge(limit)
		case errors.Is(err, io.EOF):
			return join(segments, total, m)
		case err != nil:
			return nil, err
		}
	}
}

// join returns the segments of a body as one.
func join(segments [][]byte, total int64, m Memory) ([]byte, error) {
	if len(segments) == 1 {
		return segments[0], nil
	}
	if err := m.Grow(total); err != nil {
		return nil, err
	}
	defer m.Shrink(total)
	return bytes.Join(segments, nil), nil
}

// fill reads until the buffer is full. Unlike io.ReadFull it returns the reader's own error, so that
// a body that ends can be told from one that was cut off.
func fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var read int
		read, err = r.Read(buf[n:])
		n += read
	}
	return n, err
}

// Decode decodes one JSON value of at most limit bytes.
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

// Encode encodes a value as JSON.
func Encode(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return text, nil
}
