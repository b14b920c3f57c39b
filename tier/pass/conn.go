package pass

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const (
	upstreamDialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout applies if the upstream does not send a Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the upstream's Keep-Alive timeout, so that a
	// request is not sent while the upstream closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxFreshIdle is how long a connection may have been idle to be used for a request
	// that is not repeatable.
	maxFreshIdle    = 500 * time.Millisecond
	readBufferBytes = 4 << 10
	// unresponsiveCallTimeout is how long a call on a reused connection must go unanswered
	// before the other idle connections of the pool are closed. They may all have failed
	// without a reset, and each would fail one request. The timeout is longer than upstreams
	// usually pause, and no longer than an unwanted call lingers, so that lingering calls
	// reach it.
	unresponsiveCallTimeout = policy.LingerDuration
	// rememberedIDs is how many request IDs a connection remembers. An upstream may send the
	// response to an earlier request once more, usually when the next request has come.
	rememberedIDs = 4
	// maxSetAside is how many idle connections are kept that cannot carry a request because
	// they have carried its ID.
	maxSetAside = 2
)

// conn is a connection to an upstream. It carries one request at a time.
//
// The response to a request is told from a surplus response to an earlier one by the request's
// ID alone. A connection therefore carries no request with the ID of one of its last requests:
// connPool.get gives it another connection.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// limit is what reader reads from.
	limit *readLimit
	// account limits the responses of the upstream that are held at the same time; nil for no
	// limit.
	account *kernel.ByteAccount
	// requestIDs are the IDs of the last requests that were answered on the connection;
	// nextID is the place of the next one.
	requestIDs [rememberedIDs]string
	nextID     int
	// idleSince is when the connection was returned to the pool, as time since the process
	// started.
	idleSince   time.Duration
	idleTimeout time.Duration
	// reused is true once the connection was returned to the pool.
	reused bool
}

type connPool struct {
	address netip.AddrPort
	// startedMillis is when the upstream's process started; see config.Listing.
	startedMillis int64
	now           func() time.Duration
	// account limits the responses of the upstream that are held at the same time; nil for no
	// limit.
	account *kernel.ByteAccount

	mu   sync.Mutex
	idle []*conn
	// closed is true once the upstream is no longer listed.
	closed bool
}

var upstreamDialer = net.Dialer{Timeout: upstreamDialTimeout, KeepAlive: -1}

// get returns a usable idle connection that has not carried the given request ID lately, or
// dials a new one. If fresh is true, it returns an idle connection only if that was used
// recently.
func (p *connPool) get(ctx context.Context, requestID string, fresh bool) (*conn, error) {
	for {
		c := p.pop(requestID)
		if c == nil {
			return p.dial(ctx)
		}
		idle := p.now() - c.idleSince
		if idle < c.idleTimeout && (!fresh || idle < maxFreshIdle) && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
}

// pop removes and returns the idle connection that was used last, of those that have not carried
// the request ID. If there is none, the caller dials another: pop then closes the oldest idle one
// if there are more than maxSetAside.
func (p *connPool) pop(requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !c.carried(requestID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	if len(p.idle) > maxSetAside {
		_ = p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	return nil
}

func (p *connPool) dial(ctx context.Context) (*conn, error) {
	c, err := upstreamDialer.DialContext(ctx, "tcp4", p.address.String())
	if err != nil {
		return nil, err
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	limit := &readLimit{Reader: c}
	return &conn{
		Conn: c, raw: raw, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, account: p.account,
		idleTimeout: defaultIdleTimeout,
	}, nil
}

func (p *connPool) put(c *conn) {
	c.idleSince, c.reused = p.now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *connPool) closeExpired() {
	now := p.now()
	p.closeIdle(func(c *conn) bool { return now-c.idleSince >= c.idleTimeout })
}

// closeIdle closes the idle connections that match.
func (p *connPool) closeIdle(match func(c *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if !match(c) {
			return false
		}
		_ = c.Close()
		return true
	})
}

// close closes the idle connections. Calls in flight continue.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(func(*conn) bool { return true })
}

// remember records that a request was answered on the connection.
func (n *conn) remember(requestID string) {
	n.requestIDs[n.nextID] = requestID
	n.nextID = (n.nextID + 1) % rememberedIDs
}

// carried reports whether a request with the given ID was answered on the connection lately.
func (n *conn) carried(requestID string) bool {
	return requestID != "" && slices.Contains(n.requestIDs[:], requestID)
}

// usable reports whether an idle connection is still open and has no unexpected bytes to
// read. It peeks without blocking and consumes nothing.
func (n *conn) usable() bool {
	if n.reader.Buffered() > 0 {
		return false
	}
	var (
		buf     [1]byte
		read    int
		recvErr error
	)
	err := n.raw.Read(func(fd uintptr) bool {
		read, _, recvErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && read <= 0 && errors.Is(recvErr, syscall.EAGAIN)
}
