package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Exit statuses. docs/OPERATIONS.md lists them.
const (
	exitComplete = subcommands.ExitSuccess
	exitFailure  = subcommands.ExitFailure
	exitUsage    = subcommands.ExitUsageError
	exitPartial  = subcommands.ExitStatus(3)
	exitNotRun   = subcommands.ExitStatus(4)
	exitUnknown  = subcommands.ExitStatus(5)
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

func exitOf(outcome string) subcommands.ExitStatus {
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
