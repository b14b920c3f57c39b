package main

import (
	"flag"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"loomgap/tier/kernel"
)

// fileEvery is how often the file of settings is looked at, since it may
// change without a signal.
const fileEvery = 5 * time.Second

// watchFile puts changed settings of a file in force, at SIGHUP and when the
// file changes. Without a file SIGHUP changes nothing. The function it returns
// ends the watch.
func watchFile(k *kernel.Kernel, o origin) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(fileEvery)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-signals:
				k.Log.Info().Str("File", o.file).Msg("settings read again at SIGHUP")
			case <-tick.C:
			}
			if o.file != "" {
				reload(k, o)
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// reload takes in what may change while the process runs. A file that cannot
// be read or is wrong changes nothing.
func reload(k *kernel.Kernel, o origin) {
	next, err := o.settings()
	if err != nil {
		k.Log.Error().Err(err).Msg("changed settings refused, the old ones stay in force")
		return
	}
	old, live := k.Reloadable(), kernel.ReloadableSettings{Seeds: next.Seeds, RetryBudget: next.RetryBudget}
	if slices.Equal(old.Seeds, live.Seeds) && old.RetryBudget == live.RetryBudget {
		return
	}
	k.Reload(live)
	k.Log.Info().Int("Seeds", len(live.Seeds)).Float64("RetryRatio", live.RetryBudget.Ratio).
		Float64("RetrySlack", live.RetryBudget.Slack).Msg("changed settings in force")
}

type origin struct {
	// flags are the flags of the command line, by name.
	flags map[string]string
	// file is the file of settings; empty for none.
	file string
}

// originOf remembers the flags that a command line gave.
func originOf(f *flag.FlagSet, file string) origin {
	o := origin{flags: map[string]string{}, file: file}
	f.Visit(func(x *flag.Flag) { o.flags[x.Name] = x.Value.String() })
	return o
}

func (o origin) settings() (*kernel.Settings, error) {
	var c serveCommand
	f := flag.NewFlagSet("settings", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	c.flags(f)
	for name, value := range o.flags {
		if err := f.Set(name, value); err != nil {
			return nil, &settingError{Flag: name, Problem: err.Error(), Remedy: "correct the flag"}
		}
	}
	if err := fromEnvironment(f, o.file); err != nil {
		return nil, err
	}
	return &c.settings, checkSettings(&c.settings)
}
