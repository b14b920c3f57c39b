package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stallingProxy forwards connections to an address, except the first one, which it keeps open
// without reading or writing.
type stallingProxy struct {
	listener net.Listener
	accepted atomic.Int32
}

func newStallingProxy(t *testing.T, to netip.AddrPort) *stallingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &stallingProxy{listener: l}
	go s.serve(t, to)
	return s
}

func (s *stallingProxy) address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s *stallingProxy) serve(t *testing.T, to netip.AddrPort) {
	for {
		in, err := s.listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = in.Close() })
		if s.accepted.Add(1) == 1 {
			continue
		}
		out, err := net.Dial("tcp", to.String())
		if err != nil {
			_ = in.Close()
			continue
		}
		t.Cleanup(func() { _ = out.Close() })
		go copyAll(in, out)
		go copyAll(out, in)
	}
}

func copyAll(to, from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			_ = to.Close()
			return
		}
	}
}

// TestUnresponsiveConnectionIsReplaced checks that calls use a new connection to a peer when the
// first one stalls without a reset.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	_, n, _ := newTestNode(t)
	k, _, at := newTestNode(t)
	k.Handle("Echo", func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	proxy := newStallingProxy(t, at)
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), unresponsiveTimeout/2)
		defer cancel()
		var none struct{}
		return n.callAddress(ctx, proxy.address(), "Echo", struct{}{}, &none)
	}
	assert.Assert(t, call() != nil, "the first connection must stall")
	for attempt := 0; call() != nil; attempt++ {
		assert.Assert(t, attempt < 20, "the stalled connection stays in use")
	}
	assert.Equal(t, proxy.accepted.Load(), int32(2))
}

// TestFetchSurvivesUnresponsiveConnection checks that a fetch succeeds although its first
// connection stalls.
func TestFetchSurvivesUnresponsiveConnection(t *testing.T) {
	_, n, _ := newTestNode(t)
	k, _, at := newTestNode(t)
	k.Handle("Echo", func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	proxy := newStallingProxy(t, at)
	var none struct{}
	assert.NilError(t, fetch(n, proxy.address(), "Echo", struct{}{}, &none))
}

// TestSlowAnswerArrivesOnReplacedConnection checks that a call still gets its answer after its
// connection was replaced.
func TestSlowAnswerArrivesOnReplacedConnection(t *testing.T) {
	_, n, _ := newTestNode(t)
	k, _, at := newTestNode(t)
	release := make(chan struct{})
	k.Handle("Slow", func(context.Context, json.RawMessage) (any, error) {
		<-release
		return struct{}{}, nil
	})
	k.Handle("Echo", func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	slow := make(chan error, 1)
	go func() {
		var none struct{}
		slow <- n.callAddress(ctx, at, "Slow", struct{}{}, &none)
	}()
	before := firstConnection(n, at)
	for n.responsiveConn(at) == before {
		time.Sleep(unresponsiveTimeout / 10)
	}
	var none struct{}
	assert.NilError(t, n.callAddress(ctx, at, "Echo", struct{}{}, &none))
	close(release)
	assert.NilError(t, <-slow)
}

// firstConnection waits until there is a connection to an address.
func firstConnection(n *node, at netip.AddrPort) *outgoing {
	for {
		if o := n.responsiveConn(at); o != nil {
			return o
		}
		time.Sleep(time.Millisecond)
	}
}
