package peers

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
)

// TestHeartbeatsGoToFewHosts checks how many heartbeats go to hosts of the hall, hosts of another
// hall, unresponsive hosts and seeds, with an adapter.
func TestHeartbeatsGoToFewHosts(t *testing.T) {
	const rounds = 30
	tests := []struct {
		name                            string
		announcing, down                bool
		hall, other, unresponsive, seed int
	}{
		{"another host of the hall announces", false, false, 2 * rounds, rounds / (otherHallEvery * nonAnnouncerFactor), rounds / unresponsiveEvery, rounds / seedEvery},
		{"this host announces", true, false, 2 * rounds, rounds / otherHallEvery, rounds / unresponsiveEvery, rounds / seedEvery},
		{"the platform does not answer", true, true, 2 * rounds, rounds, rounds / unresponsiveEvery, rounds / seedEvery},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := func(kind byte, i int) netip.AddrPort {
				return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, kind}), uint16(i+1))
			}
			s := &kernel.State{Members: map[string]kernel.Member{}}
			s.Announcing, s.PlatformDown = tt.announcing, tt.down
			for i := range 9 {
				s.Members["Hall"+string(rune('0'+i))] = kernel.Member{Hall: "A", Live: true, Peer: at('h', i)}
				s.Members["Other"+string(rune('0'+i))] = kernel.Member{Hall: "B", Live: true, Peer: at('o', i)}
				s.Members["Silent"+string(rune('0'+i))] = kernel.Member{Hall: "B", Peer: at('s', i)}
				s.Members["Leaving"+string(rune('0'+i))] = kernel.Member{Hall: "A", Live: true, Leaving: true, Peer: at('l', i)}
			}
			k, stop := kernel.New(kernel.Config{
				Settings: kernel.Settings{Host: "Self", Hall: "A", Adapter: "Test", Peer: at('p', 0), Seeds: []netip.AddrPort{at('p', 0), at('h', 0), at('u', 0)}},
				Started:  time.Now(),
			})
			defer stop()
			g := &gossip{kernel: k, random: rand.New(rand.NewPCG(1, 0)), table: newMemberTable(memberTableConfig{Interval: time.Second})}
			sent := map[byte]int{}
			g.sent = rounds // past the start phase
			for range rounds {
				g.sent++
				for _, to := range g.partners(s) {
					sent[to.Addr().As4()[3]]++
				}
			}
			assert.DeepEqual(t, sent, map[byte]int{'h': tt.hall, 'o': tt.other, 's': tt.unresponsive, 'u': tt.seed})
		})
	}
}
