package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Exit statuses, listed in docs/OPERATIONS.md for scripts. The first three are those of
// package subcommands.
const (
	// exitComplete is 0: a complete answer, or a successful command.
	exitComplete = subcommands.ExitSuccess
	// exitFailure is 1: no answer, or an invalid file.
	exitFailure = subcommands.ExitFailure
	// exitUsage is 2: an invalid command line or environment.
	exitUsage = subcommands.ExitUsageError
	// exitPartial is 3: an answer without some of the shards.
	exitPartial = subcommands.ExitStatus(3)
	// exitNotRun is 4: the request was refused and certainly not run.
	exitNotRun = subcommands.ExitStatus(4)
	// exitUnknown is 5: the request may have run; retry it with the same ticket.
	exitUnknown = subcommands.ExitStatus(5)
)

// fail prints an error and returns exitFailure.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "loomctl:", err)
	return exitFailure
}

// usage prints a message about the command line or environment and returns exitUsage.
func usage(message string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "loomctl:", message)
	return exitUsage
}

// outcomeStatus returns the exit status for the outcome of an answer.
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
