package peers

import (
	"slices"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Owner is the host that calls an upstream on behalf of hosts without a slot of it.
func Owner(key string, hosts []string) string { return Rank(key, hosts)[0] }

// Shares gives this host's part of the slots of every upstream of its hall.
func Shares(v *kernel.View, s *kernel.Settings) []policy.Share {
	if v.Index == nil {
		return nil
	}
	hosts := v.Hall(s)
	var out []policy.Share
	for _, u := range v.Index.Document.Upstreams {
		if u.Hall != s.Hall {
			continue
		}
		out = append(out, policy.Share{
			Name:     u.Name,
			Slots:    divide(u.Name, u.Slots, hosts, s.Host),
			MaxSlots: u.Slots,
			Leaving:  u.Leaving || v.Leaving[u.Name],
		})
	}
	return out
}

// divide gives each host its part of a number of slots. The parts of all hosts add up
// to the slots exactly, if they see the same hosts.
func divide(key string, slots int, hosts []string, host string) int {
	place := slices.Index(Rank(key, hosts), host)
	if place < 0 {
		return 0
	}
	n := slots / len(hosts)
	if place < slots%len(hosts) {
		n++
	}
	return n
}
