package pass

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// TestLabelsHoldAnyName guards against a name that makes the metrics library panic.
func TestLabelsHoldAnyName(t *testing.T) {
	for _, name := range []string{"", "9", `a"b`, `a\`, `\"`, "a\nb", "a=b,c{d}", "größe", "\xff", strings.Repeat(`"`, 5000), strings.Repeat("ö", 5000)} {
		assert.NilError(t, metrics.ValidateMetric(`m{Route="`+labelValue(name)+`",Outcome="Served"}`))
		assert.Assert(t, len(labelValue(name)) < 300)
	}
}
