package pass

import (
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// coldState returns what policy needs to know about the warm-up of an upstream.
func (e *engine) coldState(l *config.Listing, b *shareInputs) policy.Cold {
	out := policy.Cold{Remaining: time.Duration(l.Warmup), Revision: l.Revision, Sequence: l.Sequence, Evacuated: b.directory.Evacuated(l.Hall)}
	if g := b.index.Group(l.Group); g != nil {
		s := &e.kernel.Settings
		out.Warmup, out.Calls = time.Duration(g.Warmup), policy.ColdCallLimit(g.ColdRate, s.ColdFactor, s.ColdSlack)
	}
	return out
}

// assignColdOwners assigns each throttled cold upstream to one host of its hall. It runs on
// the control thread.
func (e *engine) assignColdOwners(v *kernel.View) {
	cold := e.kernel.Fleet.ThrottledUpstreams(e.kernel.Now())
	if len(cold) == 0 {
		return
	}
	owners, hosts := make(map[string]string, len(cold)), map[string][]policy.Candidate{}
	for name, hall := range cold {
		if _, known := hosts[hall]; !known {
			hosts[hall] = e.hostsInHall(v, hall)
		}
		owners[name] = policy.ColdOwner(name, hosts[hall])
	}
	e.kernel.Fleet.SetColdOwners(e.kernel.Settings.Host, owners)
}

// hostsInHall returns the live hosts of a hall that are not leaving, including this one.
func (e *engine) hostsInHall(v *kernel.View, hall string) []policy.Candidate {
	out := liveHosts(v, func(other string) bool { return other == hall })
	if hall == e.kernel.Settings.Hall {
		out = append(out, e.self())
	}
	return out
}
