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

// TestDocNamesAllFiles holds the map of files in the package comment to those that there
// are.
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
