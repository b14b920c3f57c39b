package pass

import (
	"strings"

	"loomgap/tier/config"
)

// labelEscapes escapes the value of a label as the text format of Prometheus requires.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// labelValue returns a name as the value of a metric's label. The operator chooses names, so they
// may hold any text, and the metrics library panics on a name that is not well formed.
func labelValue(name string) string { return labelEscapes.Replace(config.Shorten(name)) }
