package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"loomgap/platform"
	"loomgap/tier/config"
)

// Times of faults.
const (
	// soakPause is the longest time between the beginnings of two faults.
	soakPause = 900 * time.Millisecond
	// faultLeast is how long a fault lasts at least; a random time up to faultMore
	// is added.
	faultLeast = 200 * time.Millisecond
	// faultMore is the longest time added to faultLeast.
	faultMore = 2500 * time.Millisecond
)

type faultKind struct {
	name string
	// begin starts the fault and returns what ends it; nil if it ends by itself.
	begin func(ctx context.Context, s *soak) func()
}

// inject begins faults at random times, which overlap.
func (s *soak) inject(ctx context.Context) {
	var all sync.WaitGroup
	for {
		f := faultKinds[s.random.IntN(len(faultKinds))]
		lasts := faultLeast + time.Duration(s.random.Int64N(int64(faultMore)))
		pause := time.Duration(s.random.Int64N(int64(soakPause)))
		s.mu.Lock()
		s.injected[f.name]++
		s.mu.Unlock()
		end := f.begin(ctx, s)
		if end != nil {
			all.Go(func() {
				sleep(ctx, lasts)
				end()
			})
		}
		sleep(ctx, pause)
		if ctx.Err() != nil {
			all.Wait()
			return
		}
	}
}

// touch notes that a fault of a host begins or ends.
func (s *soak) touch(h *soakHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.touched = s.now()
	h.faultTimes = append(h.faultTimes, h.touched)
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

func (s *soak) touchStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeTouched = s.now()
}

// faultKinds are the kinds of fault that a soak draws from.
var faultKinds = []faultKind{
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
		h.stopTimes = append(h.stopTimes, h.touched)
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
	{"store cut off from a host", onStoreLink(linkFaults{Cut: true})},
	{"store refuses a host", onStoreLink(linkFaults{Reset: true})},
	{"store answers late", onStoreLink(linkFaults{Delay: soakDelay(300)})},
	{"store down", func(_ context.Context, s *soak) func() {
		s.touchStore()
		s.store.Fail(http.StatusServiceUnavailable)
		return func() { s.store.Fail(0); s.touchStore() }
	}},
	{"store forgets", func(_ context.Context, s *soak) func() {
		s.store.CompactHistory()
		return nil
	}},
	{"store restored", restoreStore},
	{"upstream silent", onLink(linkFaults{Cut: true})},
	{"upstream cut one way", onLink(linkFaults{CutBack: true})},
	{"upstream refuses", onLink(linkFaults{Reset: true})},
	{"upstream delayed", onLink(linkFaults{Delay: soakDelay(100)})},
	{"upstream slow", onUpstream(upstreamFaults{Slow: 250 * time.Millisecond})},
	{"upstream sheds", onUpstream(upstreamFaults{Shed: 0.5})},
	{"upstream fails", onUpstream(upstreamFaults{Fail: 0.5})},
	{"upstream loses answers", onUpstream(upstreamFaults{Reset: 0.3})},
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

// onStoreLink is a fault of the connections of a host to the store.
func onStoreLink(f linkFaults) func(context.Context, *soak) func() {
	return func(_ context.Context, s *soak) func() {
		h := s.anyHost()
		h.store.set(f)
		return func() { h.store.set(linkFaults{}); s.touch(h) }
	}
}

func onLink(f linkFaults) func(context.Context, *soak) func() {
	return func(_ context.Context, s *soak) func() {
		u := s.anyUpstream()
		u.link.set(f)
		return func() { u.link.set(linkFaults{}) }
	}
}

func onUpstream(f upstreamFaults) func(context.Context, *soak) func() {
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

// replace starts an upstream like another, which leaves.
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
	return func() { s.unlist(u) }
}

// evacuate asks that the upstreams of the first hall get nothing from now on.
func (s *soak) evacuate() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
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
