package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDocNamesAllFiles checks that the package comment lists exactly the files of the
// package.
func TestDocNamesAllFiles(t *testing.T) {
	comment, err := os.ReadFile("doc.go")
	assert.NilError(t, err)
	named := regexp.MustCompile(`[a-z]+\.go\b`).FindAllString(string(comment), -1)
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	files = slices.DeleteFunc(files, func(f string) bool { return f == "doc.go" || strings.HasSuffix(f, "_test.go") })
	slices.Sort(named)
	assert.DeepEqual(t, slices.Compact(named), files)
}
