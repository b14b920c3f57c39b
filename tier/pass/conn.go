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

	"loomgap/tier/policy"
)

const (
	// upstreamDialBound is how long a connection to an upstream may take to make; hosts of
	// one platform are milliseconds apart.
	upstreamDialTimeout = 700 * time.Millisecond
	// idleUnknown is how long a connection may be idle if the upstream does not say how
	// long it keeps one.
	defaultIdleTimeout = 4 * time.Second
	// idleReserve is taken off the time that an upstream says it keeps an idle connection,
	// so that a request does not cross its close.
	idleTimeoutMargin = 500 * time.Millisecond
	// freshEnough is how long a connection may have been idle that carries a request which
	// is not repeatable.
	maxFreshIdle = 500 * time.Millisecond
	// readBuffer is the size of a connection's buffer for answers, in bytes.
	readBufferBytes = 4 << 10
	// silentCallBound is how long a call on a reused connection must go without an answer
	// until the other idle connections are closed: longer than upstreams pause, and no
	// longer than an unwanted call lingers that shows it. Without it, one request after
	// another is sent on connections that have all gone silent without a reset.
	silentCallTimeout = policy.LingerDuration
)

// conn is one connection to an upstream. One request is on it at a time.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// lastID is the request that was answered before on it.
	lastRequestID string
	// idleSince is when it was put back, as time since the process started.
	idleSince time.Duration
	// idleBound is how long it may be idle.
	idleTimeout time.Duration
	// reused is true once the connection has been put back.
	reused bool
}

type connPool struct {
	address netip.AddrPort
	// born is when the process there started, as of config.Listing.
	startedAt int64
	now       func() time.Duration

	mu   sync.Mutex
	idle []*conn
	// closed is true once the upstream is no longer listed.
	closed bool
}

// upstreamDialer makes the connections to upstreams.
var upstreamDialer = net.Dialer{Timeout: upstreamDialTimeout, KeepAlive: -1}

// get returns an idle connection that is still usable, or makes one. With fresh, only one
// that was used a moment ago is taken.
func (l *connPool) get(ctx context.Context, fresh bool) (*conn, error) {
	for {
		c := l.pop()
		if c == nil {
			return l.dial(ctx)
		}
		idle := l.now() - c.idleSince
		if idle < c.idleTimeout && (!fresh || idle < maxFreshIdle) && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (l *connPool) pop() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.idle)
	if n == 0 {
		return nil
	}
	c := l.idle[n-1]
	l.idle = l.idle[:n-1]
	return c
}

func (l *connPool) dial(ctx context.Context) (*conn, error) {
	c, err := upstreamDialer.DialContext(ctx, "tcp4", l.address.String())
	if err != nil {
		return nil, err
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &conn{Conn: c, raw: raw, reader: bufio.NewReaderSize(c, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

func (l *connPool) put(c *conn) {
	c.idleSince, c.reused = l.now(), true
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return
	}
	l.idle = append(l.idle, c)
}

func (l *connPool) closeExpired() {
	now := l.now()
	l.closeIdle(func(c *conn) bool { return now-c.idleSince >= c.idleTimeout })
}

// closeIdle closes the idle connections that dropped picks.
func (l *connPool) closeIdle(match func(c *conn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = slices.DeleteFunc(l.idle, func(c *conn) bool {
		if !match(c) {
			return false
		}
		_ = c.Close()
		return true
	})
}

// close closes the idle connections; calls under way go on.
func (l *connPool) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.closeIdle(func(*conn) bool { return true })
}

// usable reports whether the upstream left an idle connection open and sent no bytes that
// nobody asked for. It peeks without waiting and consumes nothing.
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
