package config

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// newDirectory returns a directory of the given number of upstreams in groups of 12.
func newDirectory(upstreams int) *Directory {
	change := DirectoryChange{Revision: 1, Whole: true}
	for i := range upstreams {
		change.Listed = append(change.Listed, newListing(i, 1))
	}
	d, _ := (*Directory)(nil).With(&change)
	return d
}

func newListing(i int, revision uint64) Listing {
	return Listing{
		Name: fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), Group: fmt.Sprintf("shard-%d", i/12), Hall: fmt.Sprintf("hall-%d", i%6),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8104), Slots: 3, Revision: revision, Sequence: revision,
	}
}

// BenchmarkListingChange measures a change of one upstream and the comparison with the
// directory before, by the number of upstreams listed.
func BenchmarkListingChange(b *testing.B) {
	for _, upstreams := range []int{545, 5448, 54_480} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			d := newDirectory(upstreams)
			revision, i := uint64(1), 0
			for b.Loop() {
				revision++
				i = (i + 7) % upstreams
				next, _ := d.With(&DirectoryChange{Revision: revision, Listed: []Listing{newListing(i, revision)}})
				next.Since(d)
				d = next
			}
		})
	}
}

// TestListingChangeCostIsIndependentOfDirectorySize guards against copies of the whole
// directory: a change of one upstream must not allocate in proportion to the number of
// upstreams.
func TestListingChangeCostIsIndependentOfDirectorySize(t *testing.T) {
	const changes = 200
	cost := func(upstreams int) uint64 {
		d := newDirectory(upstreams)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range changes {
			revision := uint64(i + 2)
			next, _ := d.With(&DirectoryChange{Revision: revision, Listed: []Listing{newListing(i*7%upstreams, revision)}})
			assert.Equal(t, len(next.Since(d).Listed), 1)
			d = next
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / changes
	}
	small, large := cost(1000), cost(10_000)
	t.Logf("bytes for a change: %d of 1,000 upstreams, %d of 10,000", small, large)
	assert.Assert(t, large < 2*small, "%d bytes of 1,000 upstreams, %d of 10,000", small, large)
}

// TestSinceMatchesFullComparison compares what Since returns with the help of the edit
// history with what it returns from a comparison of all upstreams.
func TestSinceMatchesFullComparison(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, _ := (*Directory)(nil).With(&DirectoryChange{Revision: 1})
		all := []*Directory{d}
		for i := range rapid.IntRange(1, 2*maxEdits).Draw(t, "edits") {
			revision := uint64(i + 2)
			name := fmt.Sprint("U", rapid.IntRange(0, 5).Draw(t, "name"))
			c := DirectoryChange{Revision: revision}
			if rapid.Bool().Draw(t, "remove") {
				c.Removed = []Removal{{Name: name, Revision: revision}}
			} else {
				c.Listed = []Listing{{Name: name, Group: "G", Revision: revision}}
			}
			d, _ = d.With(&c)
			all = append(all, d)
		}
		old := *rapid.SampledFrom(all).Draw(t, "old")
		incremental := d.Since(&old)
		old.history = history{}
		assert.Equal(t, fmt.Sprint(incremental), fmt.Sprint(d.Since(&old)))
	})
}
