package runner

import (
	"context"
	"net"
	"net/netip"
	"time"

	"loomgap/tier/policy"
)

// connectTimeout is how long an upstream has to accept a connection before it is
// considered crashed: some round trips between regions, which are 10 ms apart. Its call
// is not made again before.
const connectTimeout = 50 * time.Millisecond

// DetectCrash returns what became of a call. If its connection was lost, it connects to
// the upstream once more: one that refuses has crashed, and one that accepts only reset
// this connection, for which no request is to blame.
func DetectCrash(ctx context.Context, o policy.CallOutcome, upstream netip.AddrPort) policy.CallOutcome {
	if o != policy.CallBroken || ctx.Err() != nil {
		return o
	}
	bounded, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(bounded, "tcp", upstream.String())
	switch {
	case err == nil:
		_ = c.Close()
		return o
	case ctx.Err() != nil:
		return o // the call was given up meanwhile
	default:
		return policy.CallCrashed
	}
}
