package entry

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	entrygen "loomgap/tier/gen/entry"
)

// TestPeerMessageFormat compares outcomes, method names, messages and tickets to a golden
// file. Callers and other hosts depend on them.
func TestPeerMessageFormat(t *testing.T) {
	var out strings.Builder
	for _, v := range []any{
		[]string{outcomeComplete, outcomePartial, outcomeNotRun, outcomeUnknown},
		[]string{methodRelay, methodOrder, methodAdopt},
		adoptRequest{Host: "H1", Incarnation: "a", Next: 3, Tickets: []handedTicket{
			{Counter: 1, Left: time.Second, Statement: "place", Answer: &entrygen.Answer{RequestID: "H1/a/1"}}, {Counter: 2},
		}},
		ticket{Host: "H1", Incarnation: "a", Counter: 1}.String(),
	} {
		text, err := json.Marshal(v)
		assert.NilError(t, err)
		out.Write(text)
		out.WriteByte('\n')
	}
	golden.Assert(t, out.String(), "words.golden")
}

// TestMetricNames compares the names and labels of all metrics in the product's source to a
// golden file. Operators' dashboards depend on them.
func TestMetricNames(t *testing.T) {
	var names []string
	for _, module := range []string{"tier", "platform", "loomd"} {
		err := filepath.WalkDir(filepath.Join("../..", module), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			names = append(names, metricsIn(t, path)...)
			return nil
		})
		assert.NilError(t, err)
	}
	slices.Sort(names)
	golden.Assert(t, strings.Join(slices.Compact(names), "\n")+"\n", "metrics.golden")
}

// metricsIn returns the string literals of a file that contain the name or a label of a
// metric.
func metricsIn(t *testing.T, path string) []string {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		l, ok := n.(*ast.BasicLit)
		if !ok || l.Kind != token.STRING {
			return true
		}
		text, err := strconv.Unquote(l.Value)
		assert.NilError(t, err)
		if strings.HasPrefix(text, "loomgap_") || strings.Contains(text, `="`) {
			out = append(out, text)
		}
		return true
	})
	return out
}
