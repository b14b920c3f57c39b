// Package main is the daemon of an entry host. It owns the process: its settings,
// log, signals and planned stop. What the host does is in the stages of package
// tier, which register themselves and run on one kernel.
//
// Begin with serve.go (start and stop) and pipeline.go (the stages in their
// order). settings.go has the flags, reload.go what may change while the process
// runs, log.go and trace.go what it writes.
package main

import "loomgap/tier/prog"

func main() {
	prog.Main(&serveCommand{}, prog.Version("loomd"))
}
