package peers

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// newTestNode makes a node that listens on a free port.
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

// TestHandlerTellsItsCallerMore has a handler tell its caller something before it
// answers; it comes back on the caller's own connection.
func TestHandlerTellsItsCallerMore(t *testing.T) {
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
	heard := make(chan string, 10)
	caller.Handle("Progress", func(_ context.Context, params json.RawMessage) (any, error) {
		heard <- string(params)
		return struct{}{}, nil
	})
	told := 0
	assert.NilError(t, n.callAddress(t.Context(), at, "Work", struct{}{}, &told))
	var got []string
	for range told {
		got = append(got, <-heard)
	}
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{"0", "1", "2"})
	assert.Assert(t, kernel.Push(t.Context(), "Progress", 1) != nil, "a call without a connection has no way back")
}
