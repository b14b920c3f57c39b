package main

import (
	"context"
	"flag"
	"strings"

	"github.com/google/subcommands"

	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/prog"
)

type askCommand struct {
	connection
	class    string
	deadline int64
}

func newAskCommand() prog.Command {
	c := &askCommand{}
	return c.hostCommand(prog.Command{
		Name: "ask", Synopsis: "query the data",
		Usage: "loomctl ask [-Class NAME] 'count Orders where Status = Ready'\n",
		Flags: c.flags, Run: c.run,
	})
}

func (c *askCommand) flags(f *flag.FlagSet) {
	f.StringVar(&c.class, "Class", "Search", "`class` of the request")
	f.Int64Var(&c.deadline, "DeadlineMillis", 0, "deadline of the request in milliseconds; 0 for the deadline of its class")
}

func (c *askCommand) run(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return usage("no statement: write one, as in loomctl ask 'count Orders'")
	}
	a, err := c.entry().Ask(ctx, &entrygen.AskPayload{
		Statement: strings.Join(f.Args(), " "), Class: c.class, DeadlineMillis: &c.deadline,
	})
	if err != nil {
		return fail(hostError(err))
	}
	return printAnswer(a, c.format)
}
