package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"loomgap/platform"
	"loomgap/platform/mock"
)

// Names of the soak's site.
const (
	soakHostName = "soak.example"
	soakTop      = 8
	soakCoverage = 0.6
	// soakRatio and soakSlack bound the repeats, as the daemons are told.
	soakRatio = 0.2
	soakSlack = 40
)

// arrival is one request that reached an upstream.
type arrival struct {
	at time.Duration
	id string
	// ran is false if the upstream turned it away.
	ran bool
}

// soakUpstream is an upstream with faults.
type soakUpstream struct {
	mock.Upstream
	group string
	hall  string
	link  *link
	at    netip.AddrPort
	now   func() time.Duration

	mu     sync.Mutex
	faults upstreamFaults
	// arrivals are in order of time.
	arrivals []arrival
	// leftAt is when it was listed as leaving; 0 if it was not.
	leftAt time.Duration
}

// upstreamFaults are what an upstream may do.
type upstreamFaults struct {
	// Shed and Fail are parts of the requests, 0 to 1; Slow is how long each
	// takes.
	Shed, Fail float64
	Slow       time.Duration
	// Reset is the part of requests that run and whose answer is lost.
	Reset float64
}

// ServeHTTP implements http.Handler.
func (u *soakUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := platform.Headers
	u.mu.Lock()
	f := u.faults
	shed := rand.Float64() < f.Shed || r.Header.Get(h.Upstream) != u.Name
	u.arrivals = append(u.arrivals, arrival{at: u.now(), id: r.Header.Get(h.RequestID), ran: !shed})
	u.mu.Unlock()
	if shed {
		w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
		w.Header().Set(h.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(f.Slow):
	case <-r.Context().Done():
		return
	}
	switch {
	case rand.Float64() < f.Reset:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			hardClose(c)
		}
	case rand.Float64() < f.Fail:
		w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
		w.Header().Set(h.Stamp, u.Stamp(r.Header.Get(h.RequestID)))
		w.WriteHeader(http.StatusInternalServerError)
	default:
		u.Upstream.ServeHTTP(w, r)
	}
}

func (u *soakUpstream) set(f upstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// seen copies the arrivals.
func (u *soakUpstream) seen() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}

// soakHost is one entry host: a daemon that is started again when it ends.
type soakHost struct {
	name, hall  string
	listen      netip.AddrPort
	operate     netip.AddrPort
	peer        netip.AddrPort
	store       *link
	storeAt     netip.AddrPort
	settings    string
	log         string
	mu          sync.Mutex
	process     *exec.Cmd
	ended       chan struct{}
	generations int
	// touched is when something was last done to it; it counts as untouched
	// some seconds later.
	touched time.Duration
	// stops are when it was stopped as planned, hurts when something else was
	// done to it.
	stops, hurts []time.Duration
}

// soak is one run.
type soak struct {
	soakConfig
	random  *rand.Rand
	started time.Time
	store   *mock.Store
	closers []func()
	hosts   []*soakHost
	// publishing is held while a configuration is written, so that the versions
	// come into the store in their order: faults that end together publish together.
	publishing sync.Mutex

	mu        sync.Mutex
	upstreams []*soakUpstream
	sets      [][]string
	routes    int
	injected  map[string]int
	// storeTouched is when the store was last disturbed.
	storeTouched time.Duration
	// evacuatedAt is when the first hall was evacuated; 0 for never.
	evacuatedAt time.Duration
	asked       []asked
	checked     map[string]int
	versions    []version
}

// version is one published configuration.
type version struct {
	at     time.Duration
	routes int
}

func newSoak(c soakConfig) (*soak, func(), error) {
	s := &soak{
		soakConfig: c, random: rand.New(rand.NewPCG(c.Seed, 0)), started: time.Now(), store: mock.NewStore(),
		injected: map[string]int{}, checked: map[string]int{},
	}
	if err := s.build(); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, s.close, nil
}

func (s *soak) now() time.Duration { return time.Since(s.started) }

func (s *soak) close() {
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// serve serves a handler at a free loopback port.
func (s *soak) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// join puts a link before an address.
func (s *soak) join(to netip.AddrPort) (*link, netip.AddrPort, error) {
	l, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	k := &link{to: to.String(), conns: map[net.Conn]bool{}}
	go k.accept(l)
	s.closers = append(s.closers, func() { _ = l.Close(); k.set(linkFaults{Reset: true}) })
	return k, netip.MustParseAddrPort(l.Addr().String()), nil
}

func (s *soak) build() error {
	at, err := s.serve(s.store)
	if err != nil {
		return err
	}
	set, err := s.shardSet(0)
	if err != nil {
		return err
	}
	s.sets = append(s.sets, set)
	for i := range 3 {
		if err := s.addUpstream("single", halls[i%2], fmt.Sprint("the body of single ", i)); err != nil {
			return err
		}
	}
	if err := s.publish(); err != nil {
		return err
	}
	for i := range 2 * s.Hosts {
		if err := s.addHost(i, at); err != nil {
			return err
		}
	}
	return nil
}

// halls are the data halls of the site.
var halls = []string{"hall-a", "hall-b"}

// shardSet starts a set of shards with a replica in each hall.
func (s *soak) shardSet(n int) ([]string, error) {
	var set []string
	for i := range s.Shards {
		group := fmt.Sprintf("set%d-shard%d", n, i)
		set = append(set, group)
		for _, h := range halls {
			if err := s.addUpstream(group, h, recordsOf(group)); err != nil {
				return nil, err
			}
		}
	}
	return set, nil
}

// recordsOf returns the records of a shard, which all its replicas have.
func recordsOf(group string) string {
	r := rand.New(rand.NewPCG(xxhash.Sum64String(group), 0))
	var b strings.Builder
	for range 6 {
		fmt.Fprintf(&b, "%016x", r.Uint64())
	}
	return b.String()
}

func (s *soak) addUpstream(group, hall, body string) error {
	s.mu.Lock()
	n := len(s.upstreams)
	s.mu.Unlock()
	u := &soakUpstream{Upstream: mock.Upstream{Name: fmt.Sprintf("u-%d", n), Body: body}, group: group, hall: hall, now: s.now}
	at, err := s.serve(u)
	if err != nil {
		return err
	}
	if u.link, u.at, err = s.join(at); err != nil {
		return err
	}
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	return s.list(u, "ready")
}

func (s *soak) list(u *soakUpstream, state string) error {
	return s.store.Put(platform.UpstreamPrefix+u.Name, platform.Upstream{
		Group: u.group, Address: u.at, Hall: u.hall, Slots: 4, State: state,
	})
}

// publish writes the configuration with the newest set of shards, and one
// route more than before, by which hosts are seen to follow.
func (s *soak) publish() error {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.mu.Lock()
	s.routes++
	n, set := s.routes, s.sets[len(s.sets)-1]
	groups := map[string]bool{}
	for _, u := range s.upstreams {
		groups[u.group] = true
	}
	s.mu.Unlock()
	v := platform.Document{Limits: platform.Limits{BodyBytes: 1 << 16}}
	for g := range groups {
		v.Groups = append(v.Groups, platform.Group{Name: g, Connections: 40})
	}
	slices.SortFunc(v.Groups, func(a, b platform.Group) int { return strings.Compare(a.Name, b.Name) })
	base := platform.Route{HostName: soakHostName, TimeLimitMillis: 2000, ObjectiveMillis: 200, MaxAttempts: 2}
	gather, safe, unsafe := base, base, base
	gather.Name, gather.Prefix, gather.Kind, gather.Gather, gather.Top, gather.Coverage = "gather", "/gather/", platform.KindRepeatable, set, soakTop, soakCoverage
	safe.Name, safe.Prefix, safe.Kind, safe.Group = "safe", "/safe/", platform.KindRepeatable, "single"
	unsafe.Name, unsafe.Prefix, unsafe.Kind, unsafe.Group = "unsafe", "/unsafe/", "unsafe", "single"
	v.Routes = []platform.Route{gather, safe, unsafe}
	for i := range n {
		r := safe
		r.Name, r.Prefix = fmt.Sprint("v", i+1), fmt.Sprintf("/v%d/", i+1)
		v.Routes = append(v.Routes, r)
	}
	if err := s.store.Put(platform.DocumentKey, v); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{at: s.now(), routes: n})
	return nil
}

// Ports of a host of a soak. Each host has a loopback address of its own, which
// holds the soak's process ID: a port of the shared address that is free now may
// be taken by the time its daemon binds it.
const (
	soakListen  = 7400
	soakPeer    = 7401
	soakOperate = 7402
	// soakNet begins the addresses; 127.0 is everybody's.
	soakNet = 64
)

func hostAddress(i int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(soakNet + i), byte(pid >> 8), byte(pid)})
}

func (s *soak) addHost(i int, store netip.AddrPort) error {
	h := &soakHost{name: fmt.Sprintf("host-%d", i), hall: halls[i%2]}
	at := hostAddress(i)
	h.listen, h.peer, h.operate = netip.AddrPortFrom(at, soakListen), netip.AddrPortFrom(at, soakPeer), netip.AddrPortFrom(at, soakOperate)
	var err error
	if h.store, h.storeAt, err = s.join(store); err != nil {
		return err
	}
	h.settings, h.log = filepath.Join(s.Dir, h.name+".env"), filepath.Join(s.Dir, h.name+".log")
	s.hosts = append(s.hosts, h)
	if err := s.writeSettings(h); err != nil {
		return err
	}
	return h.start(s.Daemon)
}

// writeSettings writes the file of settings, with a few hosts as seeds.
func (s *soak) writeSettings(h *soakHost) error {
	var seeds []string
	for _, o := range s.hosts[:min(3, len(s.hosts))] {
		seeds = append(seeds, o.peer.String())
	}
	text := fmt.Sprintf("LOOMD_ADAPTER=%s\nLOOMD_HOST=%s\nLOOMD_HALL=%s\nLOOMD_LISTEN=%s\nLOOMD_OPERATE=%s\nLOOMD_PEER=%s\nLOOMD_PLATFORM=%s\n"+
		"LOOMD_SEEDS=%s\nLOOMD_RETRYRATIO=%g\nLOOMD_RETRYSLACK=%d\nLOOMD_WATCHWAIT=1s\nLOOMD_SETTLE=700ms\nLOOMD_STOPBOUND=2500ms\n",
		platform.Name, h.name, h.hall, h.listen, h.operate, h.peer, h.storeAt, strings.Join(seeds, ","), soakRatio, soakSlack)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *soakHost) start(daemon string) error {
	f, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(daemon, "serve", "-Settings", h.settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		_ = f.Close()
		return fmt.Errorf("start %s: %w: build the daemon and name it by -Daemon", daemon, err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = c, ended
	h.generations++
	h.mu.Unlock()
	go func() {
		_ = c.Wait() // how it ends is judged by what callers saw
		_ = f.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the daemon that this soak started.
func (h *soakHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(sig) // it may have ended just now
	}
}

// restart waits for the end of the daemon of a generation and starts the next,
// unless another has done so.
func (h *soakHost) restart(generation int, daemon string) error {
	h.mu.Lock()
	ended, current := h.ended, h.generations == generation
	h.mu.Unlock()
	if !current {
		return nil
	}
	<-ended
	if h.generation() != generation {
		return nil
	}
	return h.start(daemon)
}

// generation counts the daemons that ran so far.
func (h *soakHost) generation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generations
}
