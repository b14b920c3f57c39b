package peers

import (
	"cmp"
	"slices"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Rank orders hosts for a key by rendezvous hashing, the best first. Hosts that see
// the same names get the same order without exchanging a message.
func Rank(key string, hosts []string) []string {
	type ranked struct {
		host string
		hash uint64
	}
	all := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, ranked{h, policy.RendezvousHash(key, h)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
	})
	out := make([]string, 0, len(all))
	for _, r := range all {
		out = append(out, r.host)
	}
	return out
}

// Owner is the host that calls an upstream on behalf of hosts without a slot of it.
func Owner(key string, hosts []string) string { return Rank(key, hosts)[0] }

// Shares gives this host's part of the slots of every upstream of its hall.
func Shares(v *kernel.View, s *kernel.Settings) []policy.Share {
	if v.Index == nil {
		return nil
	}
	hosts := v.HallHosts(s)
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
	position := slices.Index(Rank(key, hosts), host)
	if position < 0 {
		return 0
	}
	n := slots / len(hosts)
	if position < slots%len(hosts) {
		n++
	}
	return n
}
