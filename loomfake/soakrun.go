package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"loomgap/platform"
	"loomgap/tier/config"
)

// Times of a soak.
const (
	soakWarm = 3 * time.Second
	// soakHeal is how long after the last fault the hosts have to recover, and
	// soakLast how long is asked after that.
	soakHeal = 6 * time.Second
	soakLast = 3 * time.Second
	// soakPause is the longest time between two faults.
	soakPause = 900 * time.Millisecond
	// soakBound is when a caller gives up.
	soakBound = 3 * time.Second
)

// asked is one request and what its caller got.
type asked struct {
	id, kind   string
	host       int
	generation int
	at, ended  time.Duration
	status     int
	header     http.Header
	body       []byte
	err        error
	// route is the number of the versions' route that was asked; 0 for none.
	route int
}

// run warms up, injects faults while callers ask, heals all, and asks on.
func (s *soak) run(ctx context.Context) error {
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	var all sync.WaitGroup
	for i := range s.Callers {
		all.Add(1)
		go func() {
			defer all.Done()
			s.call(callers, i)
		}()
	}
	sleep(ctx, soakWarm)
	faults, stopFaults := context.WithTimeout(ctx, s.For)
	s.inject(faults)
	stopFaults()
	s.heal()
	if s.Evacuate {
		s.evacuate()
	}
	sleep(ctx, soakHeal+soakLast)
	stopCallers()
	all.Wait()
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitReady waits until all hosts call themselves ready.
func (s *soak) waitReady(ctx context.Context) error {
	for end := s.now() + 20*time.Second; s.now() < end && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		ready := 0
		for _, h := range s.hosts {
			r, err := http.Get("http://" + h.operate.String() + "/ready")
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.hosts) {
			return nil
		}
	}
	return fmt.Errorf("hosts are not ready: look at their logs in %s", s.Dir)
}

// call is one caller: it stays with a host as long as its connection lasts.
func (s *soak) call(ctx context.Context, n int) {
	c := &caller{host: n % len(s.hosts)}
	defer c.close()
	for i := 0; ctx.Err() == nil; i++ {
		a := asked{id: fmt.Sprintf("%d-%d-%d", s.Seed, n, i), host: c.host, at: s.now()}
		path, method := "", http.MethodGet
		switch i % 4 {
		case 0, 1:
			a.kind, path = "gather", "/gather/x"
		case 2:
			a.kind, path, method = "unsafe", "/unsafe/x", http.MethodPost
		default:
			a.kind = "safe"
			s.mu.Lock()
			a.route = s.routes
			s.mu.Unlock()
			path = fmt.Sprintf("/v%d/x", a.route)
		}
		a.err = c.ask(ctx, s, method, path, &a)
		a.ended = s.now()
		if ctx.Err() != nil {
			return // broken off by the soak's own end
		}
		s.mu.Lock()
		s.asked = append(s.asked, a)
		s.mu.Unlock()
		if a.err != nil {
			c.close()
			c.host = (c.host + 1) % len(s.hosts)
		}
		sleep(ctx, 15*time.Millisecond)
	}
}

// caller is one connection to a host. It never repeats a request by itself, as
// the client of package http does.
type caller struct {
	host       int
	conn       net.Conn
	reader     *bufio.Reader
	generation int
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) ask(ctx context.Context, s *soak, method, path string, a *asked) error {
	h := s.hosts[c.host]
	if c.conn == nil {
		c.generation = h.generation()
		conn, err := net.DialTimeout("tcp", h.listen.String(), time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a.generation = c.generation
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := c.conn.SetDeadline(time.Now().Add(soakBound)); err != nil {
		return err
	}
	body := io.Reader(nil)
	if method == http.MethodPost {
		body = strings.NewReader("an order")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+soakHostName+path, body)
	if err != nil {
		return err
	}
	r.Header.Set(platform.Headers.RequestID, a.id)
	r.Header.Set(platform.Headers.DeadlineMillis, strconv.FormatInt(soakBound.Milliseconds(), 10))
	if err := r.Write(c.conn); err != nil {
		return err
	}
	answer, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	a.status, a.header = answer.StatusCode, answer.Header
	a.body, err = io.ReadAll(answer.Body)
	if answer.Close {
		c.close()
	}
	return err
}

// fault is one kind of trouble.
type fault struct {
	name string
	// begin starts it and gives what ends it.
	begin func(ctx context.Context, s *soak) func()
}

// inject begins faults at random times, which overlap.
func (s *soak) inject(ctx context.Context) {
	var all sync.WaitGroup
	for {
		f := troubles[s.random.IntN(len(troubles))]
		lasts := 200*time.Millisecond + time.Duration(s.random.Int64N(int64(2500*time.Millisecond)))
		pause := time.Duration(s.random.Int64N(int64(soakPause)))
		s.mu.Lock()
		s.injected[f.name]++
		s.mu.Unlock()
		end := f.begin(ctx, s)
		if end != nil {
			all.Add(1)
			go func() {
				defer all.Done()
				sleep(ctx, lasts)
				end()
			}()
		}
		sleep(ctx, pause)
		if ctx.Err() != nil {
			all.Wait()
			return
		}
	}
}

// touch notes that something is done to a host.
func (s *soak) touch(h *soakHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.touched = s.now()
	h.hurts = append(h.hurts, h.touched)
}

func (s *soak) anyHost() *soakHost {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	s.touch(h)
	return h
}

func (s *soak) anyUpstream() *soakUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[s.random.IntN(len(s.upstreams))]
}

// touchStore notes that the store is disturbed.
func (s *soak) touchStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeTouched = s.now()
}

// troubles are the kinds of fault that a soak draws from.
var troubles = []fault{
	{"host paused", func(_ context.Context, s *soak) func() {
		h := s.anyHost()
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT); s.touch(h) }
	}},
	{"host killed", func(_ context.Context, s *soak) func() {
		h := s.anyHost()
		end := s.restarter(h)
		h.signal(syscall.SIGKILL)
		return end
	}},
	{"host stopped", func(_ context.Context, s *soak) func() {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		h.mu.Lock()
		h.touched = s.now()
		h.stops = append(h.stops, h.touched)
		h.mu.Unlock()
		end := s.restarter(h)
		h.signal(syscall.SIGTERM)
		return end
	}},
	{"settings read again", func(_ context.Context, s *soak) func() {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		h.signal(syscall.SIGHUP)
		return nil
	}},
	{"store cut off from a host", func(_ context.Context, s *soak) func() {
		h := s.anyHost()
		h.store.set(linkFaults{Cut: true})
		return func() { h.store.set(linkFaults{}); s.touch(h) }
	}},
	{"store refuses a host", func(_ context.Context, s *soak) func() {
		h := s.anyHost()
		h.store.set(linkFaults{Reset: true})
		return func() { h.store.set(linkFaults{}); s.touch(h) }
	}},
	{"store answers late", func(_ context.Context, s *soak) func() {
		h := s.anyHost()
		h.store.set(linkFaults{Delay: soakDelay(300)})
		return func() { h.store.set(linkFaults{}); s.touch(h) }
	}},
	{"store down", func(_ context.Context, s *soak) func() {
		s.touchStore()
		s.store.Fail(http.StatusServiceUnavailable)
		return func() { s.store.Fail(0); s.touchStore() }
	}},
	{"store forgets", func(_ context.Context, s *soak) func() {
		s.store.Forget()
		return nil
	}},
	{"upstream silent", linked(linkFaults{Cut: true})},
	{"upstream cut one way", linked(linkFaults{CutBack: true})},
	{"upstream refuses", linked(linkFaults{Reset: true})},
	{"upstream delayed", linked(linkFaults{Delay: soakDelay(100)})},
	{"upstream slow", doing(upstreamFaults{Slow: 250 * time.Millisecond})},
	{"upstream sheds", doing(upstreamFaults{Shed: 0.5})},
	{"upstream fails", doing(upstreamFaults{Fail: 0.5})},
	{"upstream loses answers", doing(upstreamFaults{Reset: 0.3})},
	{"upstream replaced", func(_ context.Context, s *soak) func() { return s.replace(s.anyUpstream()) }},
	{"settings changed", func(_ context.Context, s *soak) func() {
		s.must(s.publish())
		return nil
	}},
	{"repartition", func(_ context.Context, s *soak) func() {
		s.mu.Lock()
		n := len(s.sets)
		s.mu.Unlock()
		set, err := s.shardSet(n)
		s.must(err)
		s.mu.Lock()
		s.sets = append(s.sets, set)
		s.mu.Unlock()
		return func() { s.must(s.publish()) }
	}},
}

func soakDelay(millis int) config.Duration {
	return config.Duration(time.Duration(millis) * time.Millisecond)
}

// linked is a fault of the connections to an upstream.
func linked(f linkFaults) func(context.Context, *soak) func() {
	return func(_ context.Context, s *soak) func() {
		u := s.anyUpstream()
		u.link.set(f)
		return func() { u.link.set(linkFaults{}) }
	}
}

// doing is a fault of an upstream itself.
func doing(f upstreamFaults) func(context.Context, *soak) func() {
	return func(_ context.Context, s *soak) func() {
		u := s.anyUpstream()
		u.set(f)
		return func() { u.set(upstreamFaults{}) }
	}
}

// must ends the soak's process if its own stand-ins fail.
func (s *soak) must(err error) {
	if err != nil {
		panic(fmt.Errorf("soak: its own stand-in fails: %w", err))
	}
}

// restarter returns what starts a host again, once the daemon that runs now has
// ended. Faults overlap: another may have killed it and started it again.
func (s *soak) restarter(h *soakHost) func() {
	generation := h.generation()
	return func() {
		h.signal(syscall.SIGCONT)
		s.must(h.restart(generation, s.Daemon))
		h.mu.Lock()
		h.touched = s.now()
		h.mu.Unlock()
	}
}

// replace starts a like upstream and has the old one leave.
func (s *soak) replace(u *soakUpstream) func() {
	u.mu.Lock()
	leaving := u.leftAt > 0
	u.mu.Unlock()
	if leaving {
		return nil
	}
	s.must(s.addUpstream(u.group, u.hall, u.Body))
	s.must(s.list(u, "draining"))
	u.mu.Lock()
	u.leftAt = s.now()
	u.mu.Unlock()
	return func() { s.store.Remove(platform.UpstreamPrefix + u.Name) }
}

// evacuate asks that the upstreams of the first hall get nothing from now on.
func (s *soak) evacuate() {
	s.must(s.store.Put(platform.EvacuationPrefix+halls[0], struct{}{}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuatedAt = s.now()
}

// heal ends what may still be wrong. Faults end by themselves; a host that was
// started while its end was awaited is already there.
func (s *soak) heal() {
	s.store.Fail(0)
	for _, h := range s.hosts {
		h.store.set(linkFaults{})
		h.signal(syscall.SIGCONT)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		u.link.set(linkFaults{})
		u.set(upstreamFaults{})
	}
}
