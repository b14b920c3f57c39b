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

// errGuaranteeViolated is wrapped when a soak has found a violated guarantee.
var errGuaranteeViolated = errors.New("guarantee violated")

// soakConfig are the settings of a soak.
type soakConfig struct {
	// Seed seeds the faults: the same seed gives the same faults at the same times.
	Seed uint64
	// FaultDuration is the time during which faults are injected.
	FaultDuration time.Duration
	// Daemon is the path of the daemon's binary.
	Daemon string
	// Hosts is the number of entry hosts in each of the two halls.
	Hosts int
	// Callers is the number of concurrent callers.
	Callers int
	// Shards is the number of shards of a gather.
	Shards int
	// Evacuate evacuates a hall after the faults.
	Evacuate bool
	// ChecksMemory checks the resident memory of the daemons; not of those that are built with the
	// race detector, which takes several times the memory.
	ChecksMemory bool
	// Dir is the directory for the daemons' settings and logs.
	Dir string
}

func newSoakCommand() prog.Command {
	c := &soakConfig{}
	return prog.Command{
		Name: "soak", Synopsis: "run daemons under random faults and check their guarantees",
		Usage: "loomfake soak -Daemon FILE [-Seed N] [-For TIME]\n" +
			"Prints a report; exits with 1 if a guarantee was violated. docs/SOAK.md lists the guarantees.\n",
		Flags: c.flags, Run: withExitStatus(c.run),
	}
}

func (c *soakConfig) flags(f *flag.FlagSet) {
	f.Uint64Var(&c.Seed, "Seed", 1, "`number` that seeds the random faults")
	f.DurationVar(&c.FaultDuration, "For", 20*time.Second, "how long faults are injected")
	f.StringVar(&c.Daemon, "Daemon", "bin/loomd", "`file` of the daemon binary")
	f.IntVar(&c.Hosts, "Hosts", 2, "`number` of entry hosts in each hall")
	f.IntVar(&c.Callers, "Callers", 12, "`number` of callers")
	f.IntVar(&c.Shards, "Shards", 5, "`number` of shards")
	f.BoolVar(&c.Evacuate, "Evacuate", true, "evacuate a hall once the faults have ended")
	f.BoolVar(&c.ChecksMemory, "ChecksMemory", true, "check that no daemon takes more than 160 MB; not for a daemon built with the race detector")
	f.StringVar(&c.Dir, "Dir", "", "`directory` for the daemons' logs; empty for a temporary one that is removed if no guarantee was violated")
}

// run runs daemons under random faults, checks their guarantees and prints a report.
func (c *soakConfig) run(ctx context.Context) error {
	temporary := c.Dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return fmt.Errorf("create log directory: %w", err)
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
