package main

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// envPrefix is the prefix of the environment variables of flags: -StopBound can be set
// as LOOMD_STOPBOUND.
const envPrefix = "LOOMD_"

// errInvalidSetting is wrapped by every settingError.
var errInvalidSetting = errors.New("invalid setting")

// settingError is the error of a missing or invalid setting.
type settingError struct {
	Flag    string
	Problem string
	Remedy  string
}

func (e *settingError) Error() string {
	return fmt.Sprintf("-%s: %s: %s", e.Flag, e.Problem, e.Remedy)
}

// Unwrap returns errInvalidSetting.
func (e *settingError) Unwrap() error { return errInvalidSetting }

// addressList is a flag value of comma-separated addresses.
type addressList []netip.AddrPort

func (s *addressList) String() string {
	var out []string
	for _, a := range *s {
		out = append(out, a.String())
	}
	return strings.Join(out, ",")
}

func (s *addressList) Set(v string) error {
	*s = nil
	if v == "" {
		return nil
	}
	for _, p := range strings.Split(v, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(p))
		if err != nil {
			return fmt.Errorf("expected IP:port addresses, separated by commas: %w", err)
		}
		*s = append(*s, a)
	}
	return nil
}

// regionList is a flag value in a form of config.ParseRegions.
type regionList config.Regions

func (r *regionList) String() string { return config.Regions(*r).String() }

func (r *regionList) Set(v string) error {
	parsed, err := config.ParseRegions(v)
	*r = regionList(parsed)
	return err
}

// overloadValue is a flag value that accepts the words of policy.OverloadControl.
type overloadValue policy.OverloadControl

func (o *overloadValue) String() string { return string(*o) }

func (o *overloadValue) Set(v string) error {
	switch c := policy.OverloadControl(v); c {
	case policy.OverloadNone, policy.OverloadShortage:
		*o = overloadValue(c)
		return nil
	}
	return fmt.Errorf("unknown overload control %q: use %s or %s", v, policy.OverloadNone, policy.OverloadShortage)
}

// registerFlags registers a flag for each setting.
func registerFlags(f *flag.FlagSet, s *kernel.Settings) {
	f.StringVar(&s.Host, "Host", "", "`name` of this host in the configuration document")
	f.StringVar(&s.Hall, "Hall", "", "`name` of the data hall of this host")
	f.TextVar(&s.Listen, "Listen", netip.AddrPort{}, "`IP:port` for callers")
	f.TextVar(&s.Operate, "Operate", netip.AddrPort{}, "`IP:port` for operators: status, metrics, readiness, drain")
	f.TextVar(&s.Metrics, "Metrics", netip.AddrPort{}, "`IP:port` for metrics only; -Operate serves them too")
	f.TextVar(&s.Peer, "Peer", netip.AddrPort{}, "`IP:port` for other entry hosts")
	f.TextVar(&s.Platform, "Platform", netip.AddrPort{}, "`IP:port` of the platform's service")
	f.Var((*addressList)(&s.Seeds), "Seeds", "`IP:port,...` of other entry hosts to contact at start")
	f.DurationVar(&s.Beat, "Beat", time.Second, "time between heartbeats")
	f.DurationVar(&s.WatchWait, "WatchWait", 10*time.Second, "how long a read of the platform waits for a change")
	f.DurationVar(&s.TicketLife, "TicketLife", time.Minute, "lifetime of a ticket")
	f.DurationVar(&s.Settle, "Settle", 2*time.Second, "minimum time that a stopping host still accepts requests")
	f.IntVar(&s.SettleAsks, "SettleAsks", 2, "minimum `number` of readiness checks at /ready that a stopping host answers with not ready before it stops accepting requests")
	f.DurationVar(&s.SettleMost, "SettleMost", 0, "maximum time that a stopping host still accepts requests, even if -SettleAsks is not reached; 0 for twice -Settle")
	f.DurationVar(&s.StopBound, "StopBound", 15*time.Second, "maximum time to wait for requests in flight during a graceful shutdown")
	f.DurationVar(&s.LeavingHold, "LeavingHold", 2*time.Minute, "how long an upstream stays marked as leaving after its last leave notice")
	f.StringVar(&s.Adapter, "Adapter", "", "`name` of the platform adapter; empty for loomgap's own protocols")
	f.Int64Var(&s.DocumentBytes, "DocumentBytes", config.MaxBytes, "size of the largest document that the platform stores, in `bytes`")
	f.Float64Var(&s.RetryBudget.Ratio, "RetryRatio", 0.2, "maximum ratio of retries to routed requests")
	f.DurationVar(&s.RetryBudget.Window, "RetryWindow", 10*time.Second, "time window in which the platform counts retries")
	f.Float64Var(&s.RetryBudget.Slack, "RetrySlack", 50, "`retries` that all hosts together may send to a group within -RetryWindow, in addition to -RetryRatio")
	f.IntVar(&s.LogRate, "LogRate", 200, "maximum log lines per second about individual requests")
	f.Float64Var(&s.Cores, "Cores", 1, "number of processors that this host may use; may be a fraction")
	f.Float64Var(&s.MemoryMB, "MemoryMB", 0, "memory above which this process is ended, in `MB`; 0 if it is not known")
	f.IntVar(&s.Descriptors, "Descriptors", 0, "`number` of descriptors that this process may have open; 0 for the limit that it was started with")
	f.Float64Var(&s.LinkMbits, "LinkMbits", 0, "bandwidth of this host's link in `Mbit/s`; 0 for no limit")
	f.Var((*regionList)(&s.Regions), "Regions", "`Hall=Region,...` of the data halls, or a JSON object; a hall that is not listed is home only to routes without home regions")
	f.Float64Var(&s.ColdFactor, "ColdFactor", 1, "maximum requests per second from all hosts to a cold upstream, as a multiple of the ColdRate of its group")
	f.Float64Var(&s.ColdSlack, "ColdSlack", 0, "additional `requests` per second that a cold upstream may receive")
	s.Overload = policy.OverloadNone
	f.Var((*overloadValue)(&s.Overload), "Overload", "overload `control` of routed requests: None starts each at once; Shortage lets requests wait or refuses them while the upstreams lack capacity")
	f.Float64Var(&s.TraceRatio, "TraceRatio", 0, "fraction of requests whose spans are logged, 0 to 1")
}

// setFlagsFromEnvironment sets the flags that the command line omits from the
// environment or, failing that, from the settings file if there is one.
func setFlagsFromEnvironment(f *flag.FlagSet, file string) error {
	inFile, err := readSettingsFile(file)
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

// readSettingsFile reads a settings file. An empty path gives no settings.
func readSettingsFile(path string) (config.Lookup, error) {
	if path == "" {
		return func(string) (string, bool) { return "", false }, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &settingError{Flag: "Settings", Problem: err.Error(), Remedy: "give the path of a readable file"}
	}
	values, err := parseSettings(string(text))
	if err != nil {
		return nil, err
	}
	return func(name string) (string, bool) {
		v, ok := values[name]
		return v, ok
	}, nil
}

// parseSettings parses lines NAME=value with the names of environment variables. A value is taken
// as it stands, since names that the platform gives may hold any sign, but for spaces and a pair
// of quotation marks around it. Empty lines and those that begin with # are skipped.
func parseSettings(text string) (map[string]string, error) {
	out := map[string]string{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, value, found := strings.Cut(line, "=")
		if !found {
			return nil, &settingError{Flag: "Settings", Problem: fmt.Sprintf("line %d has no value", i+1), Remedy: "write a line NAME=value for each setting"}
		}
		out[strings.TrimSpace(name)] = unquote(strings.TrimSpace(value))
	}
	return out, nil
}

// unquote removes a pair of quotation marks around a value.
func unquote(value string) string {
	for _, mark := range []string{`"`, "'"} {
		if inner, ok := strings.CutPrefix(value, mark); ok {
			if inner, ok = strings.CutSuffix(inner, mark); ok {
				return inner
			}
		}
	}
	return value
}

// settingRule is a condition on one setting.
type settingRule struct {
	ok                    bool
	flag, problem, remedy string
}

// validateSettings returns an error for the first setting that is missing or invalid.
// It also fills in the default of SettleMost.
func validateSettings(s *kernel.Settings) error {
	if s.SettleMost == 0 {
		s.SettleMost = 2 * s.Settle
	}
	rules := settingRules(s)
	if s.Adapter == "" {
		rules = append(rules, ownSettingRules(s)...)
	}
	for _, r := range rules {
		if !r.ok {
			return &settingError{Flag: r.flag, Problem: r.problem, Remedy: r.remedy}
		}
	}
	return nil
}

// ownSettingRules returns further rules for settings that the platform fills in if there is an
// adapter. They catch mistakes such as a wrong unit. What a platform gives has no such limits, and a
// host that does not start serves nobody.
func ownSettingRules(s *kernel.Settings) []settingRule {
	return []settingRule{
		{s.RetryBudget.Ratio <= 1, "RetryRatio", "out of range", "use 0 to 1"},
		{s.RetryBudget.Window >= time.Second, "RetryWindow", "out of range", "use 1s or more"},
		{s.Cores <= 1024, "Cores", "out of range", "use a number above 0, at most 1024"},
		{s.ColdFactor <= 100, "ColdFactor", "out of range", "use 0 to 100"},
		{s.ColdSlack <= 1e6, "ColdSlack", "out of range", "use 0 to 1000000"},
	}
}

// validName reports whether a name can be used: one that loomgap's own document accepts, or any
// name that a platform gives.
func validName(s *kernel.Settings, name string) bool {
	return config.ValidName(name) || s.Adapter != "" && name != ""
}

// settingRules returns the rules for all settings.
func settingRules(s *kernel.Settings) []settingRule {
	return []settingRule{
		{validName(s, s.Host), "Host", "missing or invalid", "give this host's name in the document"},
		{validName(s, s.Hall), "Hall", "missing or invalid", "give the data hall of this host"},
		{s.Listen.IsValid(), "Listen", "missing", "give the IP:port for callers"},
		{s.Operate.IsValid(), "Operate", "missing", "give the IP:port for operators"},
		{s.Peer.IsValid(), "Peer", "missing", "give the IP:port for other entry hosts"},
		{s.Platform.IsValid() || len(s.Seeds) > 0, "Platform", "missing, and -Seeds is empty", "give the IP:port of the platform, or set -Seeds"},
		{s.Beat >= 50*time.Millisecond && s.Beat <= time.Minute, "Beat", "out of range", "use 50ms to 1m"},
		{s.WatchWait >= 100*time.Millisecond && s.WatchWait <= 5*time.Minute, "WatchWait", "out of range", "use 100ms to 5m"},
		{s.TicketLife >= time.Second && s.TicketLife <= time.Hour, "TicketLife", "out of range", "use 1s to 1h"},
		{s.Settle >= 0 && s.Settle <= time.Minute, "Settle", "out of range", "use 0 to 1m"},
		{s.SettleAsks >= 0 && s.SettleAsks <= 100, "SettleAsks", "out of range", "use 0 to 100"},
		{s.SettleMost >= s.Settle && s.SettleMost <= 2*time.Minute, "SettleMost", "out of range", "use -Settle to 2m"},
		{s.StopBound >= time.Second && s.StopBound <= 10*time.Minute, "StopBound", "out of range", "use 1s to 10m"},
		{s.LeavingHold >= time.Second && s.LeavingHold <= time.Hour, "LeavingHold", "out of range", "use 1s to 1h"},
		{s.RetryBudget.Ratio >= 0, "RetryRatio", "out of range", "use 0 or more"},
		{s.RetryBudget.Slack >= 0, "RetrySlack", "out of range", "use 0 or more"},
		{s.RetryBudget.Window > 0, "RetryWindow", "out of range", "use a time above 0"},
		{s.Cores > 0, "Cores", "out of range", "use a number above 0"},
		{s.MemoryMB >= 0, "MemoryMB", "out of range", "use 0 or more"},
		{s.Descriptors >= 0, "Descriptors", "out of range", "use 0 or more"},
		{s.LinkMbits >= 0, "LinkMbits", "out of range", "use 0 or more"},
		{s.DocumentBytes >= 1, "DocumentBytes", "out of range", "use 1 or more"},
		{s.ColdFactor >= 0, "ColdFactor", "out of range", "use 0 or more"},
		{s.ColdSlack >= 0, "ColdSlack", "out of range", "use 0 or more"},
		{s.LogRate >= 1, "LogRate", "out of range", "use 1 or more"},
		{s.TraceRatio >= 0 && s.TraceRatio <= 1, "TraceRatio", "out of range", "use 0 to 1"},
	}
}
