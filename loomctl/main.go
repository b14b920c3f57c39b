// Package main is the command-line client for callers and operators. Each command is in
// the file of its name; client.go holds the flags and clients that commands share,
// exit.go the exit statuses. The client keeps no state: it calls the two services of an
// entry host and uses packages config and query to work on documents.
package main

import "loomgap/tier/prog"

func main() {
	prog.Main(
		newAskCommand(), newOrderCommand(), newStatusCommand(), newPlanCommand(), newCheckCommand(), newDrainCommand(),
		prog.Version("loomctl"),
	)
}
