// Command stand plays the cases of the review: it starts loomd as the deploy file does,
// stands in for the platform's store, the backends and the consumers, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	troubleNone = "0"
)

var cases = map[string]func(*world) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintf(os.Stderr, "stand: no case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(exitNotRun)
	}
	broken, err := play(w)
	w.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "stand: the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
