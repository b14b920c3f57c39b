package prog

import (
	"cmp"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// unknownRevision is the revision of a program that was built without one, such as outside of a
// checkout or with -buildvcs=false.
const unknownRevision = "unknown"

// Build describes from what, and when, this program was built, to tell a current one from one that
// was left over.
type Build struct {
	// Release is the release version.
	Release string
	// Revision is the revision of the source; unknownRevision if the build did not record it.
	// Modified is true if the source had changes beside it.
	Revision string
	Modified bool
	// Written is when the file of the program was written; zero if that is not known.
	Written time.Time
}

// ReadBuild returns the description of this program.
func ReadBuild() Build {
	b := Build{Release: Release, Revision: unknownRevision}
	if info, ok := debug.ReadBuildInfo(); ok {
		b.readSettings(info.Settings)
	}
	if path, err := os.Executable(); err == nil {
		if f, err := os.Stat(path); err == nil {
			b.Written = f.ModTime().UTC()
		}
	}
	return b
}

func (b *Build) readSettings(settings []debug.BuildSetting) {
	for _, s := range settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = cmp.Or(s.Value, unknownRevision)
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
}

// String describes the build in one line.
func (b Build) String() string {
	modified := ""
	if b.Modified {
		modified = " with changes"
	}
	return fmt.Sprintf("%s, revision %s%s, written %s", b.Release, b.Revision, modified, b.Written.Format(time.RFC3339))
}

// Publish adds the metric that describes the build.
func (b Build) Publish() {
	name := fmt.Sprintf(`loomgap_build_info{Version=%q,Revision=%q,Modified="%t"}`, b.Release, b.Revision, b.Modified)
	metrics.GetOrCreateGauge(name, nil).Set(1)
}
