package peers

import (
	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// byHall lists the members that a test picks: those of one hall, and those of each
// other.
func byHall(members map[string]kernel.Member, hall string, picks func(*kernel.Member) bool) (near []string, far map[string][]string) {
	far = map[string][]string{}
	for n, m := range members {
		switch {
		case !picks(&m):
		case m.Hall == hall:
			near = append(near, n)
		default:
			far[m.Hall] = append(far[m.Hall], n)
		}
	}
	return near, far
}

// hostsOf lists the hosts of a document but one; none if there is no document.
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

// sample returns at most n items of a list, as a permutation draws them.
func sample[T any](permutation func(int) []int, from []T, n int) []T {
	var out []T
	for _, i := range permutation(len(from))[:min(n, len(from))] {
		out = append(out, from[i])
	}
	return out
}
