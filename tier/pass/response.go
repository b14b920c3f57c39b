package pass

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

const (
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 8 << 20
	// maxResponseHeadBytes limits the status line and the headers of a response, together
	// with those of the interim responses before it.
	maxResponseHeadBytes = 256 << 10
	// maxResponsesRead limits the responses that are read for one call: a surplus response
	// to an earlier request may come first.
	maxResponsesRead = 2
)

var (
	// errResponseMismatch means that a response does not belong to the call it was read for.
	errResponseMismatch = errors.New("response belongs to another request")
	// errHeadTooLarge means that the head of a response exceeds maxResponseHeadBytes.
	errHeadTooLarge = fmt.Errorf("head of response over %d bytes: %w", maxResponseHeadBytes, wire.ErrTooLarge)
	// errBodyTooLarge means that the body of a response exceeds maxResponseBytes.
	errBodyTooLarge = fmt.Errorf("body of response over %d bytes: %w", maxResponseBytes, wire.ErrTooLarge)
)

// response is the whole response of an upstream, or a reference to the block that contains
// it.
type response struct {
	status int
	header http.Header
	body   []byte
	// block is the block that contains this part; nil if the part was not merged by a
	// relay.
	block *block
}

// readResponse reads the response to a call and skips a surplus response to an earlier request of
// the connection.
func (n *conn) readResponse(c *call) (resp *response, reusable bool, err error) {
	for range maxResponsesRead {
		resp, reusable, err = n.readOneResponse(c.method)
		if err != nil {
			return nil, false, err
		}
		echoed := resp.header.Get(c.headers.RequestID)
		if echoed == c.id {
			n.remember(c.id)
			n.updateIdleTimeout(resp.header)
			return resp, reusable && n.idleTimeout > 0 && n.reader.Buffered() == 0, nil
		}
		if !n.carried(echoed) || !reusable {
			return nil, false, fmt.Errorf("response to %q: %w", config.Shorten(echoed), errResponseMismatch)
		}
		c.surplus = append(c.surplus, echoed)
	}
	return nil, false, fmt.Errorf("%d responses to earlier requests: %w", maxResponsesRead, errResponseMismatch)
}

// readOneResponse reads one response. If reusable is false, the connection carries no
// further response.
func (n *conn) readOneResponse(method string) (resp *response, reusable bool, err error) {
	n.limit.left = maxResponseHeadBytes
	r, err := http.ReadResponse(n.reader, &http.Request{Method: method})
	for err == nil && r.StatusCode < http.StatusOK {
		r, err = http.ReadResponse(n.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, false, n.limit.explain(err)
	}
	n.limit.left = math.MaxInt64 // the body has limits of its own
	body, err := n.readBody(r)
	if err != nil {
		// Closing the body would read the rest of it, which may be endless. The caller closes
		// the connection.
		return nil, false, err
	}
	_ = r.Body.Close()
	return &response{status: r.StatusCode, header: r.Header, body: body}, !r.Close, nil
}

// readBody reads a body of at most maxResponseBytes, within the budgets.
func (n *conn) readBody(r *http.Response) ([]byte, error) {
	switch {
	case r.ContentLength > maxResponseBytes:
		return nil, errBodyTooLarge
	case r.Body == http.NoBody:
		return wire.ReadBody(r, maxResponseBytes, (*kernel.ByteReservation)(nil))
	case r.ContentLength < 0:
		return n.readUnsizedBody(r)
	}
	counted := r.ContentLength - freeBodyBytes
	if err := n.budget.reserve(counted); err != nil {
		return nil, err
	}
	defer n.budget.release(counted)
	return wire.ReadBody(r, maxResponseBytes, (*kernel.ByteReservation)(nil))
}

// readUnsizedBody reads a body whose length is not known in advance. It takes from the budgets as
// the body grows.
func (n *conn) readUnsizedBody(r *http.Response) ([]byte, error) {
	reserved := int64(0)
	defer func() { n.budget.release(reserved) }()
	var body []byte
	for size := int64(freeBodyBytes); ; size = min(2*size, maxResponseBytes+1) {
		counted := size - freeBodyBytes
		if err := n.budget.reserve(counted - reserved); err != nil {
			return nil, err
		}
		reserved = counted
		next, err := io.ReadAll(io.LimitReader(r.Body, size-int64(len(body))))
		if err != nil {
			return nil, err
		}
		body = append(body, next...)
		switch {
		case len(body) > maxResponseBytes:
			return nil, errBodyTooLarge
		case int64(len(body)) < size:
			return body, nil
		}
	}
}

// updateIdleTimeout sets the idle timeout from the upstream's Keep-Alive header.
func (n *conn) updateIdleTimeout(h http.Header) {
	_, after, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return
	}
	n.idleTimeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
}

// readLimit is a reader that fails once more than left bytes have been read from it.
type readLimit struct {
	io.Reader
	left int64
}

func (l *readLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// explain returns errHeadTooLarge in place of an error of the parser if the limit was reached.
func (l *readLimit) explain(err error) error {
	if l.left <= 0 {
		return errHeadTooLarge
	}
	return err
}
