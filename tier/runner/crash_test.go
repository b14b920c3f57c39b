package runner

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"loomgap/tier/policy"
)

// TestDetectCrash checks that a crashed upstream is distinguished from one that accepts
// connections, and that cancelled calls keep their outcome.
func TestDetectCrash(t *testing.T) {
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, accepting.Close()) }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	addressOf := func(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name     string
		ctx      context.Context
		outcome  policy.CallOutcome
		upstream net.Listener
		want     policy.CallOutcome
	}{
		{"it accepts connections", t.Context(), policy.CallBroken, accepting, policy.CallBroken},
		{"it refuses connections", t.Context(), policy.CallBroken, closed, policy.CallCrashed},
		{"the call was given up", cancelled, policy.CallBroken, closed, policy.CallBroken},
		{"the connection was not lost", t.Context(), policy.CallFailed, closed, policy.CallFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, DetectCrash(tt.ctx, tt.outcome, addressOf(tt.upstream)), tt.want)
		})
	}
}
