package main

import (
	"flag"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"loomgap/tier/config"
)

// TestEnvironmentNamesStayAsTheyAre compares the environment variables of serve,
// in the order of their flags, with testdata/environment.txt: deploy files use
// them.
func TestEnvironmentNamesStayAsTheyAre(t *testing.T) {
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
