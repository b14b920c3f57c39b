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
	// maxFaultInterval is the longest time between the starts of two faults.
	maxFaultInterval = 900 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	// maxExtraFaultDuration limits the random time that is added to minFaultDuration.
	maxExtraFaultDuration = 2500 * time.Millisecond
)

// faultKind is a kind of fault, with its name in the report.
type faultKind struct {
	name string
	// begin starts the fault and returns a function that ends it, or nil if the fault
	// needs no end.
	begin func(ctx context.Context, s *soak) func()
}

// injectFaults starts faults at random times until ctx ends, and waits until all faults
// have ended. Faults may overlap.
func (s *soak) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	for {
		f := faultKinds[s.random.IntN(len(faultKinds))]
		duration := minFaultDuration + time.Duration(s.random.Int64N(int64(maxExtraFaultDuration)))
		pause := time.Duration(s.random.Int64N(int64(maxFaultInterval)))
		s.mu.Lock()
		s.injected[f.name]++
		s.mu.Unlock()
		end := f.begin(ctx, s)
		if end != nil {
			wg.Go(func() {
				sleepContext(ctx, duration)
				end()
			})
		}
		sleepContext(ctx, pause)
		if ctx.Err() != nil {
			wg.Wait()
			return
		}
	}
}

// recordHostFault records that a fault of a host starts or ends now.
func (s *soak) recordHostFault(h *soakHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbedAt = s.now()
	h.faultTimes = append(h.faultTimes, h.disturbedAt)
}

// pickFaultyHost picks a random host and records the start of a fault.
func (s *soak) pickFaultyHost() *soakHost {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	s.recordHostFault(h)
	return h
}

func (s *soak) pickUpstream() *soakUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[s.random.IntN(len(s.upstreams))]
}

// recordStoreFault records that a fault of the store starts or ends now.
func (s *soak) recordStoreFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDisturbedAt = s.now()
}

// faultKinds are the kinds of faults that a soak draws from. Their order determines the
// faults of a seed.
var faultKinds = []faultKind{
	{"host paused", func(_ context.Context, s *soak) func() {
		h := s.pickFaultyHost()
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT); s.recordHostFault(h) }
	}},
	{"host killed", func(_ context.Context, s *soak) func() {
		h := s.pickFaultyHost()
		end := s.restarter(h)
		h.signal(syscall.SIGKILL)
		return end
	}},
	{"host stopped", func(_ context.Context, s *soak) func() {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		h.mu.Lock()
		h.disturbedAt = s.now()
		h.stopTimes = append(h.stopTimes, h.disturbedAt)
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
	{"store cut off from a host", storeLinkFault(linkFaults{Cut: true})},
	{"store refuses a host", storeLinkFault(linkFaults{Reset: true})},
	{"store answers late", storeLinkFault(linkFaults{Delay: millisDuration(300)})},
	{"store down", func(_ context.Context, s *soak) func() {
		s.recordStoreFault()
		s.store.Fail(http.StatusServiceUnavailable)
		return func() { s.store.Fail(0); s.recordStoreFault() }
	}},
	{"store forgets", func(_ context.Context, s *soak) func() {
		s.store.CompactHistory()
		return nil
	}},
	{"store restored", restoreStore},
	{"upstream silent", upstreamLinkFault(linkFaults{Cut: true})},
	{"upstream cut one way", upstreamLinkFault(linkFaults{CutBack: true})},
	{"upstream refuses", upstreamLinkFault(linkFaults{Reset: true})},
	{"upstream delayed", upstreamLinkFault(linkFaults{Delay: millisDuration(100)})},
	{"upstream slow", upstreamFault(soakUpstreamFaults{Slow: 250 * time.Millisecond})},
	{"upstream sheds", upstreamFault(soakUpstreamFaults{Shed: 0.5})},
	{"upstream fails", upstreamFault(soakUpstreamFaults{Fail: 0.5})},
	{"upstream loses answers", upstreamFault(soakUpstreamFaults{Reset: 0.3})},
	{"upstream replaced", func(_ context.Context, s *soak) func() { return s.replaceUpstream(s.pickUpstream()) }},
	{"settings changed", func(_ context.Context, s *soak) func() {
		s.must(s.publish())
		return nil
	}},
	{"repartition", func(_ context.Context, s *soak) func() {
		s.mu.Lock()
		n := len(s.shardSets)
		s.mu.Unlock()
		set, err := s.addShardSet(n)
		s.must(err)
		s.mu.Lock()
		s.shardSets = append(s.shardSets, set)
		s.mu.Unlock()
		return func() { s.must(s.publish()) }
	}},
}

func millisDuration(millis int) config.Duration {
	return config.Duration(time.Duration(millis) * time.Millisecond)
}

// storeLinkFault returns a fault of the link between a random host and the store.
func storeLinkFault(f linkFaults) func(context.Context, *soak) func() {
	return func(_ context.Context, s *soak) func() {
		h := s.pickFaultyHost()
		h.storeLink.setFaults(f)
		return func() { h.storeLink.setFaults(linkFaults{}); s.recordHostFault(h) }
	}
}

// upstreamLinkFault returns a fault of the link to a random upstream.
func upstreamLinkFault(f linkFaults) func(context.Context, *soak) func() {
	return func(_ context.Context, s *soak) func() {
		u := s.pickUpstream()
		u.link.setFaults(f)
		return func() { u.link.setFaults(linkFaults{}) }
	}
}

// upstreamFault returns a fault of a random upstream.
func upstreamFault(f soakUpstreamFaults) func(context.Context, *soak) func() {
	return func(_ context.Context, s *soak) func() {
		u := s.pickUpstream()
		u.setFaults(f)
		return func() { u.setFaults(soakUpstreamFaults{}) }
	}
}

// must panics if err is not nil: a stand-in of the soak has failed, not a daemon.
func (s *soak) must(err error) {
	if err != nil {
		panic(fmt.Errorf("soak: stand-in failed: %w", err))
	}
}

// restarter returns a function that restarts a host once its current daemon has ended,
// unless an overlapping fault has already restarted it.
func (s *soak) restarter(h *soakHost) func() {
	generation := h.generation()
	return func() {
		h.signal(syscall.SIGCONT)
		s.must(h.restart(generation, s.Daemon))
		h.mu.Lock()
		h.disturbedAt = s.now()
		h.mu.Unlock()
	}
}

// replaceUpstream starts a replacement of an upstream and drains the old one. The
// returned function removes the old one; it is nil if the upstream is leaving already.
func (s *soak) replaceUpstream(u *soakUpstream) func() {
	u.mu.Lock()
	leaving := u.leavingAt > 0
	u.mu.Unlock()
	if leaving {
		return nil
	}
	s.must(s.addUpstream(u.group, u.hall, u.Body))
	s.must(s.setUpstreamState(u, "draining"))
	u.mu.Lock()
	u.leavingAt = s.now()
	u.mu.Unlock()
	return func() { s.removeUpstream(u) }
}

// evacuateHall publishes the evacuation of the first hall.
func (s *soak) evacuateHall() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.must(s.store.Put(platform.EvacuationPrefix+halls[0], struct{}{}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuatedAt = s.now()
}

// clearFaults clears the faults of the store, the links and the upstreams, and resumes
// paused hosts. It restarts no hosts, since the faults that end a daemon also restart it.
func (s *soak) clearFaults() {
	s.store.Fail(0)
	for _, h := range s.hosts {
		h.storeLink.setFaults(linkFaults{})
		h.signal(syscall.SIGCONT)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		u.link.setFaults(linkFaults{})
		u.setFaults(soakUpstreamFaults{})
		u.setEndless(nil)
		u.setCuts(false)
	}
}
