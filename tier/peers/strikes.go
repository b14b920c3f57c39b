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
	methodStrikes = "Strikes"
	// methodKnownStrikes reports the strikes known here, and is answered by those known
	// there.
	methodKnownStrikes = "KnownStrikes"
)

const (
	// strikesGap is the least time between two reports of new strikes. It bounds what
	// is sent however many upstreams crash: 64 KB a second of each of 300 hosts that see
	// 3,000 strikes within a second, uncompressed (virtual time). The first goes at
	// once, since callers repeat a request within some 10 ms, and so does one by which a
	// request is refused.
	strikesGap = 250 * time.Millisecond
	// strikesInHall is how many hosts of this hall new strikes are reported to; whoever
	// learns from a report reports to as many others. With 8, one host in 3,000 is left
	// out (e to the power of -8), and then learns by exchange.
	strikesInHall = 8
	// strikesElsewhere is how many hosts of each other hall new strikes are reported to.
	strikesElsewhere = 2
	// strikesTargets is the most hosts that one report goes to, whatever the halls.
	strikesTargets = 16
	// exchangeEvery is how often a host that knows of strikes exchanges them with
	// another, so that a host that was cut off, or has started, learns of them within
	// seconds.
	exchangeEvery = time.Second
	// exchangeElsewhere has every so many exchanges go to another hall.
	exchangeElsewhere = 3
	// exchangePartners is how many hosts an exchange is made with.
	exchangePartners = 1
	// startExchanges is how many hosts a host that starts asks.
	startExchanges = 2
	// maxFingerprint is the most bytes of a fingerprint in a message.
	maxFingerprint = 64
	// maxReportedStrikes is the most strikes of one request in a message. A host remembers
	// fewer.
	maxReportedStrikes = 64
)

// errBadStrikes is wrapped when a message of another host cannot be one of strikes.
var errBadStrikes = errors.New("bad strikes")

type strikesMessage struct {
	Reports []policy.SuspectReport
}

func (m *strikesMessage) check() error {
	if len(m.Reports) > policy.ReportsMost {
		return fmt.Errorf("%w: %d requests: send %d at most", errBadStrikes, len(m.Reports), policy.ReportsMost)
	}
	for i := range m.Reports {
		r := &m.Reports[i]
		if r.Fingerprint == "" || len(r.Fingerprint) > maxFingerprint || len(r.Crashes) > maxReportedStrikes {
			return fmt.Errorf("%w: fingerprint of %d bytes with %d strikes: send 1 to %d bytes and %d strikes at most",
				errBadStrikes, len(r.Fingerprint), len(r.Crashes), maxFingerprint, maxReportedStrikes)
		}
	}
	return nil
}

// strikeReporter reports strikes to other hosts and takes in their reports. It decides
// nothing about requests: the fleet holds the strikes and the rules.
type strikeReporter struct {
	kernel *kernel.Kernel
	// pending holds one item while there are new strikes to report, urgent one while
	// they must not wait.
	pending, urgent chan struct{}
}

// ServeStrikes shares what this host knows of requests that crash upstreams. The
// clean-up function ends that.
func ServeStrikes(k *kernel.Kernel) func() {
	s := &strikeReporter{kernel: k, pending: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
	k.Handle(methodStrikes, s.onStrikes)
	k.Handle(methodKnownStrikes, s.onKnownStrikes)
	k.Fleet.OnCrashReports(s.notify)
	stop := kernel.RunLoops(context.Background(), s.loop)
	return func() {
		k.Fleet.OnCrashReports(nil)
		stop()
	}
}

// notify has new strikes reported; it does not block.
func (s *strikeReporter) notify(urgent bool) {
	to := s.pending
	if urgent {
		to = s.urgent
	}
	select {
	case to <- struct{}{}:
	default: // one is pending already
	}
}

func (s *strikeReporter) loop(ctx context.Context) {
	tick := time.Tick(exchangeEvery)
	started := false
	for rounds := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.urgent:
			s.reportNew(ctx)
		case <-s.pending:
			s.reportNew(ctx)
			s.waitGap(ctx)
		case <-tick:
			rounds++
			switch {
			case !started:
				// Until another host is known there is nobody to ask.
				hosts := s.partners(false, startExchanges)
				s.exchangeAll(ctx, hosts)
				started = len(hosts) > 0
			case s.kernel.Fleet.HasSuspects():
				s.exchangeAll(ctx, s.partners(rounds%exchangeElsewhere == 0, exchangePartners))
			}
		}
	}
}

// waitGap waits the least time between two reports, but for an urgent one.
func (s *strikeReporter) waitGap(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.urgent:
		s.reportNew(ctx)
	case <-time.After(strikesGap):
	}
}

func (s *strikeReporter) reportNew(ctx context.Context) {
	k := s.kernel
	reports := k.Fleet.UnsentReports(k.Now())
	if len(reports) == 0 {
		return
	}
	if len(reports) == policy.ReportsMost {
		s.notify(false) // there may be more
	}
	for i := range reports {
		s.logReport(&reports[i])
	}
	m := strikesMessage{Reports: reports}
	for _, host := range s.targets() {
		go s.send(ctx, host, &m)
	}
}

func (s *strikeReporter) logReport(r *policy.SuspectReport) {
	k := s.kernel
	verdict := k.Fleet.Worst(k.Now(), r.Fingerprint)
	metrics.GetOrCreateCounter(`loomgap_suspects_total{Verdict="` + string(verdict) + `"}`).Inc()
	var upstreams, callers []string
	for _, strike := range r.Crashes {
		upstreams, callers = append(upstreams, strike.Upstream), append(callers, strike.Caller.String())
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
func (s *strikeReporter) targets() []string {
	near, far := s.others()
	out := sample(rand.Perm, near, strikesInHall)
	for _, hosts := range far {
		out = append(out, sample(rand.Perm, hosts, strikesElsewhere)...)
	}
	return out[:min(len(out), strikesTargets)]
}

// partners decides which n hosts strikes are exchanged with, of other halls or of this
// one, drawn at random among the live ones.
func (s *strikeReporter) partners(elsewhere bool, n int) []string {
	near, far := s.others()
	all := slices.Concat(slices.Collect(maps.Values(far))...)
	if !elsewhere && len(near) > 0 || len(all) == 0 {
		all = near
	}
	return sample(rand.Perm, all, n)
}

func (s *strikeReporter) others() (near []string, far map[string][]string) {
	return byHall(s.kernel.View().Members, s.kernel.Settings.Hall, (*kernel.Member).Callable)
}

func (s *strikeReporter) send(ctx context.Context, host string, m *strikesMessage) {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	if err := s.kernel.Peers.Notify(ctx, host, methodStrikes, m); err != nil {
		s.kernel.Log.Info().Err(err).Str("Peer", host).Msg("strikes not told")
	}
}

func (s *strikeReporter) onStrikes(_ context.Context, params json.RawMessage) (any, error) {
	return struct{}{}, s.decode(params)
}

func (s *strikeReporter) exchangeAll(ctx context.Context, hosts []string) {
	m := strikesMessage{Reports: s.kernel.Fleet.Reports(s.kernel.Now())}
	for _, host := range hosts {
		go s.exchange(ctx, host, &m)
	}
}

// exchange reports the strikes known here to a host and takes in those known there.
func (s *strikeReporter) exchange(ctx context.Context, host string, m *strikesMessage) {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	var reply strikesMessage
	err := s.kernel.Peers.Call(ctx, host, methodKnownStrikes, m, &reply)
	if err == nil {
		err = s.learn(&reply)
	}
	if err != nil {
		s.kernel.Log.Info().Err(err).Str("Peer", host).Msg("strikes not exchanged")
	}
}

func (s *strikeReporter) onKnownStrikes(_ context.Context, params json.RawMessage) (any, error) {
	if err := s.decode(params); err != nil {
		return nil, err
	}
	return strikesMessage{Reports: s.kernel.Fleet.Reports(s.kernel.Now())}, nil
}

func (s *strikeReporter) decode(params json.RawMessage) error {
	var m strikesMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return fmt.Errorf("%w: %w", errBadStrikes, err)
	}
	return s.learn(&m)
}

func (s *strikeReporter) learn(m *strikesMessage) error {
	if err := m.check(); err != nil {
		return err
	}
	s.kernel.Fleet.TakeReports(s.kernel.Now(), m.Reports)
	return nil
}
