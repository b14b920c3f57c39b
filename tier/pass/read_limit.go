package pass

import (
	"fmt"
	"io"

	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

const (
	// maxResponseHeadBytes limits the status line and the headers of a response, together
	// with those of the interim responses before it.
	maxResponseHeadBytes = 256 << 10
	// maxChunkingFactor and maxChunkingBytes limit what a body takes on the connection: as many times
	// the bytes that were read of it, and some bytes more. Small chunks take many times the bytes of
	// the body, and processor time for each.
	maxChunkingFactor = 2
	maxChunkingBytes  = 1 << 20
	// freeHeadBytes is the part of a head whose memory is not reserved: a call takes more by
	// itself.
	freeHeadBytes = readBufferBytes
	// headMemoryFactor is the memory of parsed headers in relation to their bytes on the
	// connection, if there are many short ones.
	headMemoryFactor = 8
)

var (
	// errHeadTooLarge means that the head of a response exceeds maxResponseHeadBytes.
	errHeadTooLarge = fmt.Errorf("head of response over %d bytes: %w", maxResponseHeadBytes, wire.ErrTooLarge)
	// errChunksTooSmall means that the body of a response exceeds maxChunkingFactor and
	// maxChunkingBytes.
	errChunksTooSmall = fmt.Errorf("body of response in chunks that are too small: %w", wire.ErrTooLarge)
)

// readLimit is a reader that limits the bytes of a response. It is used by one goroutine.
type readLimit struct {
	io.Reader
	// left is how many bytes may be read before Read returns over.
	left int64
	over error
	// memory is what the head being read reserves; nil for no limit, or after the head.
	memory *kernel.ByteReservation
	// unreserved is how many bytes of the head may be read before more memory is reserved, and
	// headRead those that were read.
	unreserved, headRead int64
	// err is the error that Read has returned for a limit; nil for none.
	err error
	// ended is true once the connection has ended or failed.
	ended bool
}

// startHead begins a response.
func (l *readLimit) startHead(memory *kernel.ByteReservation) {
	*l = readLimit{Reader: l.Reader, left: maxResponseHeadBytes, over: errHeadTooLarge, memory: memory, unreserved: freeHeadBytes}
}

// startBody begins the body of the response, which reserves its memory by itself, and returns a reader
// of it.
func (l *readLimit) startBody(body io.ReadCloser) io.ReadCloser {
	l.left, l.over, l.memory = maxChunkingBytes, errChunksTooSmall, nil
	return &bodyReader{ReadCloser: body, limit: l}
}

// bodyReader reads a body without its transfer encoding, and allows as many times its bytes on the
// connection.
type bodyReader struct {
	io.ReadCloser
	limit *readLimit
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.limit.left += maxChunkingFactor * int64(n)
	return n, err
}

func (l *readLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		l.err = l.over
		return 0, l.err
	}
	if err := l.reserveHead(); err != nil {
		l.err = err
		return 0, err
	}
	n, err := l.Reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	l.headRead += int64(n)
	l.ended = l.ended || err != nil
	return n, err
}

// reserveHead reserves memory for as many bytes of the head as were read before.
func (l *readLimit) reserveHead() error {
	if l.memory == nil || l.headRead < l.unreserved {
		return nil
	}
	l.unreserved += l.headRead
	return l.memory.Grow(l.headRead * headMemoryFactor)
}

// explain returns the error of a limit in place of one of the parser, if a limit was reached.
func (l *readLimit) explain(err error) error {
	if l.err != nil {
		return l.err
	}
	return err
}

// explainHead is explain for a head. An error of the parser while the connection works means that
// what came is no valid head.
func (l *readLimit) explainHead(err error) error {
	if l.err == nil && !l.ended {
		return fmt.Errorf("%w: %w", err, errInvalidHead)
	}
	return l.explain(err)
}
