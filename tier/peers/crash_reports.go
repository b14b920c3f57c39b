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
// parameters of both are a strikesMessage.
const (
	// methodStrikes reports new strikes; there is no answer.
	methodCrashReports = "Strikes"
	// methodKnownStrikes reports the strikes known here, and is answered by those known
	// there.
	methodExchangeCrashReports = "KnownStrikes"
)

const (
	// strikesGap is the least time between two reports of new strikes. It bounds what
	// is sent however many upstreams crash: 64 KB a second of each of 300 hosts that see
	// 3,000 strikes within a second, uncompressed (virtual time). The first goes at
	// once, since callers repeat a request within some 10 ms, and so does one by which a
	// request is refused.
	crashReportInterval = 250 * time.Millisecond
	// strikesInHall is how many hosts of this hall new strikes are reported to; whoever
	// learns from a report reports to as many others. With 8, one host in 3,000 is left
	// out (e to the power of -8), and then learns by exchange.
	hallReportTargets = 8
	// strikesElsewhere is how many hosts of each other hall new strikes are reported to.
	otherHallReportTargets = 2
	// strikesTargets is the most hosts that one report goes to, whatever the halls.
	maxReportTargets = 16
	// exchangeEvery is how often a host that knows of strikes exchanges them with
	// another, so that a host that was cut off, or has started, learns of them within
	// seconds.
	exchangeInterval = time.Second
	// exchangeElsewhere has every so many exchanges go to another hall.
	otherHallExchangeEvery = 3
	// exchangePartners is how many hosts an exchange is made with.
	exchangePartners = 1
	// startExchanges is how many hosts a host that starts asks.
	startExchanges = 2
	// maxFingerprint is the most bytes of a fingerprint in a message.
	maxFingerprintBytes = 64
	// maxReportedStrikes is the most strikes of one request in a message. A host remembers
	// fewer.
	maxCrashesPerRequest = 64
)

// errBadStrikes is wrapped when a message of another host cannot be one of strikes.
var errInvalidCrashReports = errors.New("bad strikes")

type crashReportsMessage struct {
	Reports []policy.SuspectReport
}

func (m *crashReportsMessage) check() error {
	if len(m.Reports) > policy.MaxReports {
		return fmt.Errorf("%w: %d requests: send %d at most", errInvalidCrashReports, len(m.Reports), policy.MaxReports)
	}
	for i := range m.Reports {
		r := &m.Reports[i]
		if r.Fingerprint == "" || len(r.Fingerprint) > maxFingerprintBytes || len(r.Crashes) > maxCrashesPerRequest {
			return fmt.Errorf("%w: fingerprint of %d bytes with %d strikes: send 1 to %d bytes and %d strikes at most",
				errInvalidCrashReports, len(r.Fingerprint), len(r.Crashes), maxFingerprintBytes, maxCrashesPerRequest)
		}
	}
	return nil
}

// strikeReporter reports strikes to other hosts and takes in their reports. It decides
// nothing about requests: the fleet holds the strikes and the rules.
type crashReporter struct {
	kernel *kernel.Kernel
	// pending holds one item while there are new strikes to report, urgent one while
	// they must not wait.
	pending, urgent chan struct{}
}

// ServeCrashReports shares what this host knows of requests that crash upstreams. The
// clean-up function ends that.
func ServeCrashReports(k *kernel.Kernel) func() {
	s := &crashReporter{kernel: k, pending: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
	k.Handle(methodCrashReports, s.onCrashReports)
	k.Handle(methodExchangeCrashReports, s.onExchange)
	k.Fleet.OnCrashReports(s.notify)
	stop := kernel.RunLoops(context.Background(), s.loop)
	return func() {
		k.Fleet.OnCrashReports(nil)
		stop()
	}
}

// notify has new strikes reported; it does not block.
func (s *crashReporter) notify(urgent bool) {
	to := s.pending
	if urgent {
		to = s.urgent
	}
	select {
	case to <- struct{}{}:
	default: // one is pending already
	}
}

func (s *crashReporter) loop(ctx context.Context) {
	tick := time.Tick(exchangeInterval)
	started := false
	for rounds := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.urgent:
			s.reportNew(ctx)
		case <-s.pending:
			s.reportNew(ctx)
			s.waitInterval(ctx)
		case <-tick:
			rounds++
			switch {
			case !started:
				// Until another host is known there is nobody to ask.
				hosts := s.partners(false, startExchanges)
				s.exchangeAll(ctx, hosts)
				started = len(hosts) > 0
			case s.kernel.Fleet.HasSuspects():
				s.exchangeAll(ctx, s.partners(rounds%otherHallExchangeEvery == 0, exchangePartners))
			}
		}
	}
}

// waitGap waits the least time between two reports, but for an urgent one.
func (s *crashReporter) waitInterval(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.urgent:
		s.reportNew(ctx)
	case <-time.After(crashReportInterval):
	}
}

func (s *crashReporter) reportNew(ctx context.Context) {
	k := s.kernel
	reports := k.Fleet.UnsentReports(k.Now())
	if len(reports) == 0 {
		return
	}
	if len(reports) == policy.MaxReports {
		s.notify(false) // there may be more
	}
	for i := range reports {
		s.logReport(&reports[i])
	}
	m := crashReportsMessage{Reports: reports}
	for _, host := range s.targets() {
		go s.send(ctx, host, &m)
	}
}

func (s *crashReporter) logReport(r *policy.SuspectReport) {
	k := s.kernel
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
		Strs("Upstreams", upstreams).Strs("Callers", callers).Msg("strikes of a request changed")
}

// targets decides which hosts new strikes are reported to: some of this hall and of
// each other, drawn at random among the live ones.
func (s *crashReporter) targets() []string {
	near, far := s.others()
	out := sample(rand.Perm, near, hallReportTargets)
	for _, hosts := range far {
		out = append(out, sample(rand.Perm, hosts, otherHallReportTargets)...)
	}
	return out[:min(len(out), maxReportTargets)]
}

// partners decides which n hosts strikes are exchanged with, of other halls or of this
// one, drawn at random among the live ones.
func (s *crashReporter) partners(otherHalls bool, n int) []string {
	near, far := s.others()
	all := slices.Concat(slices.Collect(maps.Values(far))...)
	if !otherHalls && len(near) > 0 || len(all) == 0 {
		all = near
	}
	return sample(rand.Perm, all, n)
}

func (s *crashReporter) others() (near []string, far map[string][]string) {
	return byHall(s.kernel.View().Members, s.kernel.Settings.Hall, (*kernel.Member).Callable)
}

func (s *crashReporter) send(ctx context.Context, host string, m *crashReportsMessage) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.kernel.Peers.Notify(ctx, host, methodCrashReports, m); err != nil {
		s.kernel.Log.Info().Err(err).Str("Peer", host).Msg("strikes not told")
	}
}

func (s *crashReporter) onCrashReports(_ context.Context, params json.RawMessage) (any, error) {
	return struct{}{}, s.decodeAndApply(params)
}

func (s *crashReporter) exchangeAll(ctx context.Context, hosts []string) {
	m := crashReportsMessage{Reports: s.kernel.Fleet.Reports(s.kernel.Now())}
	for _, host := range hosts {
		go s.exchange(ctx, host, &m)
	}
}

// exchange reports the strikes known here to a host and takes in those known there.
func (s *crashReporter) exchange(ctx context.Context, host string, m *crashReportsMessage) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply crashReportsMessage
	err := s.kernel.Peers.Call(ctx, host, methodExchangeCrashReports, m, &reply)
	if err == nil {
		err = s.apply(&reply)
	}
	if err != nil {
		s.kernel.Log.Info().Err(err).Str("Peer", host).Msg("strikes not exchanged")
	}
}

func (s *crashReporter) onExchange(_ context.Context, params json.RawMessage) (any, error) {
	if err := s.decodeAndApply(params); err != nil {
		return nil, err
	}
	return crashReportsMessage{Reports: s.kernel.Fleet.Reports(s.kernel.Now())}, nil
}

func (s *crashReporter) decodeAndApply(params json.RawMessage) error {
	var m crashReportsMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return fmt.Errorf("%w: %w", errInvalidCrashReports, err)
	}
	return s.apply(&m)
}

func (s *crashReporter) apply(m *crashReportsMessage) error {
	if err := m.check(); err != nil {
		return err
	}
	s.kernel.Fleet.MergeReports(s.kernel.Now(), m.Reports)
	return nil
}
