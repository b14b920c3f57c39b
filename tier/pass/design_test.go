package pass

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// repository is the root of the repository, from this package.
const repository = "../.."

// designRow is a row of the design page that names a function of a file.
var designRow = regexp.MustCompile("(?m)^\\|[^|]+\\| `(tier/[a-z/]+\\.go)` \\| `([A-Za-z]+)` \\|$")

// TestDesignNamesWhatExists holds the design page to the functions that there are.
func TestDesignNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repository, "docs", "DESIGN.md"))
	assert.NilError(t, err)
	rows := designRow.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(rows) >= 20, "only %d rows name a function", len(rows))
	for _, row := range rows {
		file, function := row[1], row[2]
		assert.Assert(t, declares(t, filepath.Join(repository, file), function), "%s has no function %s", file, function)
	}
}

// declares reports whether a file declares a function or method.
func declares(t *testing.T, file, function string) bool {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	for _, d := range parsed.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == function {
			return true
		}
	}
	return false
}
