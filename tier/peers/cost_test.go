package peers

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
)

// memberOf is an entry of the host of a number, as a heartbeat reports it.
func newTestEntry(i int, counter uint64) memberEntry {
	return memberEntry{
		Host: fmt.Sprintf("host-%d", i), Incarnation: "18ed705c791cc212192c", Counter: counter, Revision: 600, Capacity: 62,
		Hall: fmt.Sprintf("hall-%d", i%6), Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8104),
	}
}

// BenchmarkHeartbeatTakenIn is the cost for the control thread of one heartbeat and the
// reply to it, by the number of members.
func BenchmarkApplyHeartbeat(b *testing.B) {
	for _, members := range []int{60, 584, 1168, 4082, 8164} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g, s := newGossipWithMembers(b, members)
			counter, next := uint64(1), 0
			for b.Loop() {
				counter++
				h := heartbeat{Hall: "hall-1"}
				for range heartbeatEntries {
					next++
					h.Members = append(h.Members, newTestEntry(next%members, counter))
				}
				g.apply(s, netip.AddrPort{}, &h)
				g.message(s, g.kernel.Now())
			}
		})
	}
}

// TestHeartbeatCostsWhatItLists compares the memory that a heartbeat takes in fleets ten
// times apart.
func TestHeartbeatCostIsIndependentOfFleetSize(t *testing.T) {
	const heartbeats = 100
	cost := func(members int) uint64 {
		g, s := newGossipWithMembers(t, members)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range heartbeats {
			h := heartbeat{Hall: "hall-1"}
			for j := range heartbeatEntries {
				h.Members = append(h.Members, newTestEntry((i*heartbeatEntries+j)%members, uint64(i+2)))
			}
			g.apply(s, netip.AddrPort{}, &h)
			g.message(s, g.kernel.Now())
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / heartbeats
	}
	small, large := cost(816), cost(8164)
	t.Logf("bytes for a heartbeat: %d of 816 hosts, %d of 8,164", small, large)
	assert.Assert(t, large < 2*small, "%d bytes of 816 hosts, %d of 8,164", small, large)
}

// metFleet is what exchanges heartbeats at a host that knows so many others.
func newGossipWithMembers(t testing.TB, members int) (*gossip, *kernel.State) {
	k, stop := kernel.New(kernel.Config{Settings: kernel.Settings{
		Host: "Self", Hall: "hall-0", Adapter: "Test", Beat: time.Second, Peer: netip.MustParseAddrPort("10.1.0.1:8104"),
	}, Started: time.Now()})
	t.Cleanup(stop)
	g := newGossip(k, nil, rand.New(rand.NewPCG(1, 0)))
	s := &kernel.State{Members: map[string]kernel.Member{}}
	for i := 0; i < members; i += heartbeatEntries {
		h := heartbeat{}
		for j := i; j < min(i+heartbeatEntries, members); j++ {
			h.Members = append(h.Members, newTestEntry(j, 1))
		}
		g.apply(s, netip.AddrPort{}, &h)
	}
	assert.Equal(t, len(s.Members), members, "some hosts are no members")
	return g, s
}
