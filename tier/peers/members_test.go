package peers

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newTestTable(host string) *memberTable {
	return newMemberTable(memberTableConfig{Self: memberEntry{Host: host, Incarnation: "1"}, Interval: time.Second, Random: rand.New(rand.NewPCG(1, 0))})
}

type knownMember struct {
	Entry memberEntry
	Live  bool
}

// members returns all members, sorted by name.
func (t *memberTable) members(now time.Duration) []knownMember {
	out := make([]knownMember, 0, len(t.order))
	for _, r := range t.order {
		out = append(out, knownMember{Entry: r.memberEntry, Live: t.isLive(now, r)})
	}
	slices.SortFunc(out, func(a, b knownMember) int { return cmp.Compare(a.Entry.Host, b.Entry.Host) })
	return out
}

// addresses compares addresses by value.
var addresses = cmpopts.EquateComparable(netip.AddrPort{})

func TestTableKeepsNewestEntry(t *testing.T) {
	b := newTestTable("A")
	b.merge(0, []memberEntry{{Host: "B", Incarnation: "2", Counter: 5}})
	b.merge(time.Second, []memberEntry{{Host: "B", Incarnation: "1", Counter: 9}, {Host: "A", Incarnation: "9", Counter: 99}})
	b.merge(time.Second, []memberEntry{{Host: "B", Incarnation: "2", Counter: 5, Leaving: true}})
	m := b.members(time.Second)
	assert.Equal(t, len(m), 1)
	assert.DeepEqual(t, m[0], knownMember{Entry: memberEntry{Host: "B", Incarnation: "2", Counter: 5}, Live: true}, addresses)
	assert.Assert(t, !b.members((unresponsiveIntervals + 1) * time.Second)[0].Live)
	b.resetTimers((unresponsiveIntervals + 1) * time.Second)
	assert.Assert(t, b.members((unresponsiveIntervals + 1) * time.Second)[0].Live)
}

// TestTableMergesInAnyOrder checks that merging gives the same result in any order and with
// duplicates.
func TestTableMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) memberEntry {
			return memberEntry{
				Host:        rapid.SampledFrom([]string{"B", "C"}).Draw(t, "host"),
				Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation"),
				Counter:     uint64(rapid.IntRange(0, 4).Draw(t, "counter")),
			}
		})
		entries := rapid.SliceOfN(entry, 1, 12).Draw(t, "news")
		one, other := newTestTable("A"), newTestTable("A")
		one.merge(0, entries)
		for _, e := range rapid.Permutation(append(entries, entries...)).Draw(t, "order") {
			other.merge(0, []memberEntry{e})
		}
		assert.DeepEqual(t, one.members(0), other.members(0), addresses)
	})
}

// TestGossipReachesAllHostsOfAHall checks that all hosts of a large hall learn of each other,
// consider each other live, and detect a failed host.
func TestGossipReachesAllHostsOfAHall(t *testing.T) {
	const hosts = 117
	random := rand.New(rand.NewPCG(7, 0))
	var all []*memberTable
	for i := range hosts {
		all = append(all, newMemberTable(memberTableConfig{Self: memberEntry{Host: fmt.Sprintf("H%d", i), Incarnation: "1"}, Interval: time.Second, Random: random}))
	}
	now := time.Duration(0)
	round := func(dead int) {
		now += time.Second
		for i, a := range all {
			if i == dead {
				continue
			}
			a.tick(now, 1)
			for range hallPartners {
				j := random.IntN(hosts)
				if j == i || j == dead {
					continue
				}
				all[j].merge(now, a.entries(now))
				a.merge(now, all[j].entries(now))
			}
		}
	}
	minKnown := func() int {
		fewest := hosts
		for _, a := range all {
			n := 0
			for _, m := range a.members(now) {
				if m.Live {
					n++
				}
			}
			fewest = min(fewest, n)
		}
		return fewest
	}
	for range 40 {
		round(-1)
	}
	assert.Equal(t, minKnown(), hosts-1)
	steady := 0
	const watched = 60
	for range watched {
		round(-1)
		if minKnown() == hosts-1 {
			steady++
		}
	}
	assert.Equal(t, steady, watched, "a live host was taken for silent")
	for range 10 * unresponsiveIntervals {
		round(3)
	}
	for i, a := range all {
		for _, m := range a.members(now) {
			if i != 3 && m.Entry.Host == "H3" {
				assert.Assert(t, !m.Live)
			}
		}
	}
}
