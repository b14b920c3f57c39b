package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/prog"
)

// serveCommand runs the daemon until SIGTERM, SIGINT or a drain command.
type serveCommand struct {
	settings kernel.Settings
	level    string
	// file is the path of the settings file; empty for none.
	file string
}

func newServeCommand() prog.Command {
	c := &serveCommand{}
	return prog.Command{
		Name: "serve", Synopsis: "run the daemon of an entry host",
		Usage: "loomd serve -Host NAME -Hall NAME -Listen IP:PORT -Operate IP:PORT -Peer IP:PORT -Platform IP:PORT\n" +
			"Each flag can also be set in the environment: -StopBound as LOOMD_STOPBOUND.\n",
		Flags: c.flags, Run: c.execute,
	}
}

func (c *serveCommand) flags(f *flag.FlagSet) {
	registerFlags(f, &c.settings)
	f.StringVar(&c.file, "Settings", "", "settings `file`, read again when it changes and at SIGHUP")
	f.StringVar(&c.level, "Level", "info", "minimum `level` of log lines: debug, info, warn, error")
}

func (c *serveCommand) execute(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	log, flush := newLog(os.Stdout)
	defer flush()
	if err := c.run(ctx, f, log, flush); err != nil {
		log.Error().Err(err).Msg("failed to start daemon")
		// Operators who start the daemon by hand read standard error.
		fmt.Fprintln(os.Stderr, "loomd: "+err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *serveCommand) run(ctx context.Context, f *flag.FlagSet, log zerolog.Logger, flush func()) error {
	src := newSettingsSource(f, c.file)
	if err := setFlagsFromEnvironment(f, c.file); err != nil {
		return err
	}
	if err := validateSettings(&c.settings); err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(c.level)
	if err != nil {
		return &settingError{Flag: "Level", Problem: err.Error(), Remedy: "use debug, info, warn or error"}
	}
	log = log.Level(level).With().Str("Host", c.settings.Host).Logger()
	c.settings.Incarnation = incarnation(time.Now())
	return serve(ctx, c.settings, src, log, flush)
}

// incarnation returns a name for this process. A later process of the host has a larger
// name as long as the host's clock is not set back.
func incarnation(now time.Time) string {
	return fmt.Sprintf("%016x%04x", uint64(now.UnixNano()), rand.Uint32N(1<<16))
}

// serve starts the stages, waits for a planned stop and cleans up in reverse order.
func serve(ctx context.Context, s kernel.Settings, src settingsSource, log zerolog.Logger, flush func()) error {
	signals := stopSignals()
	defer kernel.LimitHeap(&s)()
	tracer, closeTracer := newTracer(s.TraceRatio, log)
	defer closeTracer()
	k, closeKernel := kernel.New(kernel.Config{
		Settings: s, Log: log, Tracer: tracer, Started: time.Now(), BootTime: kernel.BootTime, FlushLog: flush,
		Fleet: policy.NewFleet(policy.FleetConfig{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Overload: s.Overload}),
	})
	defer closeKernel()
	cleanUp, err := startPipeline(ctx, k)
	if err != nil {
		return err
	}
	defer cleanUp()
	defer watchSettingsFile(k, src)()
	build := prog.ReadBuild()
	build.Publish()
	log.Info().Str("Version", build.Release).Str("SourceRevision", build.Revision).Bool("SourceModified", build.Modified).
		Time("Written", build.Written).Str("Incarnation", s.Incarnation).Str("Adapter", s.Adapter).
		Int("Seeds", len(s.Seeds)).Msg("daemon started")
	defer log.Info().Msg("daemon stopping")
	waitForStop(k, signals)
	return nil
}
