package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// refusal is how the platform turns a host away.
type refusal string

const (
	refusedWithError   refusal = "Error"
	refusedWithSilence refusal = "Silence"
	// refusedWatches and refusedReads turn one kind of call away and serve the other.
	refusedWatches refusal = "Watches"
	refusedReads   refusal = "Reads"
	// olderState answers everything, with the state of the moment in which that began.
	olderState refusal = "OlderState"
)

// silentReadTimeout is how long a read waits for a platform that does not answer, in addition to
// the wait of a watch.
const silentReadTimeout = 1500 * time.Millisecond

// silentCheckTimeout is the same for a request for the newest position alone.
const silentCheckTimeout = 500 * time.Millisecond

// testFleet simulates hosts in virtual time that read the same platform and announce to each
// other.
type testFleet struct {
	config   testFleetConfig
	platform *fakePlatform
	// kernels holds the running process of each host; an ended one remains until the next starts.
	kernels map[string]*kernel.Kernel
	// olderRevision is the revision of the older state.
	olderRevision uint64
	// cut is true if halls cannot reach each other.
	cut atomic.Bool

	mu sync.Mutex
	// down holds the hosts whose processes have ended, stops what ends the work of each.
	down  map[string]bool
	stops map[string]context.CancelFunc
	// refused holds the hosts that the platform turns away.
	refused map[string]refusal
	// reads holds the time of each read and watch that began, askers how many each host began.
	reads  []time.Time
	askers map[string]int
	// checks counts the requests for the newest position alone.
	checks int
}

// Call implements kernel.PeerCaller.
func (f *testFleet) Call(ctx context.Context, host, method string, params, result any) error {
	time.Sleep(f.config.messageDelay())
	k := f.process(host)
	if k == nil {
		<-ctx.Done() // like a host without power
		return ctx.Err()
	}
	if m, ok := params.(announcement); ok && f.cut.Load() && m.Hall != k.Settings.Hall {
		return errUnavailable
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := k.Handler(method)(ctx, text)
	if err != nil || !f.config.Fetches {
		return err
	}
	time.Sleep(f.config.messageDelay())
	if text, err = json.Marshal(out); err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// callAddress implements addressCaller.
func (f *testFleet) callAddress(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	return f.Call(ctx, fmt.Sprint("H", to.Port()-testFleetPort), method, params, result)
}

// process returns the running process of a host; nil for none.
func (f *testFleet) process(host string) *kernel.Kernel {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[host] {
		return nil
	}
	return f.kernels[host]
}

// Notify implements kernel.PeerCaller.
func (f *testFleet) Notify(ctx context.Context, host, method string, params any) error {
	return f.Call(ctx, host, method, params, nil)
}

// Connect implements kernel.PeerCaller.
func (f *testFleet) Connect(context.Context, string) error { return nil }

// refuse makes the platform turn hosts away.
func (f *testFleet) refuse(how refusal, hosts ...string) {
	f.platform.mu.Lock()
	revision := f.platform.revision
	f.platform.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if how == olderState {
		f.olderRevision = revision
	}
	for _, h := range hosts {
		f.refused[h] = how
	}
}

// serve makes the platform serve a host again.
func (f *testFleet) serve(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.refused, host)
}

// resetReads forgets the reads so far.
func (f *testFleet) resetReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads, f.askers = nil, map[string]int{}
}

// readCount returns how many reads and watches began.
func (f *testFleet) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reads)
}

// hostsWithMoreReads returns how many hosts began more reads than a number.
func (f *testFleet) hostsWithMoreReads(than int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := 0
	for _, n := range f.askers {
		if n > than {
			hosts++
		}
	}
	return hosts
}

// readsWithin returns the largest number of reads that began within a window.
func (f *testFleet) readsWithin(window time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most, first := 0, 0
	for i, at := range f.reads {
		for at.Sub(f.reads[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// testFleetPort is the port of the first host's address.
const testFleetPort = 1

// ranked returns the hosts in the order in which they rank for reading the platform.
func (f *testFleet) ranked() []string {
	hosts := slices.Collect(maps.Keys(f.kernels))
	return Rank(watchKey, hosts)
}

// hostSource is the platform as read by one host.
type hostSource struct {
	fleet *testFleet
	host  string
}

// begin records a read and fails if the platform turns the host away, which takes a while if it
// is silent.
func (s *hostSource) begin(ctx context.Context, wait time.Duration, refused refusal) error {
	s.fleet.mu.Lock()
	s.fleet.reads = append(s.fleet.reads, time.Now())
	s.fleet.askers[s.host]++
	s.fleet.mu.Unlock()
	time.Sleep(s.fleet.config.platformDelay())
	return s.refusal(ctx, wait+silentReadTimeout, refused)
}

// refusal returns an error if the platform turns the host, or the given kind of call, away; a silent
// platform takes the given time.
func (s *hostSource) refusal(ctx context.Context, silence time.Duration, call refusal) error {
	s.fleet.mu.Lock()
	how := s.fleet.refused[s.host]
	s.fleet.mu.Unlock()
	if how == refusedWithSilence {
		kernel.Sleep(ctx, silence)
		return context.DeadlineExceeded
	}
	if how == refusedWithError || how == call {
		return errUnavailable
	}
	return nil
}

// Read implements kernel.Source.
func (s *hostSource) Read(ctx context.Context, consistent bool) (*kernel.Published, error) {
	if err := s.begin(ctx, 0, refusedReads); err != nil {
		return nil, err
	}
	out, err := s.fleet.platform.Read(ctx, consistent)
	s.makeOlder(out)
	return out, err
}

// Watch implements kernel.Source. A watch in progress fails when the platform refuses the host.
func (s *hostSource) Watch(ctx context.Context, after config.Position, wait time.Duration) (*kernel.Published, error) {
	if err := s.begin(ctx, wait, refusedWatches); err != nil {
		return nil, err
	}
	if s.older() {
		kernel.Sleep(ctx, wait)
		wait = 0
	}
	out, err := s.fleet.platform.Watch(ctx, after, wait)
	s.makeOlder(out)
	if refused := s.refusal(ctx, silentReadTimeout, refusedWatches); refused != nil {
		return nil, refused
	}
	return out, err
}

// Newest implements kernel.Source.
func (s *hostSource) Newest(ctx context.Context) (config.Position, error) {
	s.fleet.mu.Lock()
	s.fleet.checks++
	s.fleet.mu.Unlock()
	time.Sleep(s.fleet.config.platformDelay())
	if err := s.refusal(ctx, silentCheckTimeout, refusedReads); err != nil {
		return config.Position{}, err
	}
	at, err := s.fleet.platform.Newest(ctx)
	if s.older() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		at.Revision = min(at.Revision, s.fleet.olderRevision)
	}
	return at, err
}

// older reports whether the platform answers the host with an older state.
func (s *hostSource) older() bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.fleet.refused[s.host] == olderState
}

// makeOlder takes what is newer than an older state out of an answer, if the host gets that.
func (s *hostSource) makeOlder(p *kernel.Published) {
	if p == nil || !s.older() {
		return
	}
	s.fleet.mu.Lock()
	upTo := s.fleet.olderRevision
	s.fleet.mu.Unlock()
	p.Position.Revision, p.Directory.Revision = min(p.Position.Revision, upTo), min(p.Directory.Revision, upTo)
	p.Directory.Listed = slices.DeleteFunc(p.Directory.Listed, func(l config.Listing) bool { return l.Revision > upTo })
	p.Directory.Removed = slices.DeleteFunc(p.Directory.Removed, func(r config.Removal) bool { return r.Revision > upTo })
}

// testFleetConfig describes a testFleet.
type testFleetConfig struct {
	// Hosts are divided among Halls; WatchWait is as in kernel.Settings.
	Hosts, Halls int
	WatchWait    time.Duration
	// Refused is how the platform turns all hosts away from the start on; empty if it serves them.
	Refused refusal
	// Log receives the logs of all hosts.
	Log zerolog.Logger
	// Fetches is true if hosts fetch what their announcements show that they lack.
	Fetches bool
	// MessageDelay returns how long a message between hosts takes; nil for a millisecond.
	// PlatformDelay returns how long the platform takes to begin an answer; nil for no time.
	MessageDelay, PlatformDelay func() time.Duration
}

func (c *testFleetConfig) messageDelay() time.Duration {
	if c.MessageDelay == nil {
		return time.Millisecond
	}
	return c.MessageDelay()
}

func (c *testFleetConfig) platformDelay() time.Duration {
	if c.PlatformDelay == nil {
		return 0
	}
	return c.PlatformDelay()
}

// newTestFleet starts hosts that know each other.
func newTestFleet(t *testing.T, ctx context.Context, c testFleetConfig) *testFleet {
	f := &testFleet{
		config: c, platform: newFakePlatform(), kernels: map[string]*kernel.Kernel{}, refused: map[string]refusal{}, askers: map[string]int{},
		down: map[string]bool{}, stops: map[string]context.CancelFunc{},
	}
	f.platform.list("U0")
	for i := range c.Hosts {
		if c.Refused != "" {
			f.refuse(c.Refused, fmt.Sprint("H", i))
		}
	}
	for i := range c.Hosts {
		f.addProcess(t, i)
	}
	members := map[string]kernel.Member{}
	for host, k := range f.kernels {
		members[host] = memberFor(k)
	}
	for host, k := range f.kernels {
		f.run(ctx, host, k, members)
	}
	return f
}

// memberFor returns what other hosts know of a running process.
func memberFor(k *kernel.Kernel) kernel.Member {
	s := &k.Settings
	return kernel.Member{Host: s.Host, Hall: s.Hall, Peer: s.Peer, Live: true, Capacity: s.Capacity()}
}

// addProcess adds the process of a host, which does nothing yet.
func (f *testFleet) addProcess(t *testing.T, number int) *kernel.Kernel {
	s := kernel.Settings{
		Host: fmt.Sprint("H", number), Hall: string(rune('A' + number%f.config.Halls)), WatchWait: f.config.WatchWait, Adapter: "Test",
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(testFleetPort+number)),
	}
	k, stop := kernel.New(kernel.Config{Settings: s, Log: f.config.Log.With().Str("Host", s.Host).Logger(), Started: time.Now(), Fleet: policy.NewFleet(policy.FleetConfig{})})
	t.Cleanup(stop)
	k.Peers = f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kernels[s.Host], f.down[s.Host] = k, false
	return k
}

// run starts the work of a process, which knows the given members.
func (f *testFleet) run(ctx context.Context, host string, k *kernel.Kernel, members map[string]kernel.Member) {
	ctx, stop := context.WithCancel(ctx)
	f.mu.Lock()
	f.stops[host] = stop
	f.mu.Unlock()
	server := newServerWithoutFetches(k)
	if f.config.Fetches {
		server = &announcementServer{kernel: k, fetcher: newFetcher(k, f, func(*kernel.State) {})}
	}
	kernel.HandleMessage(k, methodAnnounce, "announcement", server.onAnnouncement)
	k.Do(func(s *kernel.State) {
		for n, m := range members {
			if n != host {
				s.Members[n] = m
			}
		}
	})
	r := newFeed(k, &hostSource{fleet: f, host: host})
	k.OnView(r.announcer.onView)
	go r.loop(ctx)
	go r.announcer.loop(ctx)
	go r.lagCheck.loop(ctx)
}

// reader returns the only host that reads the platform; empty for none or several.
func (f *testFleet) reader() string {
	found := ""
	for n, k := range f.kernels {
		if k.View().Reading {
			if found != "" {
				return ""
			}
			found = n
		}
	}
	return found
}

// end ends the process of a host, as by a loss of power.
func (f *testFleet) end(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[host] = true
	f.stops[host]()
}

// listedByAll reports whether all running hosts list an upstream.
func (f *testFleet) listedByAll(name string) bool {
	for n := range f.kernels {
		if k := f.process(n); k != nil && !slices.Contains(listedNames(k), name) {
			return false
		}
	}
	return true
}

// listedByAny reports whether any host lists an upstream.
func (f *testFleet) listedByAny(name string) bool {
	for _, k := range f.kernels {
		if slices.Contains(listedNames(k), name) {
			return true
		}
	}
	return false
}

// TestChangesArriveWhileTheReaderIsRefused checks that all hosts learn of each change in time
// while the platform refuses the reader. Only the takeover may delay a change: later ones must
// not be delayed because the refused host is considered the reader again.
func TestChangesArriveWhileTheReaderIsRefused(t *testing.T) {
	const (
		bound        = 2200 * time.Millisecond
		pollInterval = 50 * time.Millisecond
	)
	for _, hosts := range []int{4, 16} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newTestFleet(t, ctx, testFleetConfig{Hosts: hosts, Halls: 2, WatchWait: time.Second})
				time.Sleep(5 * time.Second)
				first := f.reader()
				assert.Assert(t, first != "", "want exactly one reader")
				f.refuse(refusedWithError, first)
				late := 0
				for i := range 20 {
					name := fmt.Sprint("U", i+1)
					f.platform.list(name)
					took := time.Duration(0)
					for ; !f.listedByAll(name) && took < 10*time.Second; took += pollInterval {
						time.Sleep(pollInterval)
					}
					if took > 2*announceInterval {
						late++
					}
					assert.Check(t, took <= bound, "%s after %s", name, took)
					time.Sleep(max(time.Second-took, 0))
				}
				assert.Check(t, late <= 3, "%d of 20 came late", late)
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
