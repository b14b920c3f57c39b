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
	// preconnectHosts is how many hosts of each other hall are connected to ahead: the one
	// that most calls go through, and the next, for hedges. Without connecting ahead the
	// worth of days was 0.001 to 0.009 less, which is within noise.
	preconnectHostsPerHall = 2
	// preconnectBound is how long connecting to a host ahead may take.
	preconnectTimeout = 700 * time.Millisecond
	// leastRoundTrip is less than a new connection takes between two machines; what takes
	// less was connected already.
	minRoundTrip = 50 * time.Microsecond
)

// preconnect connects to the hosts that calls and requests will go through, so that the
// first of them does not wait; it runs on the control thread.
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

// preconnectTo lists the hosts to connect to ahead. A host that carries its requests
// out itself takes the strongest of each other hall, its relays. A host that hands them
// over takes the coordinators of its own hall, or, where that has none, one of each
// hall that has, which shows which of them is nearest.
func (e *engine) preconnectTargets(v *kernel.View) []string {
	self := e.self()
	best := policy.Coordinators(self, *e.coordinators.candidates.Load())
	switch {
	case len(best) == 0:
		return firstPerHall(remoteHostsByCapacity(v, self.Hall), preconnectHostsPerHall)
	case best[0].Hall != self.Hall:
		return firstPerHall(best, 1)
	}
	elsewhere := func(c policy.Candidate) bool { return c.Hall != self.Hall }
	return firstPerHall(slices.DeleteFunc(best, elsewhere), preconnectHostsPerHall)
}

// firstOfHalls returns the first hosts of each hall, at most so many of one.
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

// othersByStrength lists the live hosts of other halls, the strongest first.
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
		e.kernel.Log.Info().Err(err).Str("Peer", host).Msg("not connected to a host of another hall")
		return
	}
	if took := e.kernel.Now() - started; took >= minRoundTrip {
		e.hosts.observeConnect(hall, took)
	}
}
