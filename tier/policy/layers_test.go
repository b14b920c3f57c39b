package policy

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// layers lists the files of the package from the lowest layer up. Files that are not listed
// form the top layer, the run of a request. A file uses nothing from a higher layer, so
// that it can be read without it.
var layers = [][]string{
	// Outcomes of calls and the individual aspects of an upstream.
	{
		"outcome.go", "kind.go", "ejection.go", "backoff.go", "outlier.go", "stall.go",
		"cold.go", "borrowing.go", "limit.go", "latency.go", "condition.go", "load.go", "status.go", "pool.go",
		"overload.go", "occupancy.go",
	},
	// An upstream, composed of these aspects, and the calls that wait for its slots.
	{"slots.go", "window.go", "queue.go", "upstream.go", "learn.go"},
	// The state of all upstreams and requests on a host, and the rules based on it.
	{
		"fleet.go", "calls.go", "statuses.go", "conditions.go", "hostrank.go", "coldowner.go", "snapshot.go", "coordinator.go", "roomreport.go",
		"placement.go", "margin.go", "plugin.go", "choose.go", "tokenbucket.go", "classbudget.go", "recent.go", "retrybudget.go",
		"fingerprint.go", "quarantine.go", "suspects.go", "crashreport.go", "classstate.go",
	},
}

// TestLayers reports uses of a higher layer.
func TestLayers(t *testing.T) {
	names, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	files := token.NewFileSet()
	var parsed []*ast.File
	for _, n := range names {
		if strings.HasSuffix(n, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(files, n, nil, 0)
		assert.NilError(t, err)
		parsed = append(parsed, f)
	}
	layerOf := func(file string) int {
		for i, l := range layers {
			if slices.Contains(l, file) {
				return i
			}
		}
		return len(layers)
	}
	uses := map[*ast.Ident]types.Object{}
	c := types.Config{Importer: noImports{}, Error: func(error) {}}
	p, _ := c.Check("policy", files, parsed, &types.Info{Uses: uses})
	found := 0
	for id, o := range uses {
		if o.Pkg() != p {
			continue
		}
		user, declared := files.Position(id.Pos()), files.Position(o.Pos())
		found++
		assert.Check(t, layerOf(user.Filename) >= layerOf(declared.Filename), "%s uses %s of %s", user, id.Name, declared.Filename)
	}
	assert.Assert(t, found > 1000, "%d uses found", found)
	for _, l := range layers {
		for _, n := range l {
			assert.Check(t, slices.Contains(names, n), "%s is not a file of the package", n)
		}
	}
}

// noImports fails every import, since only uses within the package count.
type noImports struct{}

var _ types.Importer = noImports{}

func (noImports) Import(string) (*types.Package, error) { return nil, errors.New("left out") }
