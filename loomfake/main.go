// Package main is loomfake. It runs stand-ins for the platform, the upstreams and
// the network links in the demo and the scenario tests, and prints sample documents
// for them. It also replays decisions in virtual time (replay) and runs daemons
// under random faults (soak) and among clients that do not behave (crowd). Its servers listen on loopback addresses only.
//
// Each command is in the file of its name; command.go holds the code they share. The
// files of the soak begin with soak, and soakrun.go is the one to start with; those of the crowds
// begin with crowd, and the kinds of clients are in crowdforms.go.
package main

import "loomgap/tier/prog"

func main() {
	prog.Main(
		newDocumentCommand(), newPlatformCommand(), newUpstreamCommand(), newLinkCommand(), newReplayCommand(), newSoakCommand(),
		newCrowdCommand(),
	)
}
