package runner

import (
	"context"
	"net"
	"net/netip"
	"time"

	"loomgap/tier/policy"
)

// refusalBound is how long an upstream has to take a connection until it is taken to
// have ended: some round trips between regions. Its call is not made again before.
const refusalBound = 50 * time.Millisecond

// LookInto returns what became of a call: if its connection was lost, whether the
// upstream has ended, or takes connections and only reset this one. No request is to
// blame for the latter.
func LookInto(ctx context.Context, o policy.CallOutcome, upstream netip.AddrPort) policy.CallOutcome {
	if o != policy.CallBroken || ctx.Err() != nil {
		return o
	}
	bounded, cancel := context.WithTimeout(ctx, refusalBound)
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
