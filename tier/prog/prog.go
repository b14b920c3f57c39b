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

// Release is the release version. The release build sets it.
var Release = "0.1.0"

// Command is one command of a program.
type Command struct {
	Name, Synopsis, Usage string
	// Flags defines the flags; nil if the command has none.
	Flags func(*flag.FlagSet)
	// Run runs the command after its flags have been parsed.
	Run func(context.Context, *flag.FlagSet) subcommands.ExitStatus
}

// Main runs the command given on the command line, or one of the help commands that it
// adds, and exits with the command's status. It must be called once, from main.
func Main(commands ...Command) {
	for _, c := range commands {
		subcommands.Register(registered{c}, "")
	}
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// Version returns the command that prints the version of a program.
func Version(program string) Command {
	return Command{
		Name: "version", Synopsis: "print the version", Usage: program + " version\n",
		Run: func(context.Context, *flag.FlagSet) subcommands.ExitStatus {
			fmt.Println(program + " " + Release)
			return subcommands.ExitSuccess
		},
	}
}

// registered adapts a Command to package subcommands.
type registered struct {
	command Command
}

var _ subcommands.Command = registered{}

func (r registered) Name() string     { return r.command.Name }
func (r registered) Synopsis() string { return r.command.Synopsis }
func (r registered) Usage() string    { return r.command.Usage }

func (r registered) SetFlags(f *flag.FlagSet) {
	if r.command.Flags != nil {
		r.command.Flags(f)
	}
}

func (r registered) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return r.command.Run(ctx, f)
}
