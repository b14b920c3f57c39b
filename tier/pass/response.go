package pass

import (
	"errors"
	"fmt"
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
	// maxResponsesRead limits the responses that are read for one call: a surplus response
	// to an earlier request may come first.
	maxResponsesRead = 2
)

var (
	// errResponseMismatch means that a response does not belong to the call it was read for.
	errResponseMismatch = errors.New("response belongs to another request")
	// errGaveWay means that a response gave way to those of other upstreams.
	errGaveWay = fmt.Errorf("response gave way to those of other upstreams: %w", kernel.ErrNoRoom)
)

// response is the whole response of an upstream, or a reference to the block that contains
// it.
type response struct {
	status int
	header http.Header
	body   []byte
	// memory is what the response uses of the upstream's account; nil for a block.
	memory *kernel.ByteReservation
	// block is the block that contains this part; nil if the part was not merged by a
	// relay.
	block *block
}

// readResponse reads the response to a call and skips a surplus response to an earlier request of
// the connection. The memory of the response must be released or held.
func (n *conn) readResponse(c *call) (resp *response, reusable bool, err error) {
	for range maxResponsesRead {
		resp, reusable, err = n.readOneResponse(c)
		if err != nil {
			return nil, false, err
		}
		echoed := resp.header.Get(c.headers.RequestID)
		if echoed == c.id {
			n.remember(c.id)
			n.updateIdleTimeout(resp.header)
			return resp, reusable && n.idleTimeout > 0 && n.reader.Buffered() == 0, nil
		}
		resp.memory.Release()
		if !n.carried(echoed) || !reusable {
			return nil, false, fmt.Errorf("response to %q: %w", config.Shorten(echoed), errResponseMismatch)
		}
		c.surplus = append(c.surplus, echoed)
	}
	return nil, false, fmt.Errorf("%d responses to earlier requests: %w", maxResponsesRead, errResponseMismatch)
}

// readOneResponse reads one response. If reusable is false, the connection carries no
// further response.
func (n *conn) readOneResponse(c *call) (resp *response, reusable bool, err error) {
	memory := n.account.Reserve(func() { _ = n.Close() })
	resp, reusable, err = n.readWithin(c, memory)
	if !memory.Hold() {
		err = errGaveWay
	}
	if err != nil {
		memory.Release()
		return nil, false, err
	}
	return resp, reusable, nil
}

// readWithin reads one response, which reserves the memory that it takes.
func (n *conn) readWithin(c *call, memory *kernel.ByteReservation) (resp *response, reusable bool, err error) {
	n.limit.startHead(memory)
	r, err := n.readHead(c)
	if err != nil {
		return nil, false, err
	}
	if r.Body != http.NoBody {
		r.Body = n.limit.startBody(r.Body)
	}
	body, err := wire.ReadBody(r, maxResponseBytes, memory)
	if err != nil {
		// Closing the body would read the rest of it, which may be endless. The caller closes
		// the connection.
		return nil, false, n.limit.explain(err)
	}
	_ = r.Body.Close()
	return &response{status: r.StatusCode, header: r.Header, body: body, memory: memory}, !r.Close, nil
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
