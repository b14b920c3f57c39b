package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Methods by which hosts report requests that are suspected of crashing upstreams. The
// parameters of both are a crashReportsMessage.
const (
	// methodCrashReports sends new crash reports; there is no reply.
	methodCrashReports = "Strikes"
	// methodExchangeCrashReports sends all known crash reports, and the reply contains those
	// known to the receiver.
	methodExchangeCrashReports = "KnownStrikes"
)

const (
	// crashReportInterval is the shortest time between two messages of new crash reports. It
	// limits the traffic if many upstreams crash: to 64 KB a second for each of 300 hosts
	// that see 3,000 crashes within a second, uncompressed. The first message is sent at once, since
	// callers retry a request within milliseconds. So is one that makes hosts refuse a request.
	crashReportInterval = 250 * time.Millisecond
	// hallReportTargets is the number of hosts of this hall that new crash reports are sent
	// to. Each receiver forwards them to as many others, so that a report misses few hosts
	// (a fraction of e^-hallReportTargets); these learn of it by an exchange.
	hallReportTargets = 8
	// otherHallReportTargets is the number of hosts of each other hall that new crash reports
	// are sent to.
	otherHallReportTargets = 2
	// maxReportTargets limits the hosts that one message is sent to, in all halls together.
	maxReportTargets = 16
	// exchangeInterval is how often a host with crash reports exchanges them with another, so
	// that a host that was partitioned or has started learns of them within seconds.
	exchangeInterval = time.Second
	// otherHallExchangeEvery makes every n-th exchange one with another hall.
	otherHallExchangeEvery = 3
	// exchangePartners is the number of hosts of one exchange.
	exchangePartners = 1
	// startExchanges is the number of hosts that a starting host exchanges crash reports with.
	startExchanges = 2
	// maxFingerprintBytes limits a fingerprint in a message.
	maxFingerprintBytes = 64
	// maxCrashReportsPerRequest limits the crash reports of one request in a message; it is
	// more than a host keeps.
	maxCrashReportsPerRequest = 64
)

// errInvalidCrashReports is wrapped when a message of another host is invalid.
var errInvalidCrashReports = errors.New("bad strikes")

// crashReportsMessage holds the crash reports of requests that are suspected.
type crashReportsMessage struct {
	Reports []policy.SuspectReport
}

func (m *crashReportsMessage) check() error {
	if len(m.Reports) > policy.MaxSuspectReports {
		return fmt.Errorf("%w: %d requests: send %d at most", errInvalidCrashReports, len(m.Reports), policy.MaxSuspectReports)
	}
	for i := range m.Reports {
		r := &m.Reports[i]
		if r.Fingerprint == "" || len(r.Fingerprint) > maxFingerprintBytes || len(r.Crashes) > maxCrashReportsPerRequest {
			return fmt.Errorf("%w: fingerprint of %d bytes with %d strikes: send 1 to %d bytes and %d strikes at most",
				errInvalidCrashReports, len(r.Fingerprint), len(r.Crashes), maxFingerprintBytes, maxCrashReportsPerRequest)
		}
	}
	return nil
}

// crashReporter sends crash reports to other hosts and receives theirs. policy.Fleet keeps the
// reports and decides which requests to refuse.
type crashReporter struct {
	kernel *kernel.Kernel
	// pending holds an item while there are new crash reports to send, urgent while they must
	// be sent at once.
	pending, urgent chan struct{}
}

// ServeCrashReports exchanges crash reports with other hosts until the returned function is
// called.
func ServeCrashReports(k *kernel.Kernel) func() {
	c := &crashReporter{kernel: k, pending: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
	k.Handle(methodCrashReports, c.onCrashReports)
	k.Handle(methodExchangeCrashReports, c.onExchange)
	k.Fleet.OnCrashReports(c.notify)
	stop := kernel.RunLoops(context.Background(), c.loop)
	return func() {
		k.Fleet.OnCrashReports(nil)
		stop()
	}
}

// notify wakes the loop to send new crash reports. It does not block.
func (c *crashReporter) notify(urgent bool) {
	to := c.pending
	if urgent {
		to = c.urgent
	}
	select {
	case to <- struct{}{}:
	default: // already notified
	}
}

func (c *crashReporter) loop(ctx context.Context) {
	tick := time.Tick(exchangeInterval)
	started := false
	for rounds := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-c.urgent:
			c.reportNew(ctx)
		case <-c.pending:
			c.reportNew(ctx)
			c.waitInterval(ctx)
		case <-tick:
			rounds++
			switch {
			case !started:
				// Until another host is known, there is nobody to ask.
				hosts := c.partners(false, startExchanges)
				c.exchangeAll(ctx, hosts)
				started = len(hosts) > 0
			case c.kernel.Fleet.HasSuspects():
				c.exchangeAll(ctx, c.partners(rounds%otherHallExchangeEvery == 0, exchangePartners))
			}
		}
	}
}

// waitInterval waits for crashReportInterval. If an urgent report comes in, it sends the new
// reports and returns.
func (c *crashReporter) waitInterval(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.urgent:
		c.reportNew(ctx)
	case <-time.After(crashReportInterval):
	}
}

func (c *crashReporter) reportNew(ctx context.Context) {
	k := c.kernel
	reports := k.Fleet.UnsentReports(k.Now())
	if len(reports) == 0 {
		return
	}
	if len(reports) == policy.MaxSuspectReports {
		c.notify(false) // there may be more
	}
	for i := range reports {
		c.logReport(&reports[i])
	}
	m := crashReportsMessage{Reports: reports}
	for _, host := range c.targets() {
		go c.send(ctx, host, &m)
	}
}

func (c *crashReporter) logReport(r *policy.SuspectReport) {
	k := c.kernel
	verdict := k.Fleet.WorstVerdict(k.Now(), r.Fingerprint)
	metrics.GetOrCreateCounter(`loomgap_suspects_total{Verdict="` + string(verdict) + `"}`).Inc()
	var upstreams, callers []string
	for _, crash := range r.Crashes {
		upstreams, callers = append(upstreams, crash.Upstream), append(callers, crash.Caller.String())
	}
	line := k.RequestLog.Info()
	if verdict == policy.VerdictQuarantined {
		line = k.Log.Warn()
	}
	line.Str("Fingerprint", string(r.Fingerprint)).Str("Verdict", string(verdict)).
		Strs("Upstreams", upstreams).Strs("Callers", callers).Msg("crash reports of request changed")
}

// targets returns the hosts that new crash reports are sent to: some of this hall and of each
// other, drawn at random among those that can be called.
func (c *crashReporter) targets() []string {
	near, far := c.others()
	out := sample(rand.Perm, near, hallReportTargets)
	for _, hosts := range far {
		out = append(out, sample(rand.Perm, hosts, otherHallReportTargets)...)
	}
	return out[:min(len(out), maxReportTargets)]
}

// partners returns n hosts to exchange crash reports with, of other halls or of this one,
// drawn at random among those that can be called.
func (c *crashReporter) partners(otherHalls bool, n int) []string {
	near, far := c.others()
	all := slices.Concat(slices.Collect(maps.Values(far))...)
	if !otherHalls && len(near) > 0 || len(all) == 0 {
		all = near
	}
	return sample(rand.Perm, all, n)
}

func (c *crashReporter) others() (near []string, far map[string][]string) {
	return byHall(c.kernel.View().Members, c.kernel.Settings.Hall, (*kernel.Member).Callable)
}

func (c *crashReporter) send(ctx context.Context, host string, m *crashReportsMessage) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.kernel.Peers.Notify(ctx, host, methodCrashReports, m); err != nil {
		c.kernel.Log.Info().Err(err).Str("Peer", host).Msg("failed to send crash reports")
	}
}

func (c *crashReporter) onCrashReports(_ context.Context, params json.RawMessage) (any, error) {
	return struct{}{}, c.decodeAndApply(params)
}

func (c *crashReporter) exchangeAll(ctx context.Context, hosts []string) {
	m := crashReportsMessage{Reports: c.kernel.Fleet.Reports(c.kernel.Now())}
	for _, host := range hosts {
		go c.exchange(ctx, host, &m)
	}
}

// exchange sends the known crash reports to a host and applies those in its reply.
func (c *crashReporter) exchange(ctx context.Context, host string, m *crashReportsMessage) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply crashReportsMessage
	err := c.kernel.Peers.Call(ctx, host, methodExchangeCrashReports, m, &reply)
	if err == nil {
		err = c.apply(&reply)
	}
	if err != nil {
		c.kernel.Log.Info().Err(err).Str("Peer", host).Msg("failed to exchange crash reports")
	}
}

func (c *crashReporter) onExchange(_ context.Context, params json.RawMessage) (any, error) {
	if err := c.decodeAndApply(params); err != nil {
		return nil, err
	}
	return crashReportsMessage{Reports: c.kernel.Fleet.Reports(c.kernel.Now())}, nil
}

func (c *crashReporter) decodeAndApply(params json.RawMessage) error {
	var m crashReportsMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return fmt.Errorf("%w: %w", errInvalidCrashReports, err)
	}
	return c.apply(&m)
}

func (c *crashReporter) apply(m *crashReportsMessage) error {
	if err := m.check(); err != nil {
		return err
	}
	c.kernel.Fleet.MergeReports(c.kernel.Now(), m.Reports)
	return nil
}
