// Package main runs the stand-ins of the project: a platform, upstreams, a
// load of callers, and documents to try them with. Each is a process of its
// own. They serve loopback addresses only.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	for _, c := range commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

func commands() []subcommands.Command {
	return []subcommands.Command{
		subcommands.HelpCommand(), subcommands.FlagsCommand(),
		&documentCommand{}, &platformCommand{}, &upstreamCommand{}, &linkCommand{}, &loadCommand{}, &replayCommand{}, &soakCommand{},
	}
}
