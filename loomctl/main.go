// Package main is the command line of callers and operators. Each command has a
// file of its name; client.go has what the commands that talk to a host share,
// exit.go the exit statuses. It owns no state: it relies on the two services of an
// entry host, and on packages config and query for documents and commands.
package main

import "loomgap/tier/prog"

func main() {
	prog.Main(
		newAskCommand(), newOrderCommand(), newStatusCommand(), newPlanCommand(), newCheckCommand(), newDrainCommand(),
		prog.Version("loomctl"),
	)
}
