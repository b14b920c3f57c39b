package pass

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"loomgap/tier/policy"
)

// Times and sizes of upstream connections.
const (
	// dialBound is how long a connection may take; two hosts of one platform
	// are milliseconds apart.
	dialBound = 700 * time.Millisecond
	// idleUnknown is how long a connection rests at most where the upstream
	// does not say how long it keeps one.
	idleUnknown = 4 * time.Second
	// idleReserve is taken off the time that an upstream says it keeps a
	// connection, so that a request does not cross its close.
	idleReserve = 500 * time.Millisecond
	// freshEnough is how long a connection may have rested that carries a
	// request which must not be repeated.
	freshEnough = 500 * time.Millisecond
	readBuffer  = 4 << 10
	// silentBound is how long a call on a kept connection must go without an
	// answer until the other kept connections are distrusted: longer than
	// upstreams pause, and no longer than a call lingers that shows it. It
	// prevents one request after another from being sent on connections that
	// have all gone silent without a reset.
	silentBound = policy.LingerFor
)

// errStale is a kept connection that ended or spoke out of turn.
var errStale = errors.New("kept connection is no longer usable")

// conn is one connection to an upstream. One request is on it at a time.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// lastID is the request that was answered before on it.
	lastID string
	// restedAt is when it was put back; idleFor is how long it may rest.
	restedAt time.Duration
	idleFor  time.Duration
	// reused is true once the connection has been put back.
	reused bool
}

// link holds the kept connections to one upstream.
type link struct {
	name    string
	address netip.AddrPort
	now     func() time.Duration

	mu   sync.Mutex
	idle []*conn
	// closed is true once the upstream is no longer listed.
	closed bool
}

// dialer makes the connections to upstreams.
var dialer = net.Dialer{Timeout: dialBound, KeepAlive: -1}

// get returns a kept connection that is still sound, or makes one. With fresh,
// only one that was used a moment ago is taken.
func (l *link) get(ctx context.Context, fresh bool) (*conn, error) {
	for {
		c := l.pop()
		if c == nil {
			return l.dial(ctx)
		}
		rested := l.now() - c.restedAt
		if rested < c.idleFor && (!fresh || rested < freshEnough) && c.checkIdle() == nil {
			return c, nil
		}
		_ = c.Close()
	}
}

func (l *link) pop() *conn {
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

func (l *link) dial(ctx context.Context) (*conn, error) {
	c, err := dialer.DialContext(ctx, "tcp4", l.address.String())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", l.name, err)
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("connect to %s: %w", l.name, err)
	}
	return &conn{Conn: c, raw: raw, reader: bufio.NewReaderSize(c, readBuffer), idleFor: idleUnknown}, nil
}

// put keeps a connection for the next request.
func (l *link) put(c *conn) {
	c.restedAt, c.reused = l.now(), true
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return
	}
	l.idle = append(l.idle, c)
}

// sweep closes the connections that have rested too long.
func (l *link) sweep() {
	now := l.now()
	l.closeIdle(func(c *conn) bool { return now-c.restedAt >= c.idleFor })
}

// closeIdle closes the kept connections that a test picks.
func (l *link) closeIdle(dropped func(c *conn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = slices.DeleteFunc(l.idle, func(c *conn) bool {
		if !dropped(c) {
			return false
		}
		_ = c.Close()
		return true
	})
}

// closeIdleBefore closes the kept connections that have not brought an answer since a
// call on one of them was sent in vain.
func (l *link) closeIdleBefore(since time.Duration) {
	l.closeIdle(func(c *conn) bool { return c.restedAt < since })
}

// close closes what is kept; calls under way go on.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.idle {
		_ = c.Close()
	}
	l.idle = nil
}

// checkIdle fails if the upstream closed the connection or sent bytes that nobody
// asked for. It looks without waiting and takes nothing off the connection.
func (c *conn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errStale
	}
	var (
		one    [1]byte
		n      int
		failed error
	)
	err := c.raw.Read(func(fd uintptr) bool {
		n, _, failed = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return err
	}
	if n > 0 || !errors.Is(failed, syscall.EAGAIN) {
		return errStale
	}
	return nil
}
