// Package prog is what the programs of loomgap share: the commands that each has,
// and the version of the release. It owns the command line of the process, which
// it hands to package subcommands; the commands themselves are each program's own.
package prog

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Release is the version of the release; the release build sets it.
var Release = "0.1.0"

// Main runs the command that the command line names, and ends the process with its
// exit status. Commands for help are added. It is called once, from main.
func Main(commands ...subcommands.Command) {
	commands = append(commands, subcommands.HelpCommand(), subcommands.FlagsCommand())
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// versionCommand prints the version of a program.
type versionCommand struct {
	program string
}

var _ subcommands.Command = (*versionCommand)(nil)

// Version returns the command that prints the version of a program.
func Version(program string) subcommands.Command { return &versionCommand{program: program} }

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (c *versionCommand) Usage() string { return c.program + " version\n" }

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(c.program + " " + Release)
	return subcommands.ExitSuccess
}
