package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs is the directory of the programs under test.
var programs string

// portOffset is the offset of the block of ports that was last assigned to a scenario. Each
// scenario has its own block.
var portOffset atomic.Int64

// Ports of scenarios.
const (
	// portBlock is the number of ports per scenario.
	portBlock = 150
	// portStart keeps the ports of scenarios below the ephemeral ports of the system.
	portStart = 20_000
	// plainDaemon is the name of the daemon that is built without the race detector.
	plainDaemon = "loomd-plain"
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs, the daemon with the race detector, and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "loomgap")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	for _, args := range [][]string{
		{dir + string(filepath.Separator), "-race", "loomgap/loomd"},
		{filepath.Join(dir, plainDaemon), "loomgap/loomd"},
		{dir + string(filepath.Separator), "loomgap/loomctl"},
		{dir + string(filepath.Separator), "loomgap/loomfake"},
	} {
		c := exec.Command("go", append([]string{"build", "-o"}, args...)...)
		if out, err := c.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %v: %v\n%s", args, err, out)
			return 1
		}
	}
	return m.Run()
}

// TestScenarios runs the scripts of testdata/scenarios against the real programs, each in
// its own process. The scripts use testscript with the commands of commands_test.go.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/scenarios",
		Cmds: scenarioCommands,
		Setup: func(e *testscript.Env) error {
			port := portStart + int(portOffset.Add(portBlock))
			s := &scenario{t: t, port: port, dir: e.WorkDir, processes: map[string]*process{}, history: &history{}}
			e.Values[scenarioKey{}] = s
			e.Setenv("PATH", programs+string(os.PathListSeparator)+e.Getenv("PATH"))
			e.Setenv("LOOMD_BEAT", "200ms")
			e.Setenv("LOOMD_WATCHWAIT", "1s")
			e.Setenv("LOOMD_SETTLE", "500ms")
			for i := 1; i <= 9; i++ {
				e.Setenv(fmt.Sprintf("H%d", i), s.callerAddress(i))
				e.Setenv(fmt.Sprintf("OP%d", i), s.operatorAddress(i))
			}
			e.Defer(s.stopAll)
			return nil
		},
	})
}
