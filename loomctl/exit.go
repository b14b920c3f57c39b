package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Exit statuses, for scripts. docs/OPERATIONS.md lists them. The first three are
// those of package subcommands, the others follow them.
const (
	// exitComplete is 0: an answer that lacks nothing, or a command that did what
	// it was asked for.
	exitComplete = subcommands.ExitSuccess
	// exitFailure is 1: no answer, or a wrong file.
	exitFailure = subcommands.ExitFailure
	// exitUsage is 2: a wrong command line or environment.
	exitUsage = subcommands.ExitUsageError
	// exitPartial is 3: an answer that lacks some shards.
	exitPartial = subcommands.ExitStatus(3)
	// exitNotRun is 4: refused, and surely not run.
	exitNotRun = subcommands.ExitStatus(4)
	// exitUnknown is 5: it may have run or not; ask again with the same ticket.
	exitUnknown = subcommands.ExitStatus(5)
)

// fail prints an error and gives the exit status of a failure.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "loomctl:", err)
	return exitFailure
}

// usage prints what is wrong with the command line.
func usage(message string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "loomctl:", message)
	return exitUsage
}

func outcomeStatus(outcome string) subcommands.ExitStatus {
	switch outcome {
	case "Complete":
		return exitComplete
	case "Partial":
		return exitPartial
	case "NotRun":
		return exitNotRun
	}
	return exitUnknown
}
