package prog

import (
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// TestBuildNamesRevision guards against a daemon of which nobody can tell from what it was built: one that
// was left over looked like the current one.
func TestBuildNamesRevision(t *testing.T) {
	for _, tt := range []struct {
		name     string
		settings []debug.BuildSetting
		want     string
	}{
		{"recorded", []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "false"}}, "1.2, revision abc, written 2026-01-02T03:04:05Z"},
		{"changed", []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"}}, "1.2, revision abc with changes, written 2026-01-02T03:04:05Z"},
		{"not recorded", nil, "1.2, revision unknown, written 2026-01-02T03:04:05Z"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := Build{Release: "1.2", Revision: unknownRevision, Written: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
			b.readSettings(tt.settings)
			assert.Equal(t, b.String(), tt.want)
		})
	}
	b := ReadBuild()
	assert.Equal(t, b.Release, Release)
	assert.Assert(t, !b.Written.IsZero(), "the file of the program is there")
	b.Publish()
	var text strings.Builder
	metrics.WritePrometheus(&text, false)
	assert.Assert(t, strings.Contains(text.String(), `loomgap_build_info{Version="`+Release+`",Revision="`), text.String())
}
