package replay

import (
	"bytes"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// quickCases lists the cases that TestReplayMatchesGoldenFile runs, each within a few
// seconds. They cover the baseline and default policies, a load of two classes, and
// relaying through an owner.
var quickCases = []string{
	"overload, plain",
	"overload, chosen",
	"small, 30% use, queue 0, Borrow",
	"small, 30% use, queue 4, Owner",
}

// TestReplayMatchesGoldenFile compares the results of quick cases with
// testdata/replay.golden. To compare all cases, which takes some minutes:
//
//	go run ./loomfake replay | diff - tier/replay/testdata/replay.golden
func TestReplayMatchesGoldenFile(t *testing.T) {
	text, err := os.ReadFile("testdata/replay.golden")
	assert.NilError(t, err)
	want := strings.SplitAfter(string(text), "\n")
	var quick []Case
	for _, c := range Cases() {
		if slices.Contains(quickCases, c.Name) {
			quick = append(quick, c)
		}
	}
	assert.Equal(t, len(quick), len(quickCases))
	for _, r := range runAll(t, quick...) {
		var got bytes.Buffer
		r.Print(&got)
		for line := range strings.Lines(got.String()) {
			assert.Check(t, slices.Contains(want, line), "not in the golden file: %s", line)
		}
	}
}

// TestGoldenFileListsAllCases guards against a golden file that lacks cases or has
// obsolete ones.
func TestGoldenFileListsAllCases(t *testing.T) {
	text, err := os.ReadFile("testdata/replay.golden")
	assert.NilError(t, err)
	rows, found := strings.CutPrefix(string(text), Header)
	assert.Assert(t, found)
	var want []string
	for _, c := range Cases() {
		for _, l := range c.loads {
			want = append(want, "| "+c.Name+" | "+l.class.Name+" |")
		}
	}
	lines := strings.Split(strings.TrimSuffix(rows, "\n"), "\n")
	assert.Equal(t, len(lines), len(want))
	for i, line := range lines {
		assert.Check(t, strings.HasPrefix(line, want[i]), line)
	}
}
