package main

import (
	"errors"
	"fmt"
	"os"
)

// cases are the script cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world) bool{}

func main() { os.Exit(run()) }

// run plays a case. The result is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		return 2
	}
	defer func() {
		if p := recover(); p != nil {
			var setup errSetup
			if err, ok := p.(error); !ok || !errors.As(err, &setup) {
				panic(p)
			}
			fmt.Println("could not run:", p)
			code = 2
		}
	}()
	w := newWorld(os.Args[2], os.Args[3])
	defer w.end()
	w.say("case begins", "case", os.Args[1], "trouble", w.trouble)
	if cases[os.Args[1]](w) {
		w.say("the rule held")
		return 0
	}
	w.say("the rule was broken")
	return 1
}
