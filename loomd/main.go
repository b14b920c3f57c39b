// Package main is the daemon of an entry host. It owns the process: its settings,
// log, signals and planned stop. What the host does is in the stages of package
// tier, which register themselves and run on one kernel.
//
// Begin with serve.go, the life of the process from start to end. start.go starts
// the stages in their order, reload.go takes in settings that change while the
// process runs, and stop.go waits for a planned stop. settings.go has the flags and
// their checks, log.go and trace.go what the process writes.
package main

import "loomgap/tier/prog"

func main() {
	prog.Main(newServeCommand(), prog.Version("loomd"))
}
