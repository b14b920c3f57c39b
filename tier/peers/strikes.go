package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// Methods by which hosts tell each other of requests that crash upstreams.
const (
	// MethodStrikes tells of new strikes; there is no answer.
	MethodStrikes = "Strikes"
	// MethodKnownStrikes tells of the strikes known here, and is answered by those
	// known there.
	MethodKnownStrikes = "KnownStrikes"
)

// Bounds of what hosts tell each other of strikes.
const (
	// strikesGap is the least time between two tellings of new strikes. It bounds what
	// is sent however many upstreams end: 64 KB a second of each of 300 hosts that see
	// 3,000 strikes within a second, uncompressed (virtual time). The first goes at
	// once, since callers repeat a request within some 10 ms, and so does one by which a
	// request is refused.
	strikesGap = 250 * time.Millisecond
	// strikesInHall and strikesElsewhere are how many hosts of this hall, and of each
	// other, are told of new strikes; whoever hears news tells as many others. With 8
	// each, one host in 3,000 is left out (e to the power of -8), and then learns by
	// exchange.
	strikesInHall    = 8
	strikesElsewhere = 2
	// strikesTargets bounds the hosts that are told at once, whatever the halls.
	strikesTargets = 16
	// exchangeEvery is how often a host that knows of strikes exchanges them with
	// another. It has a host that was cut off, or has started, know within a second
	// or two.
	exchangeEvery = time.Second
	// exchangeElsewhere has every so many exchanges go to another hall.
	exchangeElsewhere = 3
	// startExchanges is how many hosts a host that starts asks.
	startExchanges = 2
	// fingerprintMost is the longest fingerprint that is believed, strikesMost the
	// most strikes of one request.
	fingerprintMost = 64
	strikesMost     = 64
)

// errBadStrikes is wrapped when another host tells what cannot be strikes.
var errBadStrikes = errors.New("bad strikes")

// StrikesMessage tells of strikes.
type StrikesMessage struct {
	Reports []policy.SuspectReport
}

// check returns what is wrong with a message.
func (m *StrikesMessage) check() error {
	if len(m.Reports) > policy.ReportsMost {
		return fmt.Errorf("%w: %d requests: send %d at most", errBadStrikes, len(m.Reports), policy.ReportsMost)
	}
	for i := range m.Reports {
		c := &m.Reports[i]
		if c.Fingerprint == "" || len(c.Fingerprint) > fingerprintMost || len(c.Crashes) > strikesMost {
			return fmt.Errorf("%w: fingerprint of %d bytes with %d strikes: send 1 to %d bytes and %d strikes at most",
				errBadStrikes, len(c.Fingerprint), len(c.Crashes), fingerprintMost, strikesMost)
		}
	}
	return nil
}

// striker tells other hosts of the requests that crash upstreams, and learns of them.
// It holds nothing that decides: the fleet does.
type striker struct {
	kernel *kernel.Kernel
	// news holds one item once there are new strikes to tell of, urgent one once they
	// are not to wait.
	news, urgent chan struct{}
}

// ServeStrikes has a host share what it knows of requests that crash upstreams. The
// clean-up function ends that.
func ServeStrikes(k *kernel.Kernel) func() {
	s := &striker{kernel: k, news: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
	k.Handle(MethodStrikes, s.onStrikes)
	k.Handle(MethodKnownStrikes, s.onKnown)
	k.Fleet.OnCrashReports(s.notify)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.loop(ctx)
	}()
	return func() {
		k.Fleet.OnCrashReports(nil)
		cancel()
		<-done
	}
}

// notify has new strikes told of; it does not block.
func (s *striker) notify(urgent bool) {
	to := s.news
	if urgent {
		to = s.urgent
	}
	select {
	case to <- struct{}{}:
	default: // it was not taken in yet
	}
}

func (s *striker) loop(ctx context.Context) {
	tick := time.NewTicker(exchangeEvery)
	defer tick.Stop()
	started := false
	for rounds := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.urgent:
			s.push(ctx)
		case <-s.news:
			s.push(ctx)
			s.rest(ctx)
		case <-tick.C:
			rounds++
			switch {
			case !started:
				started = s.start(ctx)
			case s.kernel.Fleet.HasSuspects():
				s.exchangeWith(ctx, s.partners(rounds%exchangeElsewhere == 0, 1))
			}
		}
	}
}

// rest keeps the least time between two tellings, but for an urgent one.
func (s *striker) rest(ctx context.Context) {
	timer := time.NewTimer(strikesGap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.urgent:
		s.push(ctx)
	case <-timer.C:
	}
}

// push tells other hosts of new strikes.
func (s *striker) push(ctx context.Context) {
	k := s.kernel
	reports := k.Fleet.UnsentReports(k.Now())
	if len(reports) == 0 {
		return
	}
	if len(reports) == policy.ReportsMost {
		s.notify(false) // there may be more
	}
	for i := range reports {
		s.note(&reports[i])
	}
	m := StrikesMessage{Reports: reports}
	for _, host := range s.targets() {
		go s.tell(ctx, host, &m)
	}
}

// note logs and counts that the strikes of a request have changed.
func (s *striker) note(c *policy.SuspectReport) {
	k := s.kernel
	verdict := k.Fleet.Worst(k.Now(), c.Fingerprint)
	metrics.GetOrCreateCounter(`loomgap_suspects_total{Verdict="` + string(verdict) + `"}`).Inc()
	var upstreams, callers []string
	for _, strike := range c.Crashes {
		upstreams, callers = append(upstreams, strike.Upstream), append(callers, strike.Caller.String())
	}
	line := k.Decisions.Info()
	if verdict == policy.VerdictQuarantined {
		line = k.Log.Warn()
	}
	line.Str("Fingerprint", string(c.Fingerprint)).Str("Verdict", string(verdict)).
		Strs("Upstreams", upstreams).Strs("Callers", callers).Msg("strikes of a request changed")
}

// targets are the hosts that are told of new strikes.
func (s *striker) targets() []string {
	near, far := s.others()
	out := sample(rand.Perm, near, strikesInHall)
	for _, hosts := range far {
		out = append(out, sample(rand.Perm, hosts, strikesElsewhere)...)
	}
	return out[:min(len(out), strikesTargets)]
}

// partners are the hosts that strikes are exchanged with, of other halls or of this one.
func (s *striker) partners(elsewhere bool, n int) []string {
	near, far := s.others()
	var all []string
	for _, hosts := range far {
		all = append(all, hosts...)
	}
	if !elsewhere && len(near) > 0 || len(all) == 0 {
		all = near
	}
	return sample(rand.Perm, all, n)
}

// others lists the other live hosts of this hall, and those of each other hall.
func (s *striker) others() (near []string, far map[string][]string) {
	return byHall(s.kernel.View().Members, s.kernel.Settings.Hall, (*kernel.Member).Callable)
}

func (s *striker) tell(ctx context.Context, host string, m *StrikesMessage) {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	if err := s.kernel.Peers.Notify(ctx, host, MethodStrikes, m); err != nil {
		s.kernel.Log.Info().Err(err).Str("Peer", host).Msg("strikes not told")
	}
}

// start asks some hosts for the strikes that they know; false if there is none yet.
func (s *striker) start(ctx context.Context) bool {
	hosts := s.partners(false, startExchanges)
	s.exchangeWith(ctx, hosts)
	return len(hosts) > 0
}

func (s *striker) exchangeWith(ctx context.Context, hosts []string) {
	m := StrikesMessage{Reports: s.kernel.Fleet.Reports(s.kernel.Now())}
	for _, host := range hosts {
		go s.exchange(ctx, host, &m)
	}
}

// exchange tells a host of the strikes known here and takes in those known there.
func (s *striker) exchange(ctx context.Context, host string, m *StrikesMessage) {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	var reply StrikesMessage
	err := s.kernel.Peers.Call(ctx, host, MethodKnownStrikes, m, &reply)
	if err == nil {
		err = s.take(&reply)
	}
	if err != nil {
		s.kernel.Log.Info().Err(err).Str("Peer", host).Msg("strikes not exchanged")
	}
}

// take takes in what another host told.
func (s *striker) take(m *StrikesMessage) error {
	if err := m.check(); err != nil {
		return err
	}
	k := s.kernel
	k.Fleet.TakeReports(k.Now(), m.Reports)
	return nil
}

// decode reads a message about strikes.
func (s *striker) decode(params json.RawMessage) error {
	var m StrikesMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return fmt.Errorf("%w: %w", errBadStrikes, err)
	}
	return s.take(&m)
}

func (s *striker) onStrikes(_ context.Context, params json.RawMessage) (any, error) {
	return struct{}{}, s.decode(params)
}

func (s *striker) onKnown(_ context.Context, params json.RawMessage) (any, error) {
	if err := s.decode(params); err != nil {
		return nil, err
	}
	return StrikesMessage{Reports: s.kernel.Fleet.Reports(s.kernel.Now())}, nil
}
