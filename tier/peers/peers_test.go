package peers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// TestMain fixes the seed of rapid, so that every run has the same verdict;
// -rapid.seed explores others.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

func table(host string) *memberTable {
	return newMemberTable(memberTableConfig{Self: memberEntry{Host: host, Incarnation: "1"}, Interval: time.Second, Random: rand.New(rand.NewPCG(1, 0))})
}

// addresses has addresses compared by their value.
var addresses = cmpopts.EquateComparable(netip.AddrPort{})

func TestTableBelievesTheNewest(t *testing.T) {
	b := table("A")
	b.merge(0, []memberEntry{{Host: "B", Incarnation: "2", Counter: 5}})
	b.merge(time.Second, []memberEntry{{Host: "B", Incarnation: "1", Counter: 9}, {Host: "A", Incarnation: "9", Counter: 99}})
	b.merge(time.Second, []memberEntry{{Host: "B", Incarnation: "2", Counter: 5, Leaving: true}})
	m := b.members(time.Second)
	assert.Equal(t, len(m), 1)
	assert.DeepEqual(t, m[0], knownMember{Entry: memberEntry{Host: "B", Incarnation: "2", Counter: 5}, Live: true}, addresses)
	assert.Assert(t, !b.members((silentHeartbeats + 1) * time.Second)[0].Live)
	b.restartSilence((silentHeartbeats + 1) * time.Second)
	assert.Assert(t, b.members((silentHeartbeats + 1) * time.Second)[0].Live)
}

// TestTableMergesInAnyOrder holds merging to the same result whatever the order
// and however often news comes.
func TestTableMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) memberEntry {
			return memberEntry{
				Host:        rapid.SampledFrom([]string{"B", "C"}).Draw(t, "host"),
				Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation"),
				Counter:     uint64(rapid.IntRange(0, 4).Draw(t, "counter")),
			}
		})
		news := rapid.SliceOfN(entry, 1, 12).Draw(t, "news")
		one, other := table("A"), table("A")
		one.merge(0, news)
		for _, e := range rapid.Permutation(append(news, news...)).Draw(t, "order") {
			other.merge(0, []memberEntry{e})
		}
		assert.DeepEqual(t, one.members(0), other.members(0), addresses)
	})
}

// TestGossipReachesAHall counts the beats until every host of a hall of the
// design size knows of every other, and that a dead one is found silent by all.
func TestGossipReachesAHall(t *testing.T) {
	const hosts = 117
	random := rand.New(rand.NewPCG(7, 0))
	var all []*memberTable
	for i := range hosts {
		all = append(all, newMemberTable(memberTableConfig{Self: memberEntry{Host: fmt.Sprintf("H%d", i), Incarnation: "1"}, Interval: time.Second, Random: random}))
	}
	now := time.Duration(0)
	beat := func(dead int) {
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
	known := func() int {
		least := hosts
		for _, a := range all {
			n := 0
			for _, m := range a.members(now) {
				if m.Live {
					n++
				}
			}
			least = min(least, n)
		}
		return least
	}
	for range 40 {
		beat(-1)
	}
	assert.Equal(t, known(), hosts-1)
	steady := 0
	const watched = 60
	for range watched {
		beat(-1)
		if known() == hosts-1 {
			steady++
		}
	}
	assert.Equal(t, steady, watched, "a live host was taken for silent")
	for range 10 * silentHeartbeats {
		beat(3)
	}
	for i, a := range all {
		for _, m := range a.members(now) {
			if i != 3 && m.Entry.Host == "H3" {
				assert.Assert(t, !m.Live)
			}
		}
	}
}

func TestDivideGivesEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`[A-Z]{1,3}`), 1, 9, rapid.ID).Draw(t, "hosts")
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		total := 0
		for _, h := range hosts {
			total += divide("U1", slots, hosts, h)
		}
		assert.Equal(t, total, slots)
		assert.Assert(t, divide("U1", slots, hosts, Owner("U1", hosts)) > 0)
	})
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{255, 255, 255, 255, '{'})
	f.Add([]byte{0, 0, 0, 9, '{', '"'})
	f.Fuzz(func(t *testing.T, text []byte) {
		var v struct{ Method string }
		err := frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(text)), &v)
		if len(text) >= lengthBytes && text[0] > 0 {
			assert.ErrorIs(t, err, wire.ErrTooLarge)
		}
	})
}

// TestFramesUseTheDictionary writes a message of which the dictionary has most,
// and reads it back.
func TestFramesUseTheDictionary(t *testing.T) {
	message := map[string]any{"jsonrpc": "2.0", "method": "GatherRest", "params": map[string]any{"ID": "x7-1"}}
	text, err := json.Marshal(message)
	assert.NilError(t, err)
	var frame bytes.Buffer
	assert.NilError(t, frameCodec{}.WriteObject(&frame, message))
	assert.Assert(t, frame.Len() < len(text)*2/3, "%d bytes for %d", frame.Len(), len(text))
	var back map[string]any
	assert.NilError(t, frameCodec{}.ReadObject(bufio.NewReader(&frame), &back))
	assert.DeepEqual(t, back, message)
}

// newTestNode makes a node that listens on a free port.
func newTestNode(t *testing.T) (*kernel.Kernel, *node, netip.AddrPort) {
	k, closeKernel := kernel.New(kernel.Config{
		Settings: kernel.Settings{Peer: netip.MustParseAddrPort("127.0.0.1:0")}, Log: zerolog.Nop(), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{}),
	})
	n, closeNode, err := newNode(k)
	assert.NilError(t, err)
	t.Cleanup(func() {
		closeNode()
		closeKernel()
	})
	return k, n, netip.MustParseAddrPort(n.listener.Addr().String())
}

// TestHandlerTellsItsCallerMore has a handler tell its caller something before it
// answers; it comes back on the caller's own connection.
func TestHandlerTellsItsCallerMore(t *testing.T) {
	served, _, at := newTestNode(t)
	served.Handle("Work", func(ctx context.Context, _ json.RawMessage) (any, error) {
		for i := range 3 {
			if err := kernel.Push(ctx, "Progress", i); err != nil {
				return nil, err
			}
		}
		return 3, nil
	})
	caller, n, _ := newTestNode(t)
	heard := make(chan string, 10)
	caller.Handle("Progress", func(_ context.Context, params json.RawMessage) (any, error) {
		heard <- string(params)
		return struct{}{}, nil
	})
	told := 0
	assert.NilError(t, n.callAddress(t.Context(), at, "Work", struct{}{}, &told))
	var got []string
	for range told {
		got = append(got, <-heard)
	}
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{"0", "1", "2"})
	assert.Assert(t, kernel.Push(t.Context(), "Progress", 1) != nil, "a call without a connection has no way back")
}
