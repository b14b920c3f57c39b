package pass

import (
	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const (
	// leastHosts is the number of hosts that shares are made for while fewer are known: a
	// host that has just started knows of none.
	minHosts = 8
	// leastInHall is the same for the hosts of this host's hall.
	minHostsInHall = 4
	// hostsTolerance is the change in the number of hosts, as a fraction, that leaves
	// shares as they are. Where hundreds of hosts start, each hears of a few others with
	// every heartbeat, and would work out the shares of all upstreams each time.
	hostCountTolerance = 0.1
	// nearConnections is the part of an upstream's connections that the hosts of its own
	// hall share. What it and farConnections leave is for hosts that are being replaced.
	localConnectionShare = 0.65
	// farConnections is the part that the hosts of all other halls share. Calls from there
	// go through relays, so that few of these hosts connect to the upstream.
	remoteConnectionShare = 0.25
	// burstShare is how many times its even part of the connections a host may use: hosts
	// are not all busy with one upstream at the same moment.
	burstFactor = 2
	// slackShare is the part of the slack of retries that hosts divide; a host may not know
	// of all others.
	retrySlackShare = 0.9
)

// shareBasis is what this host's shares of upstreams and retry budgets depend on.
type shareInputs struct {
	index       *config.Index
	directory   *config.Directory
	retryBudget kernel.RetryBudget
	hostCounts
}

// hostCounts count the hosts, this one included, that this one shares with.
type hostCounts struct {
	// hosts counts the hosts that are not leaving, hall those of this host's hall,
	// both in hosts as strong as this one.
	hosts, inHall float64
	// known counts all hosts that were heard of lately, which divide the slack of
	// retries of requests to one group: a host that is cut off still retries.
	known float64
	// coordinating counts the hosts that divide the slack of shards.
	coordinating float64
}

func countHosts(v *kernel.View, s *kernel.Settings) hostCounts {
	own := s.Capacity()
	staying, inHall := own, own
	capacities := make([]int, 0, len(v.Members))
	for _, m := range v.Members {
		capacities = append(capacities, m.Capacity)
		if !m.Active() {
			continue
		}
		staying += m.Capacity
		if m.Hall == s.Hall {
			inHall += m.Capacity
		}
	}
	return hostCounts{
		hosts: max(float64(staying)/float64(own), minHosts), inHall: max(float64(inHall)/float64(own), minHostsInHall),
		known:        max(float64(len(capacities)+1), minHosts),
		coordinating: max(policy.RetryBudgetDivisor(own, capacities), minHosts),
	}
}

// like reports whether shares that one directory has from either differ by little.
func (b *shareInputs) similarTo(o *shareInputs) bool {
	return b.index == o.index && b.retryBudget == o.retryBudget &&
		similar(b.hosts, o.hosts) && similar(b.inHall, o.inHall) && similar(b.known, o.known) && similar(b.coordinating, o.coordinating)
}

// similar reports whether two numbers of hosts differ by little.
func similar(a, b float64) bool { return max(a, b) <= (1+hostCountTolerance)*min(a, b) }

// retryBudgets divides the retries that groups allow among the hosts.
func (b *shareInputs) retryBudgets() policy.RetryBudgets {
	ratio, slack, window := b.retryBudget.Ratio, b.retryBudget.Slack*retrySlackShare, b.retryBudget.Window
	return policy.RetryBudgets{
		Shards:  policy.ShareRetryBudget(ratio, slack, b.coordinating).WithWindow(window),
		Single:  policy.ShareRetryBudget(ratio, slack, b.known).WithWindow(window),
		IsShard: b.index.Shards(),
	}
}

// share is this host's part of an upstream: as many calls as it may have connections
// there.
func (e *engine) share(l *config.Listing, b *shareInputs) policy.Share {
	near := l.Hall == e.kernel.Settings.Hall
	connections := l.Slots
	if g := b.index.Group(l.Group); g != nil {
		connections = g.Connections
	}
	fraction, hosts := localConnectionShare, b.inHall
	if !near {
		fraction, hosts = remoteConnectionShare, max(b.hosts-b.inHall, 1)
	}
	return policy.Share{
		Name: l.Name, Slots: max(int(burstFactor*fraction*float64(connections)/hosts), 1),
		Leaving: l.Leaving || b.directory.Evacuated(l.Hall),
		Listed:  true, Hall: l.Hall, Near: near, StartedMillis: l.Born, Cold: e.coldState(l, b),
	}
}
