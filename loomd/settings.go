package main

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/joho/godotenv"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// envPrefix begins the environment variable of each flag: -StopBound is
// LOOMD_STOPBOUND.
const envPrefix = "LOOMD_"

// errSetting is wrapped by every error of a setting.
var errSetting = errors.New("bad setting")

// settingError is a setting that is missing or wrong.
type settingError struct {
	Flag    string
	Problem string
	Remedy  string
}

func (e *settingError) Error() string {
	return fmt.Sprintf("-%s: %s: %s", e.Flag, e.Problem, e.Remedy)
}

// Unwrap gives errSetting.
func (e *settingError) Unwrap() error { return errSetting }

type seeds []netip.AddrPort

func (s *seeds) String() string {
	var out []string
	for _, a := range *s {
		out = append(out, a.String())
	}
	return strings.Join(out, ",")
}

func (s *seeds) Set(v string) error {
	*s = nil
	if v == "" {
		return nil
	}
	for _, p := range strings.Split(v, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(p))
		if err != nil {
			return fmt.Errorf("write IP:port, divided by commas: %w", err)
		}
		*s = append(*s, a)
	}
	return nil
}

// regions is a list of halls with their regions, divided by commas.
type regions config.Regions

func (r *regions) String() string { return config.Regions(*r).String() }

func (r *regions) Set(v string) error {
	parsed, err := config.ParseRegions(v)
	*r = regions(parsed)
	return err
}

func bind(f *flag.FlagSet, s *kernel.Settings) {
	f.StringVar(&s.Host, "Host", "", "`name` of this host in the document")
	f.StringVar(&s.Hall, "Hall", "", "`name` of the data hall of this host")
	f.TextVar(&s.Listen, "Listen", netip.AddrPort{}, "`IP:port` for callers")
	f.TextVar(&s.Operate, "Operate", netip.AddrPort{}, "`IP:port` for operators: status, metrics, readiness, drain")
	f.TextVar(&s.Metrics, "Metrics", netip.AddrPort{}, "`IP:port` for metrics alone; they are at -Operate too")
	f.TextVar(&s.Peer, "Peer", netip.AddrPort{}, "`IP:port` for other entry hosts")
	f.TextVar(&s.Platform, "Platform", netip.AddrPort{}, "`IP:port` of the platform's service")
	f.Var((*seeds)(&s.Seeds), "Seeds", "`IP:port,...` of other entry hosts, asked at start")
	f.DurationVar(&s.Beat, "Beat", time.Second, "time between heartbeats")
	f.DurationVar(&s.WatchWait, "WatchWait", 10*time.Second, "how long one read of the platform waits for news")
	f.DurationVar(&s.TicketLife, "TicketLife", time.Minute, "how long a ticket is remembered")
	f.DurationVar(&s.Settle, "Settle", 2*time.Second, "how long a stopping host still takes requests")
	f.IntVar(&s.SettleAsks, "SettleAsks", 2, "how `often` a stopping host must have told at /ready that it stops before it takes no more requests")
	f.DurationVar(&s.SettleMost, "SettleMost", 0, "longest time for that; 0 for twice -Settle")
	f.DurationVar(&s.StopBound, "StopBound", 15*time.Second, "longest time for requests in flight at a planned stop")
	f.DurationVar(&s.LeavingHold, "LeavingHold", 2*time.Minute, "how long an upstream counts as leaving after its last sign")
	f.StringVar(&s.Adapter, "Adapter", "", "`name` of the platform's adapter; empty for loomgap's own protocols")
	f.Float64Var(&s.RetryBudget.Ratio, "RetryRatio", 0.2, "share of routed requests that may be repeated")
	f.DurationVar(&s.RetryBudget.Window, "RetryWindow", 10*time.Second, "span in which the platform counts calls beyond the first")
	f.Float64Var(&s.RetryBudget.Slack, "RetrySlack", 50, "`calls` that may be repeated besides, by all hosts within the span that the platform counts in")
	f.IntVar(&s.LogRate, "LogRate", 200, "most log lines a second about single requests")
	f.Float64Var(&s.Cores, "Cores", 1, "share of processors that this host may use")
	f.Float64Var(&s.LinkMbits, "LinkMbits", 0, "rate of this host's link in `Mbit/s`; 0 for no limit")
	f.Var((*regions)(&s.Regions), "Regions", "`Hall=Region,...` of the data halls; a hall that is not named is no home of any route")
	f.Float64Var(&s.ColdFactor, "ColdFactor", 1, "how many times what a cold upstream bears it may get within a second")
	f.Float64Var(&s.ColdSlack, "ColdSlack", 0, "`requests` that a cold upstream may get within a second besides")
	f.Float64Var(&s.TraceRatio, "TraceRatio", 0, "share of requests whose spans are logged, 0 to 1")
}

// fromEnvironment sets the flags that the command line left out: from the
// environment, or else from the file of settings, if one is named.
func fromEnvironment(f *flag.FlagSet, file string) error {
	inFile, err := readFile(file)
	if err != nil {
		return err
	}
	err = config.SetFlagsFromEnv(f, envPrefix, config.ChainLookups(os.LookupEnv, inFile))
	var bad *config.VariableError
	if errors.As(err, &bad) {
		return &settingError{Flag: bad.Flag, Problem: bad.Err.Error(), Remedy: "correct " + bad.Variable}
	}
	return err
}

// readFile reads a file of settings: a line NAME=value for each, with the
// names of the environment. No file has no settings.
func readFile(path string) (config.Lookup, error) {
	if path == "" {
		return func(string) (string, bool) { return "", false }, nil
	}
	values, err := godotenv.Read(path)
	if err != nil {
		return nil, &settingError{Flag: "Settings", Problem: err.Error(), Remedy: "write a line NAME=value for each setting"}
	}
	return func(name string) (string, bool) {
		v, ok := values[name]
		return v, ok
	}, nil
}

// checkSettings finds what is missing or wrong.
func checkSettings(s *kernel.Settings) error {
	if s.SettleMost == 0 {
		s.SettleMost = 2 * s.Settle
	}
	rules := []struct {
		ok            bool
		flag, problem string
		remedy        string
	}{
		{config.ValidName(s.Host), "Host", "missing or bad", "give this host's name in the document"},
		{config.ValidName(s.Hall), "Hall", "missing or bad", "give the data hall of this host"},
		{s.Listen.IsValid(), "Listen", "missing", "give the IP:port for callers"},
		{s.Operate.IsValid(), "Operate", "missing", "give the IP:port for operators"},
		{s.Peer.IsValid(), "Peer", "missing", "give the IP:port for other entry hosts"},
		{s.Platform.IsValid() || len(s.Seeds) > 0, "Platform", "missing, and no -Seeds", "give the platform's IP:port, or seeds"},
		{s.Beat >= 50*time.Millisecond && s.Beat <= time.Minute, "Beat", "out of range", "use 50ms to 1m"},
		{s.WatchWait >= 100*time.Millisecond && s.WatchWait <= 5*time.Minute, "WatchWait", "out of range", "use 100ms to 5m"},
		{s.TicketLife >= time.Second && s.TicketLife <= time.Hour, "TicketLife", "out of range", "use 1s to 1h"},
		{s.Settle >= 0 && s.Settle <= time.Minute, "Settle", "out of range", "use 0 to 1m"},
		{s.SettleAsks >= 0 && s.SettleAsks <= 100, "SettleAsks", "out of range", "use 0 to 100"},
		{s.SettleMost >= s.Settle && s.SettleMost <= 2*time.Minute, "SettleMost", "out of range", "use -Settle to 2m"},
		{s.StopBound >= time.Second && s.StopBound <= 10*time.Minute, "StopBound", "out of range", "use 1s to 10m"},
		{s.LeavingHold >= time.Second && s.LeavingHold <= time.Hour, "LeavingHold", "out of range", "use 1s to 1h"},
		{s.RetryBudget.Ratio >= 0 && s.RetryBudget.Ratio <= 1, "RetryRatio", "out of range", "use 0 to 1"},
		{s.RetryBudget.Slack >= 0, "RetrySlack", "out of range", "use 0 or more"},
		{s.RetryBudget.Window >= time.Second, "RetryWindow", "out of range", "use 1s or more"},
		{s.Cores > 0 && s.Cores <= 1024, "Cores", "out of range", "use above 0 to 1024"},
		{s.LinkMbits >= 0, "LinkMbits", "out of range", "use 0 or more"},
		{s.ColdFactor >= 0 && s.ColdFactor <= 100, "ColdFactor", "out of range", "use 0 to 100"},
		{s.ColdSlack >= 0 && s.ColdSlack <= 1e6, "ColdSlack", "out of range", "use 0 to 1000000"},
		{s.LogRate >= 1, "LogRate", "out of range", "use 1 or more"},
		{s.TraceRatio >= 0 && s.TraceRatio <= 1, "TraceRatio", "out of range", "use 0 to 1"},
	}
	for _, r := range rules {
		if !r.ok {
			return &settingError{Flag: r.flag, Problem: r.problem, Remedy: r.remedy}
		}
	}
	return nil
}
