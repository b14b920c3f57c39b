package peers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
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

// rankHash is what hosts are ranked by for a key, the least first.
func rankHash(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }
