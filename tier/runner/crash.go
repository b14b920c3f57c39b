package runner

import (
	"context"
	"net"
	"net/netip"
	"time"

	"loomgap/tier/policy"
)

// connectTimeout is how long an upstream has to accept a connection before it counts as
// crashed. It covers several round trips between regions; the retry of the call waits for
// it.
const connectTimeout = 50 * time.Millisecond

// DetectCrash refines the outcome of a call. If the connection was lost, it connects to the
// upstream again: an upstream that does not accept has crashed, while one that accepts has
// only reset this connection, which is not evidence against any request.
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
		return o // the call was cancelled in the meantime
	default:
		return policy.CallCrashed
	}
}
