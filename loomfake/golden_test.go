package main

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/golden"

	"loomgap/tier/prog"
)

// programCommands are the commands of each program.
var programCommands = map[string][]string{
	"loomd":    {"serve", "version"},
	"loomctl":  {"ask", "order", "status", "plan", "check", "drain", "version"},
	"loomfake": {"document", "platform", "upstream", "link", "replay", "soak", "crowd"},
}

// TestHelpIsStable compares the help and the flags of each command with testdata/golden.
// Operators' scripts and the deploy file use these flags.
func TestHelpIsStable(t *testing.T) {
	for program, names := range programCommands {
		for _, name := range names {
			t.Run(program+" "+name, func(t *testing.T) {
				var out bytes.Buffer
				c := exec.Command(filepath.Join(programs, program), "help", name)
				c.Stdout, c.Stderr = &out, &out
				assert.NilError(t, c.Run())
				golden.Assert(t, out.String(), "golden/"+program+"_"+name+".txt")
			})
		}
	}
}

// TestVersionPrintsProgramAndRelease runs the version command of the programs that have
// one, which also names the revision and the time of the build.
func TestVersionPrintsProgramAndRelease(t *testing.T) {
	for _, program := range []string{"loomd", "loomctl"} {
		out, err := exec.Command(filepath.Join(programs, program), "version").Output()
		assert.NilError(t, err)
		want := "^" + regexp.QuoteMeta(program+" "+prog.Release) + `, revision (unknown|[0-9a-f]{40}( with changes)?), written \d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ\n$`
		assert.Assert(t, cmp.Regexp(want, string(out)))
	}
}

// metricName is the name of a metric, without its labels.
var metricName = regexp.MustCompile(`loomgap_[a-z_]+`)

// TestMetricNamesAreStable compares all metric names in the code with
// testdata/golden/metrics.txt.
func TestMetricNamesAreStable(t *testing.T) {
	names := map[string]bool{}
	for _, module := range []string{"tier", "platform", "loomd"} {
		err := filepath.WalkDir(filepath.Join("..", module), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return collectMetrics(path, names)
		})
		assert.NilError(t, err)
	}
	golden.Assert(t, sortedLines(names), "golden/metrics.txt")
}

// collectMetrics adds the metric names in the string literals of a file to names.
func collectMetrics(path string, names map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			for _, name := range metricName.FindAllString(l.Value, -1) {
				names[name] = true
			}
		}
		return true
	})
	return nil
}

func sortedLines(names map[string]bool) string {
	var out []string
	for n := range names {
		out = append(out, n)
	}
	slices.Sort(out)
	return strings.Join(out, "\n") + "\n"
}

// TestStatusAndMetricsAreStable compares the fields of /status with
// testdata/golden/status.txt, and checks the metrics and labels that dashboards use, after
// one request to a tier of two daemons.
func TestStatusAndMetricsAreStable(t *testing.T) {
	port := portStart + int(portOffset.Add(portBlock))
	s := &scenario{t: t, port: port, dir: t.TempDir(), env: os.Environ(), processes: map[string]*process{}, history: &history{}}
	defer s.stopAll()
	assert.NilError(t, s.startTier(2, 2, nil))
	var counted struct{ Outcome string }
	assert.NilError(t, call(http.MethodPost, s.callerAddress(1)+"/ask", map[string]string{"Statement": "count Orders", "Class": "Tally"}, &counted))
	assert.Equal(t, counted.Outcome, "Complete")

	var status any
	assert.NilError(t, call(http.MethodGet, s.operatorAddress(1)+"/status", nil, &status))
	fields := map[string]bool{}
	collectFields("", status, fields)
	golden.Assert(t, sortedLines(fields), "golden/status.txt")

	reply, err := httpClient.Get("http://" + s.operatorAddress(1) + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	assert.NilError(t, err)
	for _, want := range []string{
		`loomgap_requests_total{Class="Tally",Outcome="Complete"} 1`,
		`loomgap_request_seconds_count{Class="Tally",Outcome="Complete"} 1`,
		`loomgap_parts_asked_total 2`,
		`loomgap_parts_missing_total 0`,
		`loomgap_upstream_calls_total{Outcome="OK"} `,
		`loomgap_platform_reads_total `,
		`loomgap_peer_bytes_in `,
	} {
		assert.Check(t, strings.Contains(string(text), want), "%s in\n%s", want, text)
	}
}

// collectFields adds the paths of all fields of a JSON value to fields, with the kind of
// each scalar.
func collectFields(path string, value any, fields map[string]bool) {
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			collectFields(path+"."+name, field, fields)
		}
	case []any:
		fields[path+"[]"] = true
		for _, element := range v {
			collectFields(path+"[]", element, fields)
		}
	default:
		text, _ := json.Marshal(v) // value was decoded from JSON
		kind := map[byte]string{'"': "text", 't': "truth", 'f': "truth", 'n': "null"}[text[0]]
		if kind == "" {
			kind = "number"
		}
		fields[path+" "+kind] = true
	}
}
