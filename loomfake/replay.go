package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"loomgap/tier/prog"
	"loomgap/tier/replay"
)

// replayCommand replays the cases of docs/DECISIONS.md in virtual time and prints their
// results.
type replayCommand struct {
	only string
	seed uint64
}

func newReplayCommand() prog.Command {
	c := &replayCommand{}
	return prog.Command{
		Name: "replay", Synopsis: "replay the cases of docs/DECISIONS.md in virtual time and print a table",
		Usage: "loomfake replay [-Only TEXT] [-Seed N]\n",
		Flags: c.flags, Run: withExitStatus(c.run),
	}
}

func (c *replayCommand) flags(f *flag.FlagSet) {
	f.StringVar(&c.only, "Only", "", "replay only cases whose name contains this `text`")
	f.Uint64Var(&c.seed, "Seed", 1, "seed")
}

func (c *replayCommand) run(context.Context) error {
	fmt.Print(replay.Header)
	for _, k := range replay.Cases() {
		if !strings.Contains(k.Name, c.only) {
			continue
		}
		k.Seed = c.seed
		r, err := replay.Run(k)
		if err != nil {
			return err
		}
		r.Print(os.Stdout)
	}
	return nil
}
