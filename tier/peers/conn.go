package peers

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// bytesIn and bytesOut count the bytes of the peer protocol.
var (
	bytesIn  = metrics.GetOrCreateCounter("loomgap_peer_bytes_in")
	bytesOut = metrics.GetOrCreateCounter("loomgap_peer_bytes_out")
)

const (
	// writeBound is how long a peer may leave what is written unread. Without it an
	// unresponsive peer would hold up all callers of its connection, since each write waits
	// for the one before.
	writeTimeout = 2 * time.Second
	// silentBound is how long a peer may leave calls unanswered until its connection is
	// replaced: longer than an answer takes on a busy host (up to 100 ms). Without it a
	// connection that has gone silent, without a reset, keeps its host out of reach,
	// though a new one to the same host may work.
	unresponsiveTimeout = 300 * time.Millisecond
)

// peerConn is a connection to a peer. It counts bytes and notes for how long the peer
// has not answered. It is safe for concurrent use.
type peerConn struct {
	net.Conn
	now func() time.Duration

	// awaitingSince is when the first call was sent since bytes last came, in nanoseconds
	// of now; 0 if none was.
	unansweredSince atomic.Int64
}

func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesIn.Add(n)
	if n > 0 {
		c.unansweredSince.Store(0)
	}
	return n, err
}

func (c *peerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	bytesOut.Add(n)
	return n, err
}

func (c *peerConn) callSent() {
	c.unansweredSince.CompareAndSwap(0, max(int64(c.now()), 1)) // 0 is none
}

// silentFor returns for how long nothing has come since the first unanswered
// call; 0 if no call is unanswered.
func (c *peerConn) unansweredFor() time.Duration {
	since := c.unansweredSince.Load()
	if since == 0 {
		return 0
	}
	return c.now() - time.Duration(since)
}

// outgoing is a connection that this host made to a peer.
type outgoing struct {
	rpc *jsonrpc2.Conn
	raw *peerConn

	mu sync.Mutex
	// calls counts the calls under way.
	calls int
	// replaced is true once new calls go on another connection; the connection
	// is closed when the last call on it has ended.
	replaced bool
}

func (o *outgoing) call(ctx context.Context, method string, params, result any) error {
	o.addCalls(1)
	defer o.addCalls(-1)
	o.raw.callSent()
	return o.rpc.Call(ctx, method, params, result)
}

func (o *outgoing) addCalls(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls += n
	o.closeIfIdle()
}

func (o *outgoing) replace() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replaced = true
	o.closeIfIdle()
}

// closeIfDone is used with mu locked.
func (o *outgoing) closeIfIdle() {
	if o.replaced && o.calls == 0 {
		go func() { _ = o.rpc.Close() }()
	}
}

// connected returns the connection to an address; nil if there is none that answers.
func (n *node) responsiveConn(to netip.AddrPort) *outgoing {
	n.mu.Lock()
	o := n.conns[to]
	n.mu.Unlock()
	if o == nil || o.raw.unansweredFor() < unresponsiveTimeout {
		return o
	}
	n.unregister(to, o)
	o.replace()
	n.kernel.Log.Info().Str("Peer", to.String()).Msg("connection to peer is silent, making another")
	return nil
}

// dial returns a connection to an address, made if there is none.
func (n *node) dial(ctx context.Context, to netip.AddrPort) (*outgoing, error) {
	if o := n.responsiveConn(to); o != nil {
		return o, nil
	}
	raw, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w", to, ErrNoPeer, err)
	}
	c := &peerConn{Conn: raw, now: n.kernel.Now}
	return n.register(to, &outgoing{rpc: n.serveOn(c), raw: c}), nil
}

// register makes a connection the one to use, unless another was faster.
func (n *node) register(to netip.AddrPort, o *outgoing) *outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	if other := n.conns[to]; other != nil {
		go func() { _ = o.rpc.Close() }()
		return other
	}
	n.conns[to] = o
	go func() {
		<-o.rpc.DisconnectNotify()
		n.unregister(to, o)
	}()
	return o
}

func (n *node) unregister(to netip.AddrPort, o *outgoing) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[to] == o {
		delete(n.conns, to)
	}
}
