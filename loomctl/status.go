package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/google/subcommands"

	opsgen "loomgap/tier/gen/ops"
	"loomgap/tier/prog"
)

type statusCommand struct {
	connection
}

func newStatusCommand() prog.Command {
	c := &statusCommand{}
	return c.hostCommand(prog.Command{
		Name: "status", Synopsis: "print the status of a host",
		Usage: "loomctl status [-Operate IP:PORT]\n",
		Run:   c.run,
	})
}

func (c *statusCommand) run(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
	s, err := c.ops().Status(ctx)
	if err != nil {
		return fail(err)
	}
	if c.format == formatJSON {
		return printJSON(s)
	}
	printStatus(s)
	return exitComplete
}

func printStatus(s *opsgen.StatusResult) {
	fmt.Printf("Host %s in hall %s, region %q, incarnation %s: %s, %d in flight\n", s.Host, s.Hall, s.Region, s.Incarnation, s.State, s.InFlight)
	fmt.Printf("Configuration %d, digest %s; platform silent for %d ms, watching %t\n", s.Revision, s.Digest, s.PlatformSilentMillis, s.Watching)
	if s.Refused != "" {
		fmt.Printf("Refused: %s\n", s.Refused)
	}
	for _, h := range s.EvacuatedHalls {
		fmt.Printf("Evacuated: %s\n", h)
	}
	for _, m := range s.Members {
		fmt.Printf("Member %s (%s): %s, configuration %d\n", m.Name, m.Incarnation, m.State, m.Revision)
	}
	for _, u := range s.Upstreams {
		fmt.Printf("Upstream %s: %s, %d of %d slots, %d queued, %d us, snapshots %d to %d\n",
			u.Name, u.State, u.InUse, u.Share, u.Queued, u.LatencyMicros, u.Oldest, u.Newest)
		if u.ColdOwner != "" {
			fmt.Printf("Upstream %s: cold, called by %s alone\n", u.Name, u.ColdOwner)
		}
	}
	for _, g := range s.Gates {
		fmt.Println(describeGate(g))
	}
}

// describeGate describes a gate in one line.
func describeGate(g *opsgen.GateStatus) string {
	limit := "no limit"
	if g.Limited {
		limit = fmt.Sprintf("limited (%s) to %d places", g.Reason, g.Places)
	}
	return fmt.Sprintf("Gate %s: %s, base %d, %d in flight, %d waiting%s, %d refused recently, %d in all, %.1f per second, call %d us",
		g.Groups, limit, g.Base, g.InFlight, g.Waiting, waitingByRank(g), g.RefusedRecently, g.Refused, g.PerSecond, g.ServiceMicros)
}

// waitingByRank lists the waiting requests of each rank; empty if none wait.
func waitingByRank(g *opsgen.GateStatus) string {
	var out []string
	for _, rank := range slices.Sorted(maps.Keys(g.WaitingByRank)) {
		out = append(out, fmt.Sprintf("%d of rank %d", g.WaitingByRank[rank], rank))
	}
	if len(out) == 0 {
		return ""
	}
	return " (" + strings.Join(out, ", ") + ")"
}
