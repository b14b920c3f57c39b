package pass

import (
	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const (
	// minHosts is the minimum number of hosts that shares are computed for: a host that has
	// just started knows no others.
	minHosts = 8
	// minHostsInHall is the same for the hosts of this host's hall.
	minHostsInHall = 4
	// hostCountTolerance is the relative change in the number of hosts up to which shares
	// are not recomputed. While hundreds of hosts start, each heartbeat adds a few, and
	// recomputing the shares of all upstreams each time would be expensive.
	hostCountTolerance = 0.1
	// localConnectionShare is the fraction of an upstream's connections that the hosts of
	// its own hall share. What it and remoteConnectionShare leave is reserved for hosts
	// that are being replaced.
	localConnectionShare = 0.65
	// remoteConnectionShare is the fraction that the hosts of all other halls share. Their
	// calls go through relays, so few of them connect to the upstream.
	remoteConnectionShare = 0.25
	// burstFactor is how many times its equal share of the connections a host may use,
	// since hosts are not all busy with one upstream at the same time.
	burstFactor = 2
	// retrySlackShare is the fraction of the retry slack that is divided among the hosts,
	// since a host may not know all others.
	retrySlackShare = 0.9
)

// shareInputs is what the shares of upstreams and the retry budgets depend on.
type shareInputs struct {
	index       *config.Index
	directory   *config.Directory
	retryBudget kernel.RetryBudget
	hostCounts
}

// hostCounts counts the hosts that shares are divided among, including this one.
type hostCounts struct {
	// hosts counts the hosts that are not leaving; inHall counts those of this host's hall.
	// Both are in multiples of this host's capacity.
	hosts, inHall float64
	// known counts all hosts that were heard of lately. They divide the retry slack of
	// requests to one group, since a host that is cut off still retries.
	known float64
	// coordinating counts the hosts that divide the retry slack of shards.
	coordinating float64
}

func countHosts(v *kernel.View, s *kernel.Settings) hostCounts {
	own := s.Capacity()
	active, inHall := own, own
	capacities := make([]int, 0, len(v.Members))
	for _, m := range v.Members {
		capacities = append(capacities, m.Capacity)
		if !m.Active() {
			continue
		}
		active += m.Capacity
		if m.Hall == s.Hall {
			inHall += m.Capacity
		}
	}
	return hostCounts{
		hosts: max(float64(active)/float64(own), minHosts), inHall: max(float64(inHall)/float64(own), minHostsInHall),
		known:        max(float64(len(capacities)+1), minHosts),
		coordinating: max(policy.RetryBudgetDivisor(own, capacities), minHosts),
	}
}

// similarTo reports whether the shares computed from b and o for the same directory differ
// only slightly.
func (b *shareInputs) similarTo(o *shareInputs) bool {
	return b.index == o.index && b.retryBudget == o.retryBudget &&
		similar(b.hosts, o.hosts) && similar(b.inHall, o.inHall) && similar(b.known, o.known) && similar(b.coordinating, o.coordinating)
}

// similar reports whether two host counts are within hostCountTolerance.
func similar(a, b float64) bool { return max(a, b) <= (1+hostCountTolerance)*min(a, b) }

// retryBudgets divides the retry budgets of the groups among the hosts.
func (b *shareInputs) retryBudgets() policy.RetryBudgets {
	ratio, slack, window := b.retryBudget.Ratio, b.retryBudget.Slack*retrySlackShare, b.retryBudget.Window
	return policy.RetryBudgets{
		Shards:  policy.ShareRetryBudget(ratio, slack, b.coordinating).WithWindow(window),
		Single:  policy.ShareRetryBudget(ratio, slack, b.known).WithWindow(window),
		IsShard: b.index.Shards(),
	}
}

// share returns this host's share of an upstream, which limits its concurrent calls to its
// share of the connections.
func (e *engine) share(l *config.Listing, b *shareInputs) policy.Share {
	near := l.Hall == e.kernel.Settings.Hall
	connections := usableSlots(l)
	if g := b.index.Group(l.Group); g != nil {
		connections = g.Connections
	}
	fraction, hosts := localConnectionShare, b.inHall
	if !near {
		fraction, hosts = remoteConnectionShare, max(b.hosts-b.inHall, 1)
	}
	return policy.Share{
		Name: l.Name, Slots: max(int(burstFactor*fraction*float64(connections)/hosts), 1), PublishedSlots: usableSlots(l),
		Leaving: l.Leaving || b.directory.Evacuated(l.Hall),
		Listed:  true, Hall: l.Hall, Near: near, StartedMillis: l.StartedMillis, Cold: e.coldState(l, b),
	}
}
