package kernel_test

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"loomgap/tier/config"
	_ "loomgap/tier/entry"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// TestStatusFormatIsStable compares the status that operators get from a starting host and
// from one with state to golden files.
func TestStatusFormatIsStable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	at := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	k, stop := kernel.New(kernel.Config{
		Settings: kernel.Settings{Host: "H1", Hall: "A", Incarnation: "7", Operate: at, Regions: config.Regions{"A": "Sierra"}},
		Log:      zerolog.Nop(), Started: time.Now(),
		Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(1, 0))}),
	})
	defer stop()
	plugins, err := kernel.Pipeline([]string{"Operators"})
	assert.NilError(t, err)
	closePlugin, err := plugins[0].Run(t.Context(), k)
	assert.NilError(t, err)
	defer closePlugin()

	golden.Assert(t, status(t, at), "status-start.json")
	text, err := os.ReadFile("../config/testdata/good.json")
	assert.NilError(t, err)
	done := make(chan struct{})
	k.Do(func(s *kernel.State) {
		k.Accept(s, string(text), config.Edition{Position: config.Position{Revision: 1}})
		k.Accept(s, "no document", config.Edition{Position: config.Position{Revision: 2}})
		s.NotePublished(config.Position{Revision: 5}, "revision 5: refused by a peer")
		s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 3, Evacuated: []config.Evacuation{{Hall: "B", Revision: 3}}})
		s.Members["H2"] = kernel.Member{Host: "H2", Incarnation: "3", Live: true, Revision: 4}
		s.Members["H3"] = kernel.Member{Host: "H3", Incarnation: "4", Live: true, Leaving: true}
		s.Members["H4"] = kernel.Member{Host: "H4", Incarnation: "5"}
		s.Reading = true
		s.Changed()
	})
	k.Do(func(*kernel.State) { close(done) })
	<-done
	k.SetPhase(kernel.PhaseReady)
	k.RegisterGates(func() []kernel.GateState {
		limited := policy.GateState{
			Base: 3, Places: 8, Limited: true, Reason: policy.ShortageQueues, InFlight: 7, Waiting: 5,
			WaitingByRank: map[int]int{0: 1, 2: 4}, Refused: 70, PerSecond: 31.5, Service: 28 * time.Millisecond,
		}
		return []kernel.GateState{{Groups: "Orders/1"}, {GateState: limited, Groups: "S0/90", RefusedRecently: 12}}
	})
	golden.Assert(t, status(t, at), "status-full.json")
}

// status returns the status of a host. PlatformSilentMillis depends on the time and is set
// to 0.
func status(t *testing.T, at netip.AddrPort) string {
	t.Helper()
	answer, err := http.Get("http://" + at.String() + "/status")
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	var fields map[string]any
	assert.NilError(t, json.Unmarshal(text, &fields))
	silent, found := fields["PlatformSilentMillis"].(float64)
	assert.Assert(t, found && silent >= 0)
	fields["PlatformSilentMillis"] = 0
	text, err = json.MarshalIndent(fields, "", "\t")
	assert.NilError(t, err)
	return string(text) + "\n"
}
