package pass

import (
	"context"
	"sync/atomic"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// sweepEvery is how often idle connections to upstreams are looked through. Not
// measured.
const sweepEvery = time.Second

// engine serves routed requests. It is safe for concurrent use; fields that say so are
// used on the control thread only.
type engine struct {
	kernel  *kernel.Kernel
	headers kernel.Headers
	// links holds a link for each listed upstream, by name; the map is never changed.
	links     atomic.Pointer[map[string]*link]
	splitters splitters
	hosts     hostTracker
	ids       idSource
	// relay has this host's part in the exchange with relays, coordinate that in the
	// exchange with coordinators.
	relay        relayExchange
	coordinate   coordinateExchange
	coordinators coordinators
	overhead     overhead
	// start opens once there is a configuration to serve requests by.
	start startGate
	// preconnected are the hosts that were connected to ahead; used on the control
	// thread.
	preconnected map[string]bool
	// basis is what shares and links were made from; used on the control thread.
	basis shareBasis
}

// relayExchange is one host's part in the exchange with relays, at both ends.
type relayExchange struct {
	inboxes inboxes[*batchReply]
	// served has each batch while it has calls under way or records that were left
	// out.
	served registry[*servedBatch]
	// allRecords notes the routes of this host's requests that need all records.
	allRecords allRecords
}

// coordinateExchange is one host's part in the exchange with coordinators, at both
// ends.
type coordinateExchange struct {
	inboxes inboxes[struct{}]
	served  registry[*servedRequest]
	// times are for requests sent. They are changed by tests only.
	times signTimes
}

// newEngine makes an engine that follows the kernel's views, and returns what closes
// its connections.
func newEngine(k *kernel.Kernel, h kernel.Headers) (*engine, func()) {
	e := &engine{
		kernel: k, headers: h, hosts: newHostTracker(), ids: newIDSource(), start: newStartGate(),
		coordinate: coordinateExchange{times: signTimes{first: firstSignBound, next: signBound}},
	}
	e.handleRelay()
	e.handleCoordinate()
	e.links.Store(&map[string]*link{})
	k.OnView(e.follow)
	stopSweep := kernel.RunLoops(context.Background(), e.sweep)
	return e, func() {
		stopSweep()
		for _, l := range *e.links.Load() {
			l.close()
		}
	}
}

// sweep closes connections that were idle for too long, until the context ends.
func (e *engine) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		for _, l := range *e.links.Load() {
			l.sweep()
		}
		kernel.Sleep(ctx, sweepEvery)
	}
}

// follow takes a new view in; it runs on the control thread.
func (e *engine) follow(v *kernel.View) {
	if v.Index == nil || v.Directory == nil {
		return
	}
	defer e.start.open()
	e.coordinators.follow(v)
	e.preconnect(v)
	e.followShares(v)
	e.assignCold(v)
}

// followShares sets shares, links and retry budgets, unless what they depend on is
// much as before; it runs on the control thread.
func (e *engine) followShares(v *kernel.View) {
	next := newShareBasis(v, &e.kernel.Settings, e.kernel.Live().RetryBudget)
	if next.like(&e.basis) {
		return
	}
	e.basis = next
	e.kernel.Fleet.SetRetryBudgets(next.retryBudgets())
	var shares []policy.Share
	for _, l := range v.Directory.All() {
		shares = append(shares, e.share(&l, &next))
	}
	granted := e.kernel.Fleet.Apply(e.kernel.Now(), shares)
	e.followLinks(v.Directory)
	// The control thread carries no traffic.
	go policy.Deliver(granted)
}

// followLinks makes the links to the listed upstreams and closes those to all others.
func (e *engine) followLinks(d *config.Directory) {
	old, links := *e.links.Load(), map[string]*link{}
	for _, l := range d.All() {
		n := old[l.Name]
		if n == nil || n.address != l.Address {
			n = &link{address: l.Address, now: e.kernel.Now}
		}
		links[l.Name] = n
	}
	e.links.Store(&links)
	for name, l := range old {
		if links[name] != l {
			l.close()
		}
	}
}

// link returns the link to an upstream; nil if it is not listed.
func (e *engine) link(name string) *link { return (*e.links.Load())[name] }
