// Package prog is what the programs of loomgap share: the form of their commands,
// and the version of the release. It owns the command line of the process, which
// it hands to package subcommands; what the commands do is each program's own.
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

// Command is one command of a program.
type Command struct {
	Name, Synopsis, Usage string
	// Flags declares the flags; nil if the command has none.
	Flags func(*flag.FlagSet)
	// Run carries the command out, once its flags are set.
	Run func(context.Context, *flag.FlagSet) subcommands.ExitStatus
}

// Main runs the command that the command line names, and ends the process with its
// exit status. Commands for help are added. It is called once, from main.
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

// registered is a command as package subcommands takes it.
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
