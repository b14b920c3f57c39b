package pass

import (
	"context"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// sweepEvery is how often idle connections to upstreams are looked through.
const sweepInterval = time.Second

// engine serves routed requests. It is safe for concurrent use; fields that say so are
// used on the control thread only.
type engine struct {
	kernel  *kernel.Kernel
	headers kernel.Headers
	// links holds a link for each listed upstream, by name.
	pools     connPools
	splitters splitters
	hosts     hostTracker
	ids       idSource
	// relay has this host's part in the exchange with relays, coordinate that in the
	// exchange with coordinators.
	relay        relayState
	coordinate   coordinateState
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
	inputs        shareInputs
	counts        hostCounts
	memberChanges uint64
}

// relayExchange is one host's part in the exchange with relays, at both ends.
type relayState struct {
	inboxes inboxes[*batchReply]
	// served has each batch while it has calls under way or records that were left
	// out.
	served registry[*servedBatch]
	// allRecords notes the routes of this host's requests that need all records.
	fullRecordRoutes fullRecordRoutes
}

// coordinateExchange is one host's part in the exchange with coordinators, at both
// ends.
type coordinateState struct {
	inboxes inboxes[struct{}]
	served  registry[*servedRequest]
	// times are for requests sent. They are changed by tests only.
	heartbeat heartbeatTimeouts
}

// newEngine makes an engine that follows the kernel's views, and returns what closes
// its connections.
func newEngine(k *kernel.Kernel, h kernel.Headers) (*engine, func()) {
	e := &engine{
		kernel: k, headers: h, hosts: newHostTracker(), ids: newIDSource(), start: newStartGate(),
		coordinate: coordinateState{heartbeat: heartbeatTimeouts{first: firstHeartbeatTimeout, next: heartbeatTimeout}},
	}
	e.handleRelay()
	e.handleCoordinate()
	k.OnView(e.applyView)
	stopClosing := kernel.RunLoops(context.Background(), e.closeExpired)
	return e, func() {
		stopClosing()
		e.pools.closeAll()
	}
}

// sweep closes connections that were idle for too long, until the context ends.
func (e *engine) closeExpired(ctx context.Context) {
	for ctx.Err() == nil {
		e.pools.closeExpired()
		kernel.Sleep(ctx, sweepInterval)
	}
}

// follow takes a new view in; it runs on the control thread.
func (e *engine) applyView(v *kernel.View) {
	if v.Index == nil || v.Directory == nil {
		return
	}
	defer e.start.open()
	if hallsChanged := e.coordinators.updateHalls(v.Directory); hallsChanged || v.MemberChanges != e.memberChanges {
		e.memberChanges, e.counts = v.MemberChanges, countHosts(v, &e.kernel.Settings)
		e.coordinators.updateMembers(v)
		e.preconnect(v)
	}
	e.updateShares(v)
	e.assignColdOwners(v)
}

// followShares sets shares, links and retry budgets, as far as what they depend on has
// changed; it runs on the control thread.
func (e *engine) updateShares(v *kernel.View) {
	next := shareInputs{index: v.Index, directory: v.Directory, retryBudget: e.kernel.Reloadable().RetryBudget, hostCounts: e.counts}
	changed, known := v.Directory.ChangedNames(e.inputs.directory)
	if !known || !next.similarTo(&e.inputs) || !v.Directory.SameEvacuations(e.inputs.directory) {
		e.inputs = next
		e.kernel.Fleet.SetRetryBudgets(next.retryBudgets())
		e.rebuildShares()
		return
	}
	e.inputs.directory = v.Directory
	if len(changed) > 0 {
		e.updateSharesOf(changed)
	}
}

// shareAll sets the shares of all upstreams anew, and their links.
func (e *engine) rebuildShares() {
	all := e.inputs.directory.All()
	shares := make([]policy.Share, 0, len(all))
	for i := range all {
		shares = append(shares, e.share(&all[i], &e.inputs))
	}
	granted := e.kernel.Fleet.Apply(e.kernel.Now(), shares)
	e.pools.replace(all, e.kernel.Now)
	// The control thread carries no traffic.
	go policy.NotifyGranted(granted)
}

// shareSome sets the shares and links of upstreams that were listed, changed or removed.
func (e *engine) updateSharesOf(names []string) {
	var listed []config.Listing
	var shares []policy.Share
	var removed []string
	for _, n := range names {
		l, ok := e.inputs.directory.Find(n)
		if !ok {
			removed = append(removed, n)
			continue
		}
		listed = append(listed, l)
		shares = append(shares, e.share(&l, &e.inputs))
	}
	granted := e.kernel.Fleet.Update(e.kernel.Now(), shares, removed)
	e.pools.update(listed, removed, e.kernel.Now)
	go policy.NotifyGranted(granted)
}

// link returns the link to an upstream; nil if it is not listed.
func (e *engine) connPool(name string) *connPool { return e.pools.find(name) }
