// Package tier checks that the documentation pages match the code.
package tier

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// root is the path of the repository root.
const root = ".."

var (
	// functionRow matches a table row with a file in its second cell and a function in
	// its third.
	functionRow = regexp.MustCompile("^\\| [^|]+\\| `((?:tier|platform)/[a-z_/]+\\.go)` \\| `([A-Za-z]+)` \\|(.*)$")
	// codeWord matches text that is set as code.
	codeWord = regexp.MustCompile("`([^`]+)`")
	// identifier matches the name of a constant.
	identifier = regexp.MustCompile(`^[a-zA-Z][A-Za-z0-9]+$`)
)

// designLines returns the lines of the design page.
func designLines(t *testing.T) []string {
	page, err := os.ReadFile(filepath.Join(root, "docs", "DESIGN.md"))
	assert.NilError(t, err)
	return strings.Split(string(page), "\n")
}

// parseFile parses a source file of the repository.
func parseFile(t *testing.T, path string) *ast.File {
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	return parsed
}

// functionsIn returns the names of the functions and methods of a file.
func functionsIn(f *ast.File) (out []string) {
	for _, d := range f.Decls {
		if f, ok := d.(*ast.FuncDecl); ok {
			out = append(out, f.Name.Name)
		}
	}
	return out
}

// constantsOf returns the names of the constants in a folder.
func constantsOf(t *testing.T, folder string) (out []string) {
	files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
	assert.NilError(t, err)
	for _, path := range files {
		relative, err := filepath.Rel(root, path)
		assert.NilError(t, err)
		ast.Inspect(parseFile(t, relative), func(n ast.Node) bool {
			if d, ok := n.(*ast.GenDecl); ok && d.Tok == token.CONST {
				for _, s := range d.Specs {
					for _, name := range s.(*ast.ValueSpec).Names {
						out = append(out, name.Name)
					}
				}
			}
			return true
		})
	}
	return out
}

// TestDesignNamesFunctionsAndConstants checks that each file and function in a table of
// the design page exists, and that the constants of a decision are in the package of its
// function.
func TestDesignNamesFunctionsAndConstants(t *testing.T) {
	rows, constants := 0, 0
	for _, line := range designLines(t) {
		m := functionRow.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		rows++
		file, function := m[1], m[2]
		if _, err := os.Stat(filepath.Join(root, file)); err != nil {
			t.Error(err)
			continue
		}
		assert.Check(t, slices.Contains(functionsIn(parseFile(t, file)), function), "%s has no function %s", file, function)
		cells := strings.Split(m[3], "|")
		if len(cells) < 5 {
			continue // a step of a way, without constants
		}
		known := constantsOf(t, filepath.Dir(file))
		for _, word := range codeWord.FindAllStringSubmatch(cells[1], -1) {
			if !identifier.MatchString(word[1]) {
				continue // a setting such as -Settle
			}
			constants++
			assert.Check(t, slices.Contains(known, word[1]), "%s has no constant %s", filepath.Dir(file), word[1])
		}
	}
	assert.Assert(t, rows >= 90, "only %d rows name a function", rows)
	assert.Assert(t, constants >= 90, "only %d constants", constants)
}

// literals returns the string literals of the product.
func literals(t *testing.T) map[string]bool {
	out := map[string]bool{}
	for _, module := range []string{"tier", "platform", "loomd"} {
		err := filepath.WalkDir(filepath.Join(root, module), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			relative, err := filepath.Rel(root, path)
			assert.NilError(t, err)
			ast.Inspect(parseFile(t, relative), func(n ast.Node) bool {
				if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
					text, err := strconv.Unquote(l.Value)
					assert.NilError(t, err)
					out[text] = true
				}
				return true
			})
			return nil
		})
		assert.NilError(t, err)
	}
	return out
}

// logMessage matches a log message set as code in a table: words in lower case.
var logMessage = regexp.MustCompile(`^[a-z]+( [a-z]+)+(, [a-z ]+)?$`)

// TestDesignNamesLogMessages checks that each log message in a table of the design page
// and the operations page occurs in the product.
func TestDesignNamesLogMessages(t *testing.T) {
	known, messages := literals(t), 0
	operations, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	for _, line := range append(designLines(t), strings.Split(string(operations), "\n")...) {
		if !strings.HasPrefix(line, "| ") {
			continue
		}
		for _, word := range codeWord.FindAllStringSubmatch(line, -1) {
			if logMessage.MatchString(word[1]) && !strings.HasPrefix(word[1], "loom") { // a command
				messages++
				assert.Check(t, known[word[1]], "nothing logs %q", word[1])
			}
		}
	}
	assert.Assert(t, messages >= 60, "only %d messages", messages)
}

// testName and sourceFile match the name of a test and of a source file set as code.
var (
	testName   = regexp.MustCompile("`(Test[A-Za-z0-9]+)`")
	sourceFile = regexp.MustCompile("`([a-z]+(?:/[a-z_]+)*/[a-z_]+\\.go)`")
)

// TestPagesNameWhatExists checks that each test and source file named on a page exists.
func TestPagesNameWhatExists(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	assert.NilError(t, err)
	tests := declaredTests(t)
	for _, path := range append(pages, filepath.Join(root, "README.md")) {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, m := range testName.FindAllStringSubmatch(string(text), -1) {
			assert.Check(t, tests[m[1]], "%s names the test %s", path, m[1])
		}
		for _, m := range sourceFile.FindAllStringSubmatch(string(text), -1) {
			_, inRoot := os.Stat(filepath.Join(root, m[1]))
			_, inTier := os.Stat(m[1])
			assert.Check(t, inRoot == nil || inTier == nil, "%s names the file %s", path, m[1])
		}
	}
}

// declaredTests returns the names of the tests of all modules.
func declaredTests(t *testing.T) map[string]bool {
	out := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		relative, err := filepath.Rel(root, path)
		assert.NilError(t, err)
		for _, f := range functionsIn(parseFile(t, relative)) {
			out[f] = true
		}
		return nil
	})
	assert.NilError(t, err)
	return out
}
