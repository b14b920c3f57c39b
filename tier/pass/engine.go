package pass

import (
	"context"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const sweepInterval = time.Second

// engine serves routed requests. It is safe for concurrent use, except for the fields
// marked as used on the control thread only.
type engine struct {
	kernel  *kernel.Kernel
	headers kernel.Headers
	// pools holds the connection pool of each listed upstream.
	pools     connPools
	splitters splitters
	hosts     hostTracker
	ids       idSource
	// relay and coordinate hold this host's state in the protocols with relays and with
	// coordinators.
	relay        relayState
	coordinate   coordinateState
	coordinators coordinators
	overhead     overhead
	// take limits the time in which callers take their responses; only tests change it.
	take  takeLimit
	gates gates
	// stated holds how long callers stated they would wait. First attempts state it in full, so a
	// shorter time shows how much of it has passed since.
	stated longestTimes
	// runTimes holds how long requests took from their first call to their response.
	runTimes longestTimes
	// start opens once there is a configuration to serve requests with.
	start startGate
	// preconnected are the hosts that connections were opened to in advance; used on the
	// control thread only.
	preconnected map[string]bool
	// inputs are the inputs of the current shares and connection pools; used on the control
	// thread only.
	inputs shareInputs
	// memberChanges is the View.MemberChanges at which counts, the coordinators and the
	// preconnections were last updated; used on the control thread only.
	counts        hostCounts
	memberChanges uint64
}

// relayState is the state of both ends of the relay protocol: this host as a sender of
// batches and as a relay.
type relayState struct {
	inboxes inboxes[*batchReply]
	// served holds each batch while it has calls in flight or omitted records.
	served registry[*servedBatch]
	// fullRecordRoutes are the routes whose requests from this host need all records.
	fullRecordRoutes fullRecordRoutes
}

// coordinateState is the state of both ends of the coordinator protocol: this host as a
// sender of requests and as a coordinator.
type coordinateState struct {
	// inboxes get the room of each heartbeat.
	inboxes inboxes[*roomReport]
	served  registry[*servedRequest]
	// heartbeat holds the timeouts for requests sent; only tests change it.
	heartbeat heartbeatTimeouts
}

// newEngine returns an engine that applies the kernel's views, and a function that closes
// its connections.
func newEngine(k *kernel.Kernel, h kernel.Headers) (*engine, func()) {
	e := &engine{
		kernel: k, headers: h, hosts: newHostTracker(), ids: newIDSource(), start: newStartGate(),
		pools:      connPools{budget: k.Budgets.Replies},
		take:       takeLimit{least: minTakeTime, rate: minTakeRate},
		coordinate: coordinateState{heartbeat: heartbeatTimeouts{first: firstHeartbeatTimeout, next: heartbeatTimeout}},
	}
	e.handleRelay()
	e.handleCoordinate()
	k.OnView(e.applyView)
	k.RegisterGates(e.gateStates)
	stopClosing := kernel.RunLoops(context.Background(), e.closeExpired)
	return e, func() {
		stopClosing()
		e.closeGateReports()
		e.pools.closeAll()
	}
}

// closeExpired closes connections that exceed their idle timeout, until the context ends.
func (e *engine) closeExpired(ctx context.Context) {
	for ctx.Err() == nil {
		e.pools.closeExpired()
		e.dropIdleGates()
		e.forgetRoutes()
		kernel.Sleep(ctx, sweepInterval)
	}
}

// applyView applies a new view. It runs on the control thread.
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

// updateShares updates the shares, connection pools and retry budgets that are affected by
// a change of the view. It runs on the control thread.
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

// rebuildShares recomputes the shares and connection pools of all upstreams.
func (e *engine) rebuildShares() {
	all := e.inputs.directory.All()
	shares := make([]policy.Share, 0, len(all))
	for i := range all {
		shares = append(shares, e.share(&all[i], &e.inputs))
	}
	granted := e.kernel.Fleet.Apply(e.kernel.Now(), shares)
	e.pools.replace(all, e.kernel.Now)
	// Waiters must not run on the control thread.
	go policy.NotifyGranted(granted)
}

// updateSharesOf updates the shares and connection pools of upstreams that were listed,
// changed or removed.
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

// connPool returns the connection pool of an upstream, or nil if it is not listed.
func (e *engine) connPool(name string) *connPool { return e.pools.find(name) }
