package pass

import (
	"context"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// sweepEvery is how often idle connections to upstreams are looked through.
const sweepEvery = time.Second

// engine serves routed requests. It is safe for concurrent use; fields that say so are
// used on the control thread only.
type engine struct {
	kernel  *kernel.Kernel
	headers kernel.Headers
	// links holds a link for each listed upstream, by name.
	links     linkTable
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
	// basis is what shares and links were made from, counted the hosts of the last view,
	// members the MemberChanges that this count and the choice of other hosts were made
	// from; used on the control thread.
	basis   shareBasis
	counted hostCounts
	members uint64
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
	k.OnView(e.follow)
	stopSweep := kernel.RunLoops(context.Background(), e.sweep)
	return e, func() {
		stopSweep()
		e.links.closeAll()
	}
}

// sweep closes connections that were idle for too long, until the context ends.
func (e *engine) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		e.links.sweep()
		kernel.Sleep(ctx, sweepEvery)
	}
}

// follow takes a new view in; it runs on the control thread.
func (e *engine) follow(v *kernel.View) {
	if v.Index == nil || v.Directory == nil {
		return
	}
	defer e.start.open()
	if halls := e.coordinators.followHalls(v.Directory); halls || v.MemberChanges != e.members {
		e.members, e.counted = v.MemberChanges, countHosts(v, &e.kernel.Settings)
		e.coordinators.followMembers(v)
		e.preconnect(v)
	}
	e.followShares(v)
	e.assignCold(v)
}

// followShares sets shares, links and retry budgets, as far as what they depend on has
// changed; it runs on the control thread.
func (e *engine) followShares(v *kernel.View) {
	next := shareBasis{index: v.Index, directory: v.Directory, retryBudget: e.kernel.Live().RetryBudget, hostCounts: e.counted}
	touched, known := v.Directory.ChangedNames(e.basis.directory)
	if !known || !next.like(&e.basis) || !v.Directory.SameEvacuations(e.basis.directory) {
		e.basis = next
		e.kernel.Fleet.SetRetryBudgets(next.retryBudgets())
		e.shareAll()
		return
	}
	e.basis.directory = v.Directory
	if len(touched) > 0 {
		e.shareSome(touched)
	}
}

// shareAll sets the shares of all upstreams anew, and their links.
func (e *engine) shareAll() {
	all := e.basis.directory.All()
	shares := make([]policy.Share, 0, len(all))
	for i := range all {
		shares = append(shares, e.share(&all[i], &e.basis))
	}
	granted := e.kernel.Fleet.Apply(e.kernel.Now(), shares)
	e.links.replace(all, e.kernel.Now)
	// The control thread carries no traffic.
	go policy.Deliver(granted)
}

// shareSome sets the shares and links of upstreams that were listed, changed or removed.
func (e *engine) shareSome(names []string) {
	var listed []config.Listing
	var shares []policy.Share
	var gone []string
	for _, n := range names {
		l, ok := e.basis.directory.Find(n)
		if !ok {
			gone = append(gone, n)
			continue
		}
		listed = append(listed, l)
		shares = append(shares, e.share(&l, &e.basis))
	}
	granted := e.kernel.Fleet.Update(e.kernel.Now(), shares, gone)
	e.links.update(listed, gone, e.kernel.Now)
	go policy.Deliver(granted)
}

// link returns the link to an upstream; nil if it is not listed.
func (e *engine) link(name string) *link { return e.links.find(name) }
