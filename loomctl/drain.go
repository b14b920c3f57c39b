package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"loomgap/tier/prog"
)

type drainCommand struct {
	connection
}

func newDrainCommand() prog.Command {
	c := &drainCommand{}
	return c.hostCommand(prog.Command{
		Name: "drain", Synopsis: "start a graceful shutdown of a host",
		Usage: "loomctl drain [-Operate IP:PORT]\n",
		Run:   c.run,
	})
}

func (c *drainCommand) run(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
	if err := c.ops().Drain(ctx); err != nil {
		return fail(err)
	}
	fmt.Println("the host finishes what is in flight and stops")
	return exitComplete
}
