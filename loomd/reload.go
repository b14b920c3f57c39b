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

// filePollInterval is how often the settings file is read, since it may change without
// a signal.
const filePollInterval = 5 * time.Second

// watchSettingsFile applies changes of the settings file, at SIGHUP and periodically.
// Without a settings file it only logs SIGHUP. The returned function stops it.
func watchSettingsFile(k *kernel.Kernel, src settingsSource) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(filePollInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-signals:
				k.Log.Info().Str("File", src.file).Msg("signal to reload settings received")
			case <-tick.C:
			}
			if src.file != "" {
				reload(k, src)
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// reload applies the settings that may change at run time. If the settings are invalid
// or cannot be read, it keeps the current ones.
func reload(k *kernel.Kernel, src settingsSource) {
	next, err := src.settings()
	if err != nil {
		k.Log.Error().Err(err).Msg("failed to reload settings, keeping current ones")
		return
	}
	old, live := k.Reloadable(), kernel.ReloadableSettings{Seeds: next.Seeds, RetryBudget: next.RetryBudget}
	if slices.Equal(old.Seeds, live.Seeds) && old.RetryBudget == live.RetryBudget {
		return
	}
	k.Reload(live)
	k.Log.Info().Int("Seeds", len(live.Seeds)).Float64("RetryRatio", live.RetryBudget.Ratio).
		Float64("RetrySlack", live.RetryBudget.Slack).Msg("changed settings applied")
}

// settingsSource is where the settings of the process come from.
type settingsSource struct {
	// flags holds the values of the flags given on the command line, by name.
	flags map[string]string
	// file is the path of the settings file; empty for none.
	file string
}

// newSettingsSource returns a source with the flags given on the command line and a
// settings file.
func newSettingsSource(f *flag.FlagSet, file string) settingsSource {
	src := settingsSource{flags: map[string]string{}, file: file}
	f.Visit(func(x *flag.Flag) { src.flags[x.Name] = x.Value.String() })
	return src
}

// settings reads the settings again and validates them.
func (s settingsSource) settings() (*kernel.Settings, error) {
	var c serveCommand
	f := flag.NewFlagSet("settings", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	c.flags(f)
	for name, value := range s.flags {
		if err := f.Set(name, value); err != nil {
			return nil, &settingError{Flag: name, Problem: err.Error(), Remedy: "correct the flag"}
		}
	}
	if err := setFlagsFromEnvironment(f, s.file); err != nil {
		return nil, err
	}
	return &c.settings, validateSettings(&c.settings)
}
