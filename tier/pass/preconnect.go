package pass

import (
	"cmp"
	"context"
	"slices"
	"time"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const (
	// preconnectHostsPerHall is how many hosts of each other hall are connected to in
	// advance: the one that most calls go through and the next one, for hedges.
	preconnectHostsPerHall = 2
	preconnectTimeout      = 700 * time.Millisecond
	// minRoundTrip is less than connecting to another machine takes. A shorter time means
	// that the host was already connected.
	minRoundTrip = 50 * time.Microsecond
)

// preconnect connects to the hosts that calls and requests will go through, so that the
// first of them need not wait for a connection. It runs on the control thread.
func (e *engine) preconnect(v *kernel.View) {
	next := map[string]bool{}
	for _, h := range e.preconnectTargets(v) {
		next[h] = true
		if !e.preconnected[h] {
			go e.connect(h, v.Members[h].Hall)
		}
	}
	e.preconnected = next
}

// preconnectTargets returns the hosts to connect to in advance. A host that executes its
// requests itself connects to the hosts with the most capacity of each other hall, its
// relays. A host that forwards them connects to the coordinators of its own hall or, if
// there are none, to one of each hall that has coordinators, which also shows which of them
// is nearest.
func (e *engine) preconnectTargets(v *kernel.View) []string {
	self := e.self()
	best := policy.Coordinators(self, *e.coordinators.candidates.Load())
	switch {
	case len(best) == 0:
		return firstPerHall(remoteHostsByCapacity(v, self.Hall), preconnectHostsPerHall)
	case best[0].Hall != self.Hall:
		return firstPerHall(best, 1)
	}
	isRemote := func(c policy.Candidate) bool { return c.Hall != self.Hall }
	return firstPerHall(slices.DeleteFunc(best, isRemote), preconnectHostsPerHall)
}

// firstPerHall returns the first hosts of each hall, up to limit per hall.
func firstPerHall(all []policy.Candidate, limit int) []string {
	var out []string
	taken := map[string]int{}
	for _, c := range all {
		if taken[c.Hall] < limit {
			taken[c.Hall]++
			out = append(out, c.Host)
		}
	}
	return out
}

// remoteHostsByCapacity returns the live hosts of other halls, those with the most capacity
// first.
func remoteHostsByCapacity(v *kernel.View, hall string) []policy.Candidate {
	out := liveHosts(v, func(other string) bool { return other != hall })
	slices.SortFunc(out, func(a, b policy.Candidate) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Host, b.Host))
	})
	return out
}

func (e *engine) connect(host, hall string) {
	ctx, cancel := context.WithTimeout(context.Background(), preconnectTimeout)
	defer cancel()
	started := e.kernel.Now()
	if err := e.kernel.Peers.Connect(ctx, host); err != nil {
		e.kernel.Log.Info().Err(err).Str("Peer", host).Msg("failed to preconnect to host")
		return
	}
	if took := e.kernel.Now() - started; took >= minRoundTrip {
		e.hosts.observeConnect(hall, took)
	}
}
