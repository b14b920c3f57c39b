// Package pass serves routed requests: it finds the route of an opaque HTTP
// request, passes the request on to one upstream or to one of each shard, and
// gives the upstream's answer, or the greatest records of all, to the caller.
package pass

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/query"
)

// Shares of what upstreams and groups allow, for one host.
const (
	// leastHosts is how many hosts are reckoned with while fewer are known: a
	// host that has just started knows of none. leastInHall is the same for the
	// hosts of one hall.
	leastHosts  = 8
	leastInHall = 4
	// nearConnections is the part of an upstream's connections that the hosts of
	// its own hall share, farConnections that of all others; the rest is for
	// those that are being replaced. Calls from afar go through a host near the
	// upstream, so that few others connect to it.
	nearConnections = 0.65
	farConnections  = 0.25
	// burstShare is how many times its even part of the connections a host may
	// use: hosts are not all busy with one upstream at the same moment.
	burstShare = 2
	// slackShare is the part of the slack of retries that hosts share out. A
	// host may not know of all others.
	slackShare = 0.9
	sweepEvery = time.Second
	// preconnectHosts is how many hosts of each other hall are connected to ahead:
	// the one that most calls go through, and the next, for hedges.
	preconnectHosts = 2
	// leastRoundTrip is less than a new connection takes between two machines.
	leastRoundTrip = 50 * time.Microsecond
	// batchPrefixSpare is how many of 64 random bits a batch's ID does without:
	// with 48 left, two of 1,000 hosts draw the same once in 500 million times.
	batchPrefixSpare = 16
)

// Engine passes requests on.
type Engine struct {
	kernel  *kernel.Kernel
	headers kernel.Headers
	links   atomic.Pointer[map[string]*link]
	// splitters holds a *splitter for each name of a route with a split.
	splitters sync.Map
	// relays are the hosts that make calls for this one, relayed the calls that
	// this host makes for others.
	relays        relays
	servedBatches servedBatches
	// batches are those that relays make the calls of.
	sentBatches sentBatches
	// allRecords holds for each route until when all records are asked for.
	allRecords sync.Map
	// configured is closed once there is a view to serve requests from.
	configured     chan struct{}
	configuredOnce sync.Once
	// preconnected are the hosts of other halls that were connected to; used on the
	// control thread.
	preconnected map[string]bool
	// basis is what shares and links were made from; used on the control
	// thread.
	basis basis
	forwarder
}

// basis is what the shares of upstreams depend on.
type basis struct {
	index     *config.Index
	directory *config.Directory
	// hosts counts the hosts that stay, hall those of this host's hall, in hosts as
	// strong as this one.
	hosts, hall float64
	// known counts all hosts that were heard of lately, which divide the slack of
	// retries: one that is cut off still makes them. Coordinating counts those that
	// divide the slack of shards.
	known, coordinating float64
	retryBudget         kernel.RetryBudget
}

// basisOf works out what the shares of upstreams depend on.
func basisOf(v *kernel.View, s *kernel.Settings, r kernel.RetryBudget) basis {
	own := s.Capacity()
	staying, hall := own, own
	capacities := make([]int, 0, len(v.Members))
	for _, m := range v.Members {
		capacities = append(capacities, m.Capacity)
		if !m.Live || m.Leaving {
			continue
		}
		staying += m.Capacity
		if m.Hall == s.Hall {
			hall += m.Capacity
		}
	}
	return basis{
		index: v.Index, directory: v.Directory, retryBudget: r,
		hosts: max(float64(staying)/float64(own), leastHosts), hall: max(float64(hall)/float64(own), leastInHall),
		known:        max(float64(len(capacities)+1), leastHosts),
		coordinating: max(policy.RetryShares(own, capacities), leastHosts),
	}
}

// hostsTolerance is the change in the number of hosts that leaves shares as they
// are. Where hundreds of hosts start, each hears of a few others with every
// heartbeat; without it shares of 540 upstreams were worked out 290 times, with
// it some 40 times.
const hostsTolerance = 0.1

// like reports whether shares worked out from either differ by little.
func (b *basis) like(o *basis) bool {
	return b.index == o.index && b.directory == o.directory && b.retryBudget == o.retryBudget &&
		similar(b.hosts, o.hosts) && similar(b.hall, o.hall) && similar(b.known, o.known) && similar(b.coordinating, o.coordinating)
}

// retryBudgets divides what groups allow.
func (b *basis) retryBudgets() policy.RetryBudgets {
	ratio, slack := b.retryBudget.Ratio, b.retryBudget.Slack*slackShare
	return policy.RetryBudgets{
		Shards: policy.ShareRetryBudget(ratio, slack, b.coordinating), Single: policy.ShareRetryBudget(ratio, slack, b.known),
		IsShard: b.index.Shards(),
	}
}

// similar reports whether two numbers of hosts differ by little.
func similar(a, b float64) bool { return max(a, b) <= (1+hostsTolerance)*min(a, b) }

// NewEngine makes an engine that follows the kernel's views.
func NewEngine(k *kernel.Kernel, h kernel.Headers) (*Engine, func()) {
	e := &Engine{
		kernel: k, headers: h, configured: make(chan struct{}),
		relays: newRelays(), servedBatches: servedBatches{batches: map[string]*servedBatch{}},
		sentBatches: sentBatches{prefix: strconv.FormatUint(rand.Uint64()>>batchPrefixSpare, 36) + "-"},
	}
	e.times = forwardTimes{firstSign: forwardFirstSign, silent: forwardSilent}
	e.handleRelay()
	e.serveForwarded()
	e.links.Store(&map[string]*link{})
	k.OnView(e.follow)
	done := make(chan struct{})
	go e.sweep(done)
	return e, func() {
		close(done)
		for _, l := range *e.links.Load() {
			l.close()
		}
	}
}

// sweep closes connections that have rested too long, until done.
func (e *Engine) sweep(done <-chan struct{}) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			for _, l := range *e.links.Load() {
				l.sweep()
			}
		}
	}
}

// follow takes a new view in; it runs on the control thread.
func (e *Engine) follow(v *kernel.View) {
	if v.Index == nil || v.Directory == nil {
		return
	}
	defer e.configuredOnce.Do(func() { close(e.configured) })
	e.place(v)
	e.preconnect(v)
	e.followDirectory(v)
	e.assignCold(v)
}

// followDirectory sets shares, links and budgets unless what they depend on is
// like before.
func (e *Engine) followDirectory(v *kernel.View) {
	next := basisOf(v, &e.kernel.Settings, e.kernel.Live().RetryBudget)
	if next.like(&e.basis) {
		return
	}
	e.basis = next
	e.kernel.Fleet.SetRetryBudgets(next.retryBudgets())
	old, links := *e.links.Load(), map[string]*link{}
	var shares []policy.Share
	for _, l := range v.Directory.All() {
		shares = append(shares, e.share(&l, &next))
		n := old[l.Name]
		if n == nil || n.address != l.Address {
			n = &link{name: l.Name, address: l.Address, now: e.kernel.Now}
		}
		links[l.Name] = n
	}
	granted := e.kernel.Fleet.Apply(e.kernel.Now(), shares)
	e.links.Store(&links)
	for name, l := range old {
		if links[name] != l {
			l.close()
		}
	}
	// The control thread carries no traffic.
	go policy.Deliver(granted)
}

// awaitConfiguration waits for the first configuration while the process is
// starting, and reports whether there is one.
func (e *Engine) awaitConfiguration(ctx context.Context) bool {
	select {
	case <-e.configured:
		return true
	default:
	}
	left := startBound - e.kernel.Now()
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-e.configured:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// preconnect connects to the hosts that calls and requests will go through, so
// that the first of them does not wait; it runs on the control thread.
func (e *Engine) preconnect(v *kernel.View) {
	next := map[string]bool{}
	for _, h := range e.preconnectTo(v) {
		next[h] = true
		if !e.preconnected[h] {
			go e.connect(h, v.Members[h].Hall)
		}
	}
	e.preconnected = next
}

// preconnectTo lists the hosts to connect to ahead: the strongest of each other
// hall; for a host that forwards requests the coordinators of its hall, and where
// that has none, one of each hall that has, which shows the nearest of them.
func (e *Engine) preconnectTo(v *kernel.View) []string {
	self := e.self()
	coordinators := policy.Coordinators(self, *e.candidates.Load())
	switch {
	case len(coordinators) == 0:
		return firstOfHalls(othersByStrength(v, self.Hall), preconnectHosts)
	case coordinators[0].Hall != self.Hall:
		return firstOfHalls(coordinators, 1)
	}
	elsewhere := func(c policy.Candidate) bool { return c.Hall != self.Hall }
	return firstOfHalls(slices.DeleteFunc(coordinators, elsewhere), preconnectHosts)
}

// firstOfHalls returns the first hosts of each hall, at most so many of one.
func firstOfHalls(all []policy.Candidate, most int) []string {
	var out []string
	taken := map[string]int{}
	for _, c := range all {
		if taken[c.Hall] < most {
			taken[c.Hall]++
			out = append(out, c.Host)
		}
	}
	return out
}

// othersByStrength lists the live hosts of other halls, the strongest first.
func othersByStrength(v *kernel.View, hall string) []policy.Candidate {
	out := liveHosts(v, func(other string) bool { return other != hall })
	slices.SortFunc(out, func(a, b policy.Candidate) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Host, b.Host))
	})
	return out
}

func (e *Engine) connect(host, hall string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialBound)
	defer cancel()
	started := e.kernel.Now()
	if err := e.kernel.Peers.Connect(ctx, host); err != nil {
		e.kernel.Log.Info().Err(err).Str("Peer", host).Msg("not connected to a host of another hall")
		return
	}
	// A connection that was there already took no time.
	if took := e.kernel.Now() - started; took >= leastRoundTrip {
		e.relays.observe(hall, took)
	}
}

// share is this host's part of an upstream: as many calls as it may have
// connections there.
func (e *Engine) share(l *config.Listing, b *basis) policy.Share {
	near := l.Hall == e.kernel.Settings.Hall
	connections := l.Slots
	if g := b.index.Group(l.Group); g != nil {
		connections = g.Connections
	}
	part, hosts := nearConnections, b.hall
	if !near {
		part, hosts = farConnections, max(b.hosts-b.hall, 1)
	}
	return policy.Share{
		Name: l.Name, Slots: max(int(burstShare*part*float64(connections)/hosts), 1),
		Leaving: l.Leaving || b.directory.Evacuated(l.Hall),
		Listed:  true, Hall: l.Hall, Near: near, Cold: e.coldOf(l, b),
	}
}

// target returns the one group that a request of a route goes to.
func (e *Engine) target(r *config.Route) string {
	if len(r.Split) == 0 {
		return r.Group
	}
	old, ok := e.splitters.Load(r.Name)
	if ok && old.(*splitter).same(r.Split) {
		return old.(*splitter).next()
	}
	s := newSplitter(r.Split)
	if ok {
		e.splitters.CompareAndSwap(r.Name, old, s)
	} else if winner, loaded := e.splitters.LoadOrStore(r.Name, s); loaded {
		s = winner.(*splitter)
	}
	return s.next()
}

// plan is where the parts of a request may go.
type plan struct {
	groups   []string
	replicas [][]*policy.Upstream
	// reachable counts the parts that have an upstream at all, absent says for each
	// other part why it has none.
	reachable int
	absent    []query.Reason
	// hall is the other hall to which calls go that cannot be made in this
	// host's own; empty if any does.
	hall string
}

// plan fixes the targets of a request for its whole life.
func (e *Engine) plan(v *kernel.View, r *config.Route) plan {
	if r.Gather != nil {
		return e.planOf(v, r.Gather.Groups, r.Homes)
	}
	return e.planOf(v, []string{e.target(r)}, r.Homes)
}

func (e *Engine) planOf(v *kernel.View, groups, homes []string) plan {
	names, absent := make([][]string, len(groups)), make([]query.Reason, len(groups))
	places := e.places(v)
	for i, g := range groups {
		names[i], absent[i] = places.Usable(g, homes)
	}
	p := plan{groups: groups, replicas: e.kernel.Fleet.Resolve(names), absent: absent}
	for _, us := range p.replicas {
		if len(us) > 0 {
			p.reachable++
		}
	}
	if len(groups) > 1 {
		p.hall = e.hallOf(v, names[rand.IntN(len(groups))])
	}
	return p
}

// hallOf returns the hall of any of some upstreams that is not in this host's own
// hall.
func (e *Engine) hallOf(v *kernel.View, names []string) string {
	for _, i := range rand.Perm(len(names)) {
		if l, listed := v.Directory.Find(names[i]); listed && l.Hall != e.kernel.Settings.Hall {
			return l.Hall
		}
	}
	return ""
}
