// Package prog holds what loomgap's programs share: the definition of their commands, which
// package subcommands runs, and the release version.
package prog

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Release is the release version, which the release build sets.
var Release = "0.1.0"

// Command is one command of a program.
type Command struct {
	Name, Synopsis, Usage string
	// Flags defines the flags; nil if the command has none.
	Flags func(*flag.FlagSet)
	// Run runs the command after its flags have been parsed.
	Run func(context.Context, *flag.FlagSet) subcommands.ExitStatus
}

// Main runs the command given on the command line and exits with its status. It adds the
// commands help and flags. It must be called once, from main.
func Main(commands ...Command) {
	for _, c := range commands {
		subcommands.Register(subcommandAdapter{c}, "")
	}
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// Version returns the command that prints the version of a program.
func Version(program string) Command {
	return Command{
		Name: "version", Synopsis: "print the version and the revision", Usage: program + " version\n",
		Run: func(context.Context, *flag.FlagSet) subcommands.ExitStatus {
			fmt.Println(program + " " + ReadBuild().String())
			return subcommands.ExitSuccess
		},
	}
}

// subcommandAdapter adapts a Command to package subcommands.
type subcommandAdapter struct {
	command Command
}

var _ subcommands.Command = subcommandAdapter{}

func (r subcommandAdapter) Name() string     { return r.command.Name }
func (r subcommandAdapter) Synopsis() string { return r.command.Synopsis }
func (r subcommandAdapter) Usage() string    { return r.command.Usage }

func (r subcommandAdapter) SetFlags(f *flag.FlagSet) {
	if r.command.Flags != nil {
		r.command.Flags(f)
	}
}

func (r subcommandAdapter) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return r.command.Run(ctx, f)
}
