package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// newTestNode returns a node that listens on a free port.
func newTestNode(t *testing.T) (*kernel.Kernel, *node, netip.AddrPort) {
	k, closeKernel := kernel.New(kernel.Config{
		Settings: kernel.Settings{Peer: netip.MustParseAddrPort("127.0.0.1:0")}, Log: zerolog.Nop(), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{}),
	})
	n, closeNode, err := newNode(k)
	assert.NilError(t, err)
	t.Cleanup(func() {
		closeNode()
		closeKernel()
	})
	return k, n, netip.MustParseAddrPort(n.listener.Addr().String())
}

// TestHandlerPushesToItsCaller checks that a handler can send messages to its caller, on the
// caller's connection, before it returns.
func TestHandlerPushesToItsCaller(t *testing.T) {
	served, _, at := newTestNode(t)
	served.Handle("Work", func(ctx context.Context, _ json.RawMessage) (any, error) {
		for i := range 3 {
			if err := kernel.Push(ctx, "Progress", i); err != nil {
				return nil, err
			}
		}
		return 3, nil
	})
	caller, n, _ := newTestNode(t)
	received := make(chan string, 10)
	caller.Handle("Progress", func(_ context.Context, params json.RawMessage) (any, error) {
		received <- string(params)
		return struct{}{}, nil
	})
	sent := 0
	assert.NilError(t, n.callAddress(t.Context(), at, "Work", struct{}{}, &sent))
	var got []string
	for range sent {
		got = append(got, <-received)
	}
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{"0", "1", "2"})
	assert.Assert(t, kernel.Push(t.Context(), "Progress", 1) != nil, "push without a connection must fail")
}

// failingListener fails a number of times before it accepts, like that of a host that is
// temporarily out of file descriptors.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// TestAcceptContinuesAfterFailure checks that a host that runs out of file descriptors logs this
// and accepts peers again later, and that accept returns when the listener is closed.
func TestAcceptContinuesAfterFailure(t *testing.T) {
	const failures = 3
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var log bytes.Buffer
	served, closeKernel := kernel.New(kernel.Config{
		Log: zerolog.New(&log), Started: time.Now(), Fleet: policy.NewFleet(policy.FleetConfig{}),
	})
	t.Cleanup(closeKernel)
	n := &node{
		kernel: served, listener: &failingListener{Listener: l, failures: failures},
		conns: map[netip.AddrPort]*outgoing{}, incoming: map[*jsonrpc2.Conn]bool{},
	}
	t.Cleanup(n.close)
	served.Handle("Work", func(context.Context, json.RawMessage) (any, error) { return 1, nil })
	ended := make(chan struct{})
	go func() {
		n.accept()
		close(ended)
	}()
	_, caller, _ := newTestNode(t)
	var answer int
	assert.NilError(t, callWithin(caller, callTimeout, netip.MustParseAddrPort(l.Addr().String()), "Work", struct{}{}, &answer))
	assert.Equal(t, answer, 1)
	assert.NilError(t, l.Close())
	select {
	case <-ended:
	case <-time.After(callTimeout):
		t.Fatal("accept continues after its listener was closed")
	}
	assert.Equal(t, strings.Count(log.String(), "too many open files"), failures, log.String())
}
