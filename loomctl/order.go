package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/prog"
)

type orderCommand struct {
	connection
	class    string
	ticket   string
	deadline int64
}

func newOrderCommand() prog.Command {
	c := &orderCommand{}
	return c.hostCommand(prog.Command{
		Name: "order", Synopsis: "place an order that runs at most once",
		Usage: "loomctl order [-Class NAME] [-Ticket TICKET] 'place Orders key 7 set Shop = Sur'\n",
		Flags: c.flags, Run: c.run,
	})
}

func (c *orderCommand) flags(f *flag.FlagSet) {
	f.StringVar(&c.class, "Class", "Order", "`class` of the request")
	f.StringVar(&c.ticket, "Ticket", "", "`ticket` of an earlier attempt; empty to get a new one")
	f.Int64Var(&c.deadline, "DeadlineMillis", 0, "deadline of the request in milliseconds; 0 for the deadline of its class")
}

func (c *orderCommand) run(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return usage("no statement: write one, as in loomctl order 'place Orders key 7 set Shop = Sur'")
	}
	client := c.entry()
	if c.ticket == "" {
		t, err := client.Ticket(ctx)
		if err != nil {
			return fail(hostError(err))
		}
		c.ticket = t.Ticket
		// Print the ticket before the order is sent, so that the caller can retry with
		// it if the answer is lost.
		fmt.Fprintln(os.Stderr, "Ticket:", c.ticket)
	}
	a, err := client.Order(ctx, &entrygen.OrderPayload{
		Ticket: c.ticket, Statement: strings.Join(f.Args(), " "), Class: c.class, DeadlineMillis: &c.deadline,
	})
	if err != nil {
		return fail(fmt.Errorf("%w (retry with -Ticket %s)", hostError(err), c.ticket))
	}
	return printAnswer(a, c.format)
}
