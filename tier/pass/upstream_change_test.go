package pass

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// testListing returns the listing of one upstream, with groups of 12, at a revision.
func testListing(i int, revision uint64) config.Listing {
	return config.Listing{
		Name: fmt.Sprintf("u-%d", i), Group: fmt.Sprintf("shard-%d", i/12), Hall: fmt.Sprintf("hall-%d", i%6),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8104), Slots: 3, Revision: revision,
	}
}

// addFleet lists upstreams and adds members, in six halls.
func addFleet(h *host, upstreams, members int) {
	change := config.DirectoryChange{Revision: 1, Whole: true}
	for i := range upstreams {
		change.Listed = append(change.Listed, testListing(i, 1))
	}
	h.do(func(s *kernel.State) {
		s.ApplyDirectoryChange(&change)
		for i := range members {
			n := fmt.Sprintf("host-%d", i)
			s.Members[n] = kernel.Member{
				Host: n, Hall: fmt.Sprintf("hall-%d", i%6), Live: true, Capacity: 68 + i%16/15*500,
				Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 8104),
			}
		}
		s.Changed()
	})
}

// BenchmarkUpstreamChange measures the cost of a change of one upstream on the control
// thread, by the number of upstreams, in a fleet of 584 hosts.
func BenchmarkUpstreamChange(b *testing.B) {
	for _, upstreams := range []int{545, 5448, 54_480} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			h := newHost(b, hostConfig{name: "H1", hall: "hall-0", cores: 0.2, peers: newNetwork()})
			h.applyDocument(gatherDoc(1, 50))
			addFleet(h, upstreams, 583)
			revision, i := uint64(1), 0
			for b.Loop() {
				revision++
				i = (i + 7) % upstreams
				l := testListing(i, revision)
				l.Slots = 3 + int(revision%2)
				h.do(func(s *kernel.State) {
					s.ApplyDirectoryChange(&config.DirectoryChange{Revision: revision, Listed: []config.Listing{l}})
				})
			}
		})
	}
}

// TestUpstreamChangeCostIsIndependentOfFleetSize compares the memory allocated for a change
// of one upstream in fleets that differ tenfold in size, and checks that the share and the
// connection pool of the upstream are updated.
func TestUpstreamChangeCostIsIndependentOfFleetSize(t *testing.T) {
	const changes = 100
	cost := func(upstreams int) uint64 {
		h := newHost(t, hostConfig{name: "H1", hall: "hall-0", cores: 0.2, peers: newNetwork()})
		h.applyDocument(gatherDoc(1, 50))
		addFleet(h, upstreams, 100)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range changes {
			l := testListing(i*7%upstreams, uint64(i+2))
			l.Leaving = true
			h.do(func(s *kernel.State) {
				s.ApplyDirectoryChange(&config.DirectoryChange{Revision: l.Revision, Listed: []config.Listing{l}})
			})
		}
		runtime.ReadMemStats(&after)
		leaving := 0
		for _, u := range h.kernel.Fleet.State(h.kernel.Now()) {
			if u.Leaving {
				leaving++
			}
		}
		assert.Equal(t, leaving, changes)
		gone := testListing(0, 1).Name
		assert.Assert(t, h.engine.connPool(gone) != nil)
		h.do(func(s *kernel.State) {
			s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 1000, Removed: []config.Removal{{Name: gone, Revision: 1000}}})
		})
		assert.Assert(t, h.engine.connPool(gone) == nil && h.kernel.Fleet.Find(gone) == nil)
		return (after.TotalAlloc - before.TotalAlloc) / changes
	}
	small, large := cost(1000), cost(10_000)
	t.Logf("bytes per change: %d with 1,000 upstreams, %d with 10,000", small, large)
	assert.Assert(t, large < 2*small, "%d bytes with 1,000 upstreams, %d with 10,000", small, large)
}
