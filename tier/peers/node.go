package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"loomgap/tier/kernel"
)

// ErrNoPeer is wrapped when a host cannot be reached or is not known.
var ErrNoPeer = errors.New("peer not reached")

// Bounds of the peer protocol.
const (
	dialBound = time.Second
	callBound = 2 * time.Second
	// codeBusy is the JSON-RPC error code for a handler's own error.
	codeBusy = -32000
)

// node serves and calls the peer protocol.
type node struct {
	kernel   *kernel.Kernel
	listener net.Listener
	mu       sync.Mutex
	// conns holds the outgoing connection of each address; used with mu held.
	conns map[netip.AddrPort]*jsonrpc2.Conn
	// serving holds the incoming connections; used with mu held.
	serving map[*jsonrpc2.Conn]bool
}

var _ kernel.PeerCaller = (*node)(nil)

func newNode(k *kernel.Kernel) (*node, func(), error) {
	l, err := net.Listen("tcp", k.Settings.Peer.String())
	if err != nil {
		return nil, nil, fmt.Errorf("listen for peers: %w: free the address or set -Peer", err)
	}
	n := &node{kernel: k, listener: l, conns: map[netip.AddrPort]*jsonrpc2.Conn{}, serving: map[*jsonrpc2.Conn]bool{}}
	go n.accept()
	return n, n.close, nil
}

func (n *node) close() {
	_ = n.listener.Close()
	n.mu.Lock()
	var all []*jsonrpc2.Conn
	for _, c := range n.conns {
		all = append(all, c)
	}
	for c := range n.serving {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

func (n *node) accept() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		conn := n.connect(c)
		n.mu.Lock()
		n.serving[conn] = true
		n.mu.Unlock()
		go func() {
			<-conn.DisconnectNotify()
			n.mu.Lock()
			delete(n.serving, conn)
			n.mu.Unlock()
		}()
	}
}

func (n *node) connect(c net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(countedConn{c}, frameCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(n.serve))
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(quiet{}))
}

// serve carries out a call of another host.
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
		return nil, &jsonrpc2.Error{Code: codeBusy, Message: err.Error()}
	}
	return out, nil
}

// Call implements kernel.PeerCaller.
func (n *node) Call(ctx context.Context, host, method string, params, result any) error {
	at, err := n.addressOf(host)
	if err != nil {
		return err
	}
	return n.callAddress(ctx, at, method, params, result)
}

// Notify implements kernel.PeerCaller.
func (n *node) Notify(ctx context.Context, host, method string, params any) error {
	at, err := n.addressOf(host)
	if err != nil {
		return err
	}
	c, err := n.dial(ctx, at)
	if err != nil {
		return err
	}
	if err := c.Notify(ctx, method, params); err != nil {
		return fmt.Errorf("%s at %s: %w", method, at, err)
	}
	return nil
}

// Connect implements kernel.PeerCaller.
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
	c, err := n.dial(ctx, to)
	if err != nil {
		return err
	}
	if err := c.Call(ctx, method, params, result); err != nil {
		return fmt.Errorf("%s at %s: %w", method, to, err)
	}
	return nil
}

func (n *node) dial(ctx context.Context, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	n.mu.Lock()
	c := n.conns[to]
	n.mu.Unlock()
	if c != nil {
		return c, nil
	}
	d := net.Dialer{Timeout: dialBound}
	raw, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w", to, ErrNoPeer, err)
	}
	return n.keep(to, n.connect(raw)), nil
}

// keep makes a connection the one to use, unless another was faster.
func (n *node) keep(to netip.AddrPort, c *jsonrpc2.Conn) *jsonrpc2.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if other := n.conns[to]; other != nil {
		go func() { _ = c.Close() }()
		return other
	}
	n.conns[to] = c
	go func() {
		<-c.DisconnectNotify()
		n.drop(to, c)
	}()
	return c
}

func (n *node) drop(to netip.AddrPort, c *jsonrpc2.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[to] == c {
		delete(n.conns, to)
	}
}

// hangUp closes the connection to an address that does not answer.
func (n *node) hangUp(to netip.AddrPort) {
	n.mu.Lock()
	c := n.conns[to]
	n.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// quiet drops the library's own log lines; errors come back from calls.
type quiet struct{}

var _ jsonrpc2.Logger = quiet{}

// Printf implements jsonrpc2.Logger.
func (quiet) Printf(string, ...any) {}
