package config

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestDirectoryTakesChangesInAnyOrder applies listings, removals and complete listings
// out of order and twice; the resulting directory must be the same.
func TestDirectoryTakesChangesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var inOrder *Directory
		var history []DirectoryChange
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			name, revision := fmt.Sprint("U", rapid.IntRange(0, 4).Draw(t, "name")), uint64(i+1)
			c := DirectoryChange{Revision: revision}
			if rapid.Bool().Draw(t, "remove") {
				c.Removed = []Removal{{Name: name, Revision: revision}}
			} else {
				c.Listed = []Listing{{Name: name, Group: "G", Revision: revision}}
			}
			history = append(history, c)
			inOrder, _ = inOrder.With(&c)
			if rapid.IntRange(0, 4).Draw(t, "whole") == 0 {
				whole := inOrder.Whole()
				whole.Removed = nil
				history = append(history, whole)
			}
		}
		mixed := applyShuffled(t, history)
		assert.Equal(t, mixed.Digest(), inOrder.Digest())
		assert.Equal(t, mixed.Revision, inOrder.Revision)
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestOldRemovalsAreDropped checks the bound of the number of removals kept, which
// grows with the number of upstreams listed.
func TestOldRemovalsAreDropped(t *testing.T) {
	for _, listed := range []int{0, 2000} {
		bound := max(minRemovalsKept, removalsKeptPerUpstream*listed)
		d := newDirectory(listed)
		for i := range 3 * bound {
			d, _ = d.With(&DirectoryChange{Revision: uint64(i + 2), Removed: []Removal{{Name: fmt.Sprint("U", i), Revision: uint64(i + 2)}}})
		}
		assert.Assert(t, d.removed.Len() <= bound)
		_, known := d.removed.Get(fmt.Sprint("U", 3*bound-1))
		assert.Assert(t, known)
		_, known = d.removed.Get(fmt.Sprint("U", 3*bound-bound/2))
		assert.Assert(t, known, "the newer half is not remembered")
	}
}

// TestLateEntriesDoNotRestoreRemovedUpstreams replaces all upstreams of a large
// directory one by one. Late entries of the removed upstreams must not list them again.
func TestLateEntriesDoNotRestoreRemovedUpstreams(t *testing.T) {
	const upstreams = 2 * 5448
	d := newDirectory(upstreams)
	revision := uint64(1)
	for i := range upstreams {
		revision += 2
		old, next := newListing(i, 1), newListing(upstreams+i, revision)
		d, _ = d.With(&DirectoryChange{Revision: revision, Listed: []Listing{next}, Removed: []Removal{{Name: old.Name, Revision: revision - 1}}})
	}
	for i := range upstreams {
		d, _ = d.With(&DirectoryChange{Revision: 1, Listed: []Listing{newListing(i, 1)}})
		_, listed := d.Find(newListing(i, 1).Name)
		assert.Assert(t, !listed, "upstream %d of %d is back", i, upstreams)
	}
	assert.Equal(t, d.Size(), upstreams)
}

// routesDoc returns a valid document with routes.
func routesDoc() *Document {
	ms := Duration(1e6)
	return &Document{
		Groups: []Group{{Name: "A", Connections: 1}, {Name: "B", Connections: 1}},
		Routes: []Route{
			{Name: "One", HostName: "x.example", Prefix: "/a/", MaxAttempts: 1, TimeLimit: 100 * ms, Objective: ms, Group: "A"},
			{Name: "Two", HostName: "x.example", Prefix: "/a/b/", MaxAttempts: 1, TimeLimit: 100 * ms, Objective: ms, Split: []WeightedGroup{{"A", 1}, {"B", 0}}},
			{Name: "All", HostName: "y.example", Prefix: "/", Repeatable: true, MaxAttempts: 2, TimeLimit: 100 * ms, Objective: ms, Gather: &Gather{Groups: []string{"A", "B"}, Top: 5, Coverage: 0.5}},
		},
	}
}

func TestRouteWithLongestPrefixApplies(t *testing.T) {
	x := newIndex(routesDoc(), nil, Edition{Position: Position{Revision: 1}})
	tests := []struct{ host, path, route string }{
		{"x.example", "/a/c", "One"},
		{"X.Example", "/a/b/c", "Two"},
		{"x.example", "/a/b", "One"},
		{"x.example", "/b/", ""},
		{"y.example", "/any", "All"},
		{"z.example", "/a/", ""},
	}
	for _, tt := range tests {
		r, c := x.Route(tt.host, tt.path)
		if tt.route == "" {
			assert.Assert(t, r == nil && c == nil)
			continue
		}
		assert.Equal(t, r.Name, tt.route)
		assert.Equal(t, c.Name, tt.route)
	}
}

func TestCheckRoutes(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *Document)
		kind   Kind
	}{
		{"good", func(*Document) {}, ""},
		{"no host name", func(d *Document) { d.Routes[0].HostName = "" }, KindValue},
		{"prefix without slash", func(d *Document) { d.Routes[0].Prefix = "/a" }, KindValue},
		{"no attempts", func(d *Document) { d.Routes[0].MaxAttempts = 0 }, KindValue},
		{"no time limit", func(d *Document) { d.Routes[0].TimeLimit = 0 }, KindValue},
		{"no objective", func(d *Document) { d.Routes[0].Objective = 0 }, KindValue},
		{"two targets", func(d *Document) { d.Routes[1].Group = "A" }, KindValue},
		{"no target", func(d *Document) { d.Routes[0].Group = "" }, KindValue},
		{"negative weight", func(d *Document) { d.Routes[1].Split[0].Weight = -1 }, KindValue},
		{"no weight", func(d *Document) { d.Routes[1].Split[0].Weight = 0 }, KindValue},
		{"unknown group", func(d *Document) { d.Routes[0].Group = "C" }, KindReference},
		{"shard twice", func(d *Document) { d.Routes[2].Gather.Groups[1] = "A" }, KindDuplicate},
		{"no shards", func(d *Document) { d.Routes[2].Gather.Groups = nil }, KindValue},
		{"coverage over 1", func(d *Document) { d.Routes[2].Gather.Coverage = 1.1 }, KindValue},
		{"no top", func(d *Document) { d.Routes[2].Gather.Top = 0 }, KindValue},
		{"gather that is not repeatable", func(d *Document) { d.Routes[2].Repeatable = false }, KindValue},
		{"route twice", func(d *Document) { d.Routes[1].Prefix = "/a/" }, KindDuplicate},
		{"name twice", func(d *Document) { d.Routes[1].Name = "One" }, KindDuplicate},
		{"homes", func(d *Document) { d.Routes[0].Homes = []string{"East", "West"} }, ""},
		{"home without a name", func(d *Document) { d.Routes[0].Homes = []string{"East", ""} }, KindValue},
		{"home twice", func(d *Document) { d.Routes[0].Homes = []string{"East", "East"} }, KindDuplicate},
		{"cold rate", func(d *Document) { d.Groups[0].Warmup, d.Groups[0].ColdRate = 3e9, 4 }, ""},
		{"negative cold rate", func(d *Document) { d.Groups[0].ColdRate = -1 }, KindValue},
		{"cold rate that is no number", func(d *Document) { d.Groups[0].ColdRate = math.NaN() }, KindValue},
		{"negative warm-up", func(d *Document) { d.Groups[0].Warmup = -1 }, KindValue},
		{"endless warm-up", func(d *Document) { d.Groups[0].Warmup = maxDuration + 1 }, KindValue},
		{"group without connections", func(d *Document) { d.Groups[0].Connections = 0 }, KindValue},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := routesDoc()
			tt.change(d)
			err := Check(d, 1)
			if tt.kind == "" {
				assert.NilError(t, err)
				return
			}
			var typed *Error
			assert.Assert(t, errors.As(err, &typed), "%v", err)
			assert.Equal(t, typed.Kind, tt.kind)
			assert.Assert(t, typed.Remedy != "")
		})
	}
}

func TestRoutesRoundTrip(t *testing.T) {
	d := routesDoc()
	d.Limits = Limits{Body: int64(rand.IntN(100) + 1)}
	text, err := Encode(d)
	assert.NilError(t, err)
	again, err := Decode(text)
	assert.NilError(t, err)
	second, err := Encode(again)
	assert.NilError(t, err)
	assert.Equal(t, string(text), string(second))
	assert.Equal(t, len(again.Routes), 3)
}

func TestDecodeRejectsNonObjects(t *testing.T) {
	for _, text := range []string{"null", "[]", "1", `"x"`, "true"} {
		_, err := Decode([]byte(text))
		assert.ErrorIs(t, err, ErrInvalid, text)
	}
}

// applyShuffled applies each change twice, in random order.
func applyShuffled(t *rapid.T, history []DirectoryChange) *Directory {
	var mixed *Directory
	for _, i := range rapid.Permutation(append(indexes(len(history)), indexes(len(history))...)).Draw(t, "order") {
		before := mixed
		next, changed := mixed.With(&history[i])
		assert.Assert(t, changed || before.Digest() == next.Digest())
		mixed = next
	}
	return mixed
}
