package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"loomgap/tier/config"
	"loomgap/tier/prog"
)

type checkCommand struct {
	revision uint64
}

func newCheckCommand() prog.Command {
	c := &checkCommand{}
	return prog.Command{
		Name: "check", Synopsis: "check a configuration document",
		Usage: "loomctl check [-Revision N] FILE\n",
		Flags: c.flags, Run: c.run,
	}
}

func (c *checkCommand) flags(f *flag.FlagSet) {
	f.Uint64Var(&c.revision, "Revision", 0, "`revision` at which the document will be published; 0 for Based+1")
}

func (c *checkCommand) run(_ context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("give one file")
	}
	d, err := readDocument(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	revision := c.revision
	if revision == 0 {
		revision = d.Based + 1
	}
	if err := config.Check(d, revision); err != nil {
		return fail(fmt.Errorf("%s: %w", f.Arg(0), err))
	}
	fmt.Printf("%s is valid at revision %d\n", f.Arg(0), revision)
	return exitComplete
}

// readDocument reads a configuration document from a file, up to the maximum size.
func readDocument(name string) (*config.Document, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open document: %w (give the path of a document)", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, config.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read document: %w (give the path of a document)", err)
	}
	d, err := config.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return d, nil
}
