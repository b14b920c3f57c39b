package peers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Rank orders hosts for a key by rendezvous hashing, the best first. Hosts
// that see the same names get the same order without a word between them.
func Rank(key string, hosts []string) []string {
	type ranked struct {
		host string
		hash uint64
	}
	all := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, ranked{h, rankHash(key, h)})
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

// rankHash is what hosts are ranked by for a key.
func rankHash(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// Divide gives each host its part of a number of slots. The parts of all hosts
// add up to the slots exactly, if they see the same hosts.
func Divide(key string, slots int, hosts []string, host string) int {
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

// Owner is the host that calls an upstream on behalf of hosts without a slot.
func Owner(key string, hosts []string) string { return Rank(key, hosts)[0] }

// Shares gives this host's part of every upstream of its hall.
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
			Slots:    Divide(u.Name, u.Slots, hosts, s.Host),
			MaxSlots: u.Slots,
			Leaving:  u.Leaving || v.Leaving[u.Name],
		})
	}
	return out
}

// watchersPerHall is how many hosts of a hall watch the platform, and
// moreWatchers how many more do so at most when the hall hears nothing.
const (
	watchersPerHall = 2
	moreWatchers    = 2
)

// watchKey is what hosts are ranked by for reading the platform.
const watchKey = "watch"

// Watches reports whether this host is among the hosts of its hall that watch.
func Watches(hosts []string, host string, silentTurns int) bool {
	n := watchersPerHall + min(silentTurns, moreWatchers)
	ranked := Rank(watchKey, hosts)
	return slices.Contains(ranked[:min(n, len(ranked))], host)
}

// hostsOf lists the names of the hosts of a document other than one.
func hostsOf(x *config.Index, but string) []config.Host {
	if x == nil {
		return nil
	}
	var out []config.Host
	for _, h := range x.Document.Hosts {
		if h.Name != but {
			out = append(out, h)
		}
	}
	return out
}
