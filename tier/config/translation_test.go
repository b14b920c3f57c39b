package config

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// translated returns a document with one route of each kind that can be applied.
func translated() *Document {
	limit, objective := Duration(5*time.Second), Duration(time.Second)
	return &Document{
		Groups: []Group{{Name: "A", Connections: 9}, {Name: "B", Connections: 9}},
		Routes: []Route{
			{Name: "single", HostName: "x.example", Prefix: "/a/", MaxAttempts: 2, TimeLimit: limit, Objective: objective, Group: "A"},
			{Name: "split", HostName: "x.example", Prefix: "/b/", MaxAttempts: 2, TimeLimit: limit, Objective: objective, Split: []WeightedGroup{{"A", 1}, {"B", 2}}},
			{Name: "gather", HostName: "x.example", Prefix: "/c/", Repeatable: true, MaxAttempts: 2, TimeLimit: limit, Objective: objective, Gather: &Gather{Groups: []string{"A", "B"}, Top: 5, Coverage: 1}},
		},
	}
}

// faultyRoutes returns the names of the routes that have a fault.
func faultyRoutes(x *Index) (out []string) {
	for _, r := range x.Document.Routes {
		if r.Fault != nil {
			out = append(out, r.Name)
		}
	}
	return out
}

// TestRouteThatCannotBeAppliedLeavesOthersAlone guards against a document that is refused whole
// because of one route.
func TestRouteThatCannotBeAppliedLeavesOthersAlone(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *Document)
		// faulty has the names of the routes with a fault, field the first fault's field.
		faulty []string
		field  string
	}{
		{"none", func(*Document) {}, nil, ""},
		{"no host name", func(d *Document) { d.Routes[0].HostName = "" }, []string{"single"}, "/Routes/0/HostName"},
		{"no prefix", func(d *Document) { d.Routes[0].Prefix = "" }, nil, "/Routes/0/Prefix"},
		{"no time", func(d *Document) { d.Routes[0].TimeLimit = 0 }, []string{"single"}, "/Routes/0/TimeLimit"},
		{"no target", func(d *Document) { d.Routes[0].Group = "" }, []string{"single"}, "/Routes/0/Group"},
		{"two targets", func(d *Document) { d.Routes[1].Group = "A" }, []string{"split"}, "/Routes/1/Group"},
		{"no weight", func(d *Document) { d.Routes[1].Split = []WeightedGroup{{"A", 0}} }, []string{"split"}, "/Routes/1/Split"},
		{"negative weight of a group that stands twice", func(d *Document) { d.Routes[1].Split = []WeightedGroup{{"A", -1}, {"A", 2}} }, []string{"split"}, "/Routes/1/Split"},
		{"infinite weights", func(d *Document) {
			d.Routes[1].Split = []WeightedGroup{{"A", math.MaxFloat64}, {"B", math.MaxFloat64}}
		}, []string{"split"}, "/Routes/1/Split"},
		{"no top", func(d *Document) { d.Routes[2].Gather.Top = 0 }, []string{"gather"}, "/Routes/2/Gather/Top"},
		{"coverage over 1", func(d *Document) { d.Routes[2].Gather.Coverage = 1.5 }, []string{"gather"}, "/Routes/2/Gather/Coverage"},
		{"gather that must run once", func(d *Document) { d.Routes[2].Repeatable = false }, []string{"gather"}, "/Routes/2/Repeatable"},
		{"two routes of a prefix", func(d *Document) { d.Routes[1].Prefix, d.Routes[1].HostName = "/a/", "X.example" }, []string{"single", "split"}, "/Routes/1/Prefix"},
		{"a route that stands twice", func(d *Document) {
			d.Routes[1] = d.Routes[0]
			d.Routes[1].Name, d.Routes[1].HostName = "again", "X.example"
		}, nil, "/Routes/1/Prefix"},
		{"a group that stands twice", func(d *Document) { d.Groups[1].Name = "A" }, nil, "/Groups/1/Name"},
		{"a fault of the adapter", func(d *Document) { d.Routes[0].Fault = &Error{Field: "/routes/0"} }, []string{"single"}, "/routes/0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := translated()
			tt.change(d)
			x := (&Translation{Document: d, Adapter: "Test"}).Index(Edition{Version: 7})
			assert.DeepEqual(t, faultyRoutes(x), tt.faulty)
			if tt.field == "" {
				assert.Equal(t, len(x.Faults), 0)
			} else {
				assert.Equal(t, len(x.Faults), 1)
				assert.Equal(t, x.Faults[0].Field, tt.field)
			}
			for _, path := range []string{"/a/", "/b/", "/c/"} {
				r, _ := x.Route("x.example", path)
				assert.Assert(t, r != nil || tt.field == "/Routes/0/HostName" || tt.field == "/Routes/0/Prefix" || tt.field == "/Routes/1/Prefix", path)
			}
		})
	}
}

// TestTranslationIsNotChanged guards against two hosts, or two versions, that share the lists of
// a document and see each other's changes of it.
func TestTranslationIsNotChanged(t *testing.T) {
	d := translated()
	d.Routes[0].Objective, d.Routes[1].Name, d.Routes[2].Gather.Groups = 0, "single", []string{"A", "A"}
	d.Groups[1].Name = "A"
	x := (&Translation{Document: d}).Index(Edition{Version: 7})
	assert.Equal(t, x.Document.Routes[0].Objective, x.Document.Routes[0].TimeLimit)
	assert.DeepEqual(t, x.Document.Routes[2].Gather.Groups, []string{"A"})
	assert.Equal(t, d.Routes[0].Objective, Duration(0))
	assert.DeepEqual(t, d.Routes[2].Gather.Groups, []string{"A", "A"})
	assert.Equal(t, len(d.Groups), 2)
}

// TestRoutesHaveNamesOfTheirOwn guards against a call of one route that another host makes by the
// settings of a route with the same name.
func TestRoutesHaveNamesOfTheirOwn(t *testing.T) {
	d := translated()
	d.Routes[0].Name, d.Routes[1].Name, d.Routes[2].Name = "", "same", "same"
	x := (&Translation{Document: d}).Index(Edition{Version: 7})
	assert.Equal(t, len(x.Faults), 0)
	for i := range x.Document.Routes {
		r := &x.Document.Routes[i]
		assert.Assert(t, r.Name != "" && x.RouteByName(r.Name) == r, "%q", r.Name)
	}
}

// TestManyRoutesOfOneName guards against a cost that grows with the square of the number of routes
// with the same name: a document of the largest size would hold up its host for minutes.
func TestManyRoutesOfOneName(t *testing.T) {
	const routes = 50_000
	d := &Document{}
	for range routes {
		d.Routes = append(d.Routes, Route{HostName: "x.example", Prefix: "/a/", Group: "A", TimeLimit: 1})
	}
	started := time.Now()
	x := (&Translation{Document: d}).Index(Edition{Version: 7})
	assert.Assert(t, time.Since(started) < 20*time.Second)
	assert.Equal(t, len(x.Document.Routes), 1)
	assert.Equal(t, len(x.Faults), routes-1)
}

// TestLargeValuesAreLowered guards against sums and multiples of durations and counts that overflow.
func TestLargeValuesAreLowered(t *testing.T) {
	d := translated()
	d.Routes[0].TimeLimit, d.Routes[0].Objective, d.Groups[0].Warmup = FromMillis(math.MaxInt64), math.MaxInt64, math.MaxInt64
	x := (&Translation{Document: d}).Index(Edition{Version: 7})
	r := x.Document.Routes[0]
	assert.DeepEqual(t, []Duration{r.TimeLimit, r.Objective, x.Group("A").Warmup}, []Duration{longestDuration, longestDuration, longestDuration})
	assert.Assert(t, 100*longestDuration > 0)
	d.Routes[0].Priority, d.Routes[0].MaxAttempts, d.Routes[2].Gather.Top, d.Groups[0].Connections = math.MinInt, math.MaxInt, math.MaxInt, math.MaxInt
	x = (&Translation{Document: d}).Index(Edition{Version: 8})
	r = x.Document.Routes[0]
	assert.DeepEqual(t, []int{r.Priority, r.MaxAttempts, x.Document.Routes[2].Gather.Top, x.Group("A").Connections}, []int{-maxCount, maxCount, maxCount, maxCount})
	assert.Equal(t, FromMillis(math.MinInt64) < 0, true)
	assert.Equal(t, FromMillis(1500), Duration(1500*time.Millisecond))
}

// TestDocumentInForceStaysValid guards against a later version of the program that refuses a
// document in force, so that no host serves once all have restarted: the bounds of Check may
// widen, and must not narrow.
func TestDocumentInForceStaysValid(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "widest.json"))
	assert.NilError(t, err)
	x, err := Accept(text, Edition{Position: Position{Revision: 1}})
	assert.NilError(t, err)
	assert.Equal(t, len(x.Document.Routes), 3)
}
