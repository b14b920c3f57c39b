package main

import (
	"flag"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"loomgap/tier/config"
)

// TestEnvironmentNamesAreStable guards against renamed or removed environment variables,
// which would break deployment files.
func TestEnvironmentNamesAreStable(t *testing.T) {
	var c serveCommand
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	c.flags(f)
	var names []string
	assert.NilError(t, config.SetFlagsFromEnv(f, envPrefix, func(name string) (string, bool) {
		names = append(names, name)
		return "", false
	}))
	golden.Assert(t, strings.Join(names, "\n")+"\n", "environment.txt")
}
