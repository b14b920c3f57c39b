// Package main runs the stand-ins of the project, for the demo and the
// scenarios: a platform, upstreams, links that can be cut, and documents to try
// them with. It also replays decisions in virtual time (replay) and runs daemons
// under random faults (soak). It owns nothing that the daemon needs, and serves
// loopback addresses only.
//
// Begin with command.go; each command has a file of its name.
package main

import "loomgap/tier/prog"

func main() {
	prog.Main(
		newDocumentCommand(), newPlatformCommand(), newUpstreamCommand(), newLinkCommand(), newReplayCommand(), newSoakCommand(),
	)
}
