package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"loomgap/tier/prog"
)

// errPromise is wrapped by the error of a soak that saw a promise broken.
var errGuaranteeViolated = errors.New("a promise was broken")

type soakConfig struct {
	// Seed draws the faults; the same seed draws the same ones at the same
	// times.
	Seed uint64
	// For is how long faults come.
	FaultDuration time.Duration
	// Daemon is the program of the entry hosts.
	Daemon string
	// Hosts is how many entry hosts run in each of two halls.
	Hosts int
	// Callers is how many callers ask at a time.
	Callers int
	// Shards is how many shards a gather has.
	Shards int
	// Evacuate has a hall evacuated once the faults have ended.
	Evacuate bool
	// Dir is where the logs of the daemons are kept.
	Dir string
}

func newSoakCommand() prog.Command {
	c := &soakConfig{}
	return prog.Command{
		Name: "soak", Synopsis: "run daemons under random faults and check their promises",
		Usage: "loomfake soak -Daemon FILE [-Seed N] [-For TIME]\n" +
			"Prints a report; exits with 1 if a promise was broken. docs/SOAK.md has the promises.\n",
		Flags: c.flags, Run: withExitStatus(c.run),
	}
}

func (c *soakConfig) flags(f *flag.FlagSet) {
	f.Uint64Var(&c.Seed, "Seed", 1, "`number` that draws the faults")
	f.DurationVar(&c.FaultDuration, "For", 20*time.Second, "how long faults come")
	f.StringVar(&c.Daemon, "Daemon", "bin/loomd", "`file` of the daemon")
	f.IntVar(&c.Hosts, "Hosts", 2, "`number` of entry hosts in each hall")
	f.IntVar(&c.Callers, "Callers", 12, "`number` of callers")
	f.IntVar(&c.Shards, "Shards", 5, "`number` of shards")
	f.BoolVar(&c.Evacuate, "Evacuate", true, "evacuate a hall once the faults have ended")
	f.StringVar(&c.Dir, "Dir", "", "`directory` for the daemons' logs; empty for a new one that is removed if all is well")
}

// run runs daemons under random faults and checks their promises.
func (c *soakConfig) run(ctx context.Context) error {
	temporary := c.Dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return fmt.Errorf("directory for logs: %w", err)
		}
		c.Dir = dir
	}
	s, cleanUp, err := newSoak(*c)
	if err != nil {
		return err
	}
	err = s.run(ctx)
	cleanUp()
	if err != nil {
		return err
	}
	violations := s.check()
	s.writeReport(os.Stdout, violations)
	if len(violations) > 0 {
		return fmt.Errorf("%w: seed %d, logs in %s", errGuaranteeViolated, c.Seed, c.Dir)
	}
	if temporary {
		return os.RemoveAll(c.Dir)
	}
	return nil
}
