package pass

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

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
	// responseBudgetBytes limits the bodies that this host reads at the same time, and
	// upstreamBudgetBytes those from one upstream, so that a faulty one does not end the
	// process of a small host, nor take the whole budget from the others.
	responseBudgetBytes = 32 << 20
	upstreamBudgetBytes = responseBudgetBytes / 2
	// freeBodyBytes is the part of a body that is not counted, so that ordinary responses
	// are read whatever the others do.
	freeBodyBytes = 64 << 10
)

var (
	// errResponseMismatch means that a response does not belong to the call it was read for.
	errResponseMismatch = errors.New("response belongs to another request")
	// errHeadTooLarge means that the head of a response exceeds maxResponseHeadBytes.
	errHeadTooLarge = fmt.Errorf("head of response over %d bytes: %w", maxResponseHeadBytes, wire.ErrTooLarge)
	// errNoBudget means that too many large responses are being read.
	errNoBudget = fmt.Errorf("bodies being read exceed the budget: %w", wire.ErrTooLarge)
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
		c.unexpected = append(c.unexpected, echoed)
		if !n.carried(echoed) || !reusable {
			return nil, false, errResponseMismatch
		}
	}
	return nil, false, errResponseMismatch
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
	if r.Body == http.NoBody || r.ContentLength > maxResponseBytes {
		return wire.ReadBody(r, maxResponseBytes)
	}
	if r.ContentLength < 0 {
		return n.readUnsizedBody(r)
	}
	counted := r.ContentLength - freeBodyBytes
	if !n.budget.reserve(counted) {
		return nil, errNoBudget
	}
	defer n.budget.release(counted)
	return wire.ReadBody(r, maxResponseBytes)
}

// readUnsizedBody reads a body whose length is not known in advance. It takes from the budgets as
// the body grows.
func (n *conn) readUnsizedBody(r *http.Response) ([]byte, error) {
	reserved := int64(0)
	defer func() { n.budget.release(reserved) }()
	var body []byte
	for size := int64(freeBodyBytes); ; size = min(2*size, maxResponseBytes+1) {
		counted := size - freeBodyBytes
		if !n.budget.reserve(counted - reserved) {
			return nil, errNoBudget
		}
		reserved = counted
		next, err := io.ReadAll(io.LimitReader(r.Body, size-int64(len(body))))
		if err != nil {
			return nil, err
		}
		body = append(body, next...)
		switch {
		case len(body) > maxResponseBytes:
			return nil, wire.ErrTooLarge
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

// byteBudget limits bytes that are held at the same time. It is safe for concurrent use; a nil one
// has no limit.
type byteBudget struct {
	// parent is the budget that this one is a part of; nil for none.
	parent *byteBudget
	limit  int64
	mu     sync.Mutex
	used   int64
}

// reserve takes n bytes from the budget, unless it has fewer. Up to 0 bytes are always available.
func (b *byteBudget) reserve(n int64) bool {
	if b == nil || n <= 0 {
		return true
	}
	if !b.parent.reserve(n) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		b.parent.release(n)
		return false
	}
	b.used += n
	return true
}

// release returns n bytes to the budget.
func (b *byteBudget) release(n int64) {
	if b == nil || n <= 0 {
		return
	}
	b.parent.release(n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}
