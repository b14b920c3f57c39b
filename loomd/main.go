// Package main is the daemon of an entry host. It manages the process: settings, log,
// signals and graceful shutdown. The work of the host is done by stages in the packages
// under tier, which register themselves and share one kernel.
//
// Start with serve.go, which runs the process from start to exit. start.go starts the
// stages in order, reload.go reloads settings that may change at run time, and stop.go
// waits for a planned stop. settings.go defines and validates the flags; log.go and
// trace.go write logs and spans.
package main

import "loomgap/tier/prog"

func main() {
	prog.Main(newServeCommand(), prog.Version("loomd"))
}
