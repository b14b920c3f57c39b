package peers

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid so that runs are reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}
