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

	"loomgap/tier/guard"
)

// bytesIn and bytesOut count the bytes of the peer protocol.
var (
	bytesIn  = metrics.GetOrCreateCounter("loomgap_peer_bytes_in")
	bytesOut = metrics.GetOrCreateCounter("loomgap_peer_bytes_out")
)

const (
	// writeTimeout limits one write to a peer. Without it, a peer that stops reading would
	// block all callers of its connection, since writes are serialized.
	writeTimeout = 2 * time.Second
	// unresponsiveTimeout is how long calls may stay unanswered before the connection is
	// replaced; it is longer than a busy host takes to answer (up to 100 ms). Without it, a connection that
	// stalls without a reset would keep the host unreachable, although a new connection to it
	// may work.
	unresponsiveTimeout = 300 * time.Millisecond
)

// peerConn is a connection to a peer. It counts bytes and tracks how long the peer has not
// answered. It is safe for concurrent use.
type peerConn struct {
	net.Conn
	now func() time.Duration

	// unansweredSince is when the first call after the last received bytes was sent, in
	// nanoseconds of now; 0 if no call is unanswered.
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

// progress tells the door of an incoming connection that the peer has sent a message.
func (c *peerConn) progress() {
	if in, ok := c.Conn.(*guard.Conn); ok {
		in.Progress()
	}
}

func (c *peerConn) callSent() {
	c.unansweredSince.CompareAndSwap(0, max(int64(c.now()), 1)) // 0 means that no call is unanswered
}

// unansweredFor returns the time since the first unanswered call; 0 if there is none.
func (c *peerConn) unansweredFor() time.Duration {
	since := c.unansweredSince.Load()
	if since == 0 {
		return 0
	}
	return c.now() - time.Duration(since)
}

// outgoing is a connection that this host opened to a peer.
type outgoing struct {
	rpc *jsonrpc2.Conn
	raw *peerConn

	mu sync.Mutex
	// calls counts the calls in progress.
	calls int
	// replaced is true once new calls use another connection. This one is closed when its
	// last call has ended.
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

// closeIfIdle closes a replaced connection without calls. It must be called with mu locked.
func (o *outgoing) closeIfIdle() {
	if o.replaced && o.calls == 0 {
		go func() { _ = o.rpc.Close() }()
	}
}

// responsiveConn returns the connection to an address, or nil if there is none that answers.
func (n *node) responsiveConn(to netip.AddrPort) *outgoing {
	n.mu.Lock()
	o := n.conns[to]
	n.mu.Unlock()
	if o == nil || o.raw.unansweredFor() < unresponsiveTimeout {
		return o
	}
	n.unregister(to, o)
	o.replace()
	n.kernel.Log.Info().Str("Peer", to.String()).Msg("connection to peer is unresponsive, reconnecting")
	return nil
}

// dial returns the connection to an address, and opens one if there is none.
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

// register makes o the connection to an address, unless another one was registered first.
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
