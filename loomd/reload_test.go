package main

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const fileText = `LOOMD_HOST=H1
LOOMD_HALL=Quito1
LOOMD_LISTEN=127.0.0.1:7400
LOOMD_OPERATE=127.0.0.1:7402
LOOMD_PEER=127.0.0.1:7401
LOOMD_PLATFORM=127.0.0.1:7300
`

func TestReload(t *testing.T) {
	first := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	second := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2")}
	tests := []struct {
		name  string
		text  string
		seeds []netip.AddrPort
		slack float64
	}{
		{"changed seeds", fileText + "LOOMD_SEEDS=127.0.0.1:2\nLOOMD_RETRYSLACK=9\n", second, 9},
		{"no seeds left", fileText + "LOOMD_SEEDS=\nLOOMD_RETRYSLACK=9\n", nil, 9},
		{"bad value keeps the old", fileText + "LOOMD_SEEDS=nowhere\n", first, 7},
		{"missing setting keeps the old", "LOOMD_SEEDS=127.0.0.1:2\n", first, 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k, cleanUp := kernel.New(kernel.Config{
				Settings: kernel.Settings{Seeds: first, RetryBudget: kernel.RetryBudget{Slack: 7}}, Log: zerolog.Nop(), Started: time.Now(),
				Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(1, 1))}),
			})
			defer cleanUp()
			path := filepath.Join(t.TempDir(), "settings.env")
			assert.NilError(t, os.WriteFile(path, []byte(tt.text), 0o600))
			reload(k, origin{file: path})
			assert.DeepEqual(t, texts(k.Reloadable().Seeds), texts(tt.seeds))
			assert.Equal(t, k.Reloadable().RetryBudget.Slack, tt.slack)
		})
	}
}

func texts(addresses []netip.AddrPort) []string {
	out := []string{}
	for _, a := range addresses {
		out = append(out, a.String())
	}
	return out
}

func TestFlagsGoBeforeTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.env")
	assert.NilError(t, os.WriteFile(path, []byte(fileText), 0o600))
	var c serveCommand
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	c.flags(f)
	assert.NilError(t, f.Parse([]string{"-Settings", path, "-Host", "H9"}))
	o := originOf(f, c.file)
	assert.NilError(t, fromEnvironment(f, c.file))
	assert.Equal(t, c.settings.Host, "H9")
	s, err := o.settings()
	assert.NilError(t, err)
	assert.Equal(t, s.Host, "H9")
	assert.Equal(t, s.Hall, "Quito1")
}
