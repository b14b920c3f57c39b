package peers

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run has the same verdict;
// -rapid.seed explores others.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}
