package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"

	"loomgap/tier/guard"
	"loomgap/tier/kernel"
)

// ErrNoPeer is wrapped when a host is unknown or cannot be reached.
var ErrNoPeer = errors.New("peer not reached")

const (
	// dialTimeout limits opening a connection to a peer.
	dialTimeout = time.Second
	// callTimeout limits the second attempt of a fetch, and a message with crash reports.
	callTimeout = 2 * time.Second
	// acceptRetryDelay is the pause after a connection could not be accepted. It is shorter
	// than unresponsiveTimeout, after which callers replace the connection.
	acceptRetryDelay = 100 * time.Millisecond
	// codeHandlerFailed is the JSON-RPC error code of an error that a handler returned: the
	// first of those that JSON-RPC 2.0 reserves for servers.
	codeHandlerFailed = -32000
)

const (
	// frameMemoryDivisor is the part of the memory that messages being read may take.
	frameMemoryDivisor = 5
	// framesAtLeast is how many of the largest messages fit, on a small host whose platform stores
	// large documents too: packed, and their text twice while it is put together. A third of the
	// memory is only for small messages.
	framesAtLeast = 5
)

// minFrameLimit is the size of a message with the largest document, in bytes.
func minFrameLimit(s *kernel.Settings) int { return packedDocumentFactor * int(maxDocumentBytes(s)) }

// frameMemory is what the messages that are read at the same time may take, in bytes.
func frameMemory(s *kernel.Settings) int64 {
	return max(s.Memory()/frameMemoryDivisor, framesAtLeast*int64(minFrameLimit(s)))
}

var dialer = net.Dialer{Timeout: dialTimeout}

// node serves and calls the peer protocol.
type node struct {
	kernel   *kernel.Kernel
	listener net.Listener
	mu       sync.Mutex
	// conns holds the outgoing connection to each address; guarded by mu.
	conns map[netip.AddrPort]*outgoing
	// frames limits the messages that are read from all peers at the same time.
	frames *kernel.ByteBudget
	// incoming holds the incoming connections; guarded by mu.
	incoming map[*jsonrpc2.Conn]bool
}

var _ kernel.PeerCaller = (*node)(nil)

func newNode(k *kernel.Kernel) (*node, func(), error) {
	door := k.NewDoor(kernel.DoorPeers, guard.DoorConfig{Opaque: true})
	l, err := door.Listen(k.Settings.Peer)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for peers: %w (free the address or set -Peer)", err)
	}
	n := &node{
		kernel: k, listener: l, conns: map[netip.AddrPort]*outgoing{}, incoming: map[*jsonrpc2.Conn]bool{},
		frames: kernel.NewByteBudget(frameMemory(&k.Settings), 1),
	}
	go n.accept()
	return n, n.close, nil
}

func (n *node) close() {
	_ = n.listener.Close()
	n.mu.Lock()
	var all []*jsonrpc2.Conn
	for _, o := range n.conns {
		all = append(all, o.rpc)
	}
	for c := range n.incoming {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

// accept accepts connections of peers until the listener is closed. It retries after any
// other error, such as running out of file descriptors: otherwise this host would accept no
// peer until it is restarted.
func (n *node) accept() {
	for {
		c, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.kernel.Log.Warn().Err(err).Msg("failed to accept connection from peer")
			time.Sleep(acceptRetryDelay)
			continue
		}
		conn := n.serveOn(&peerConn{Conn: c, now: n.kernel.Now})
		n.mu.Lock()
		n.incoming[conn] = true
		n.mu.Unlock()
		go func() {
			<-conn.DisconnectNotify()
			n.mu.Lock()
			delete(n.incoming, conn)
			n.mu.Unlock()
		}()
	}
}

func (n *node) serveOn(c *peerConn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(c, frameCodec{
		minLimit: minFrameLimit(&n.kernel.Settings), conn: c, account: n.frames.Account(),
		rejected: func(err error) {
			metrics.GetOrCreateCounter("loomgap_peer_messages_rejected_total").Inc()
			n.kernel.RequestLog.Warn().Err(err).Stringer("Peer", c.RemoteAddr()).Msg("message of peer rejected, connection closed")
		},
		received: c.progress,
	})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(n.serve))
	// The library's own log lines are dropped, since calls return the errors.
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(context.Background(), stream, handler, quiet)
}

func (n *node) serve(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	h := n.kernel.Handler(r.Method)
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	out, err := h(kernel.WithPush(ctx, func(method string, params any) error { return c.Notify(ctx, method, params) }), *r.Params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeHandlerFailed, Message: err.Error()}
	}
	return out, nil
}

func (n *node) Call(ctx context.Context, host, method string, params, result any) error {
	at, err := n.addressOf(host)
	if err != nil {
		return err
	}
	return n.callAddress(ctx, at, method, params, result)
}

func (n *node) Notify(ctx context.Context, host, method string, params any) error {
	at, err := n.addressOf(host)
	if err != nil {
		return err
	}
	o, err := n.dial(ctx, at)
	if err != nil {
		return err
	}
	if err := o.rpc.Notify(ctx, method, params); err != nil {
		return fmt.Errorf("%s at %s: %w", method, at, err)
	}
	return nil
}

func (n *node) Connect(ctx context.Context, host string) error {
	at, err := n.addressOf(host)
	if err != nil {
		return err
	}
	_, err = n.dial(ctx, at)
	return err
}

func (n *node) addressOf(host string) (netip.AddrPort, error) {
	v := n.kernel.View()
	if v.Index != nil && v.Index.Host(host) != nil {
		return v.Index.Host(host).Peer, nil
	}
	if at := v.Members[host].Peer; at.IsValid() {
		return at, nil
	}
	return netip.AddrPort{}, fmt.Errorf("host %q is not known: %w", host, ErrNoPeer)
}

func (n *node) callAddress(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	o, err := n.dial(ctx, to)
	if err != nil {
		return err
	}
	if err := o.call(ctx, method, params, result); err != nil {
		return fmt.Errorf("%s at %s: %w", method, to, err)
	}
	return nil
}
