package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"loomgap/platform"
	"loomgap/platform/mock"
)

// Times of a soak.
const (
	// soakReadyTimeout is how long hosts may take to become ready at the start.
	soakReadyTimeout = 20 * time.Second
	// soakReadyInterval is the time between two readiness checks.
	soakReadyInterval = 50 * time.Millisecond
	// soakWarmup is how long callers send requests before the first fault.
	soakWarmup = 3 * time.Second
	// soakRecoveryTime is how long hosts have to recover after the last fault.
	soakRecoveryTime = 6 * time.Second
	// soakFinalTime is how long callers continue after soakRecoveryTime, to show whether
	// the hosts have recovered.
	soakFinalTime = 3 * time.Second
)

// soak runs hosts, upstreams, a store and callers, and injects faults.
type soak struct {
	soakConfig
	random  *rand.Rand
	started time.Time
	store   *mock.Store
	// closers stop the servers; they are called in reverse order.
	closers []func()
	hosts   []*soakHost
	// publishMu is held while a configuration is written, so that concurrent faults
	// write their versions to the store in order.
	publishMu sync.Mutex
	// serviceTime is the service time of upstreams without faults, in nanoseconds.
	serviceTime atomic.Int64
	// callers counts the callers that were started.
	callers atomic.Int64

	// mu guards the fields below.
	mu        sync.Mutex
	upstreams []*soakUpstream
	// shardSets are all sets of shards; the next configuration uses the last one.
	shardSets [][]string
	// routeCount counts the routes of the versions.
	routeCount int
	soakHistory
}

// soakHistory records what happens in a soak, for the checks after the run.
type soakHistory struct {
	// injected counts the faults by kind, checked the checks by guarantee.
	injected, checked map[string]int
	requests          []soakRequest
	// versions are the published configurations, in order.
	versions []publishedVersion
	// document is the newest configuration.
	document platform.Document
	// storeDisturbedAt is when a fault of the store last started or ended.
	storeDisturbedAt time.Duration
	// evacuatedAt is when the first hall was evacuated, or 0.
	evacuatedAt time.Duration
}

// publishedVersion is a published configuration and the number of its version routes.
type publishedVersion struct {
	publishedAt time.Duration
	routeCount  int
}

// newSoak starts the hosts, the upstreams and the store of a soak. The returned function
// stops them.
func newSoak(c soakConfig) (*soak, func(), error) {
	s := newEmptySoak(c)
	if err := s.setUp(); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, s.close, nil
}

// newEmptySoak returns a soak without hosts and upstreams.
func newEmptySoak(c soakConfig) *soak {
	return &soak{
		soakConfig: c, random: rand.New(rand.NewPCG(c.Seed, 0)), started: time.Now(), store: mock.NewStore(),
		soakHistory: soakHistory{injected: map[string]int{}, checked: map[string]int{}},
	}
}

func (s *soak) now() time.Duration { return time.Since(s.started) }

func (s *soak) close() {
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		// The next soak in this process uses the same addresses.
		h.awaitEnd()
	}
	for _, c := range slices.Backward(s.closers) {
		c()
	}
}

// run injects faults while callers send requests, clears the faults, and leaves the
// hosts time to recover before the callers stop.
func (s *soak) run(ctx context.Context) error {
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.watchMemory(callers) })
	for i := range s.Callers {
		c := &caller{host: i % len(s.hosts), step: 1, pause: soakThinkTime}
		wg.Go(func() { s.runCaller(callers, c) })
	}
	sleepContext(ctx, soakWarmup)
	faults, stopFaults := context.WithTimeout(ctx, s.FaultDuration)
	wg.Go(func() { s.injectOverload(faults) })
	wg.Go(func() { s.injectEndless(faults) })
	wg.Go(func() { s.injectCuts(faults) })
	wg.Go(func() { s.injectCrowds(faults) })
	s.injectFaults(faults)
	stopFaults()
	s.clearFaults()
	if s.Evacuate {
		s.evacuateHall()
	}
	sleepContext(ctx, soakRecoveryTime+soakFinalTime)
	stopCallers()
	wg.Wait()
	return ctx.Err()
}

// sleepContext sleeps until d has passed or ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitReady waits until all hosts are ready.
func (s *soak) waitReady(ctx context.Context) error {
	for deadline := s.now() + soakReadyTimeout; s.now() < deadline && ctx.Err() == nil; sleepContext(ctx, soakReadyInterval) {
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
	return fmt.Errorf("hosts are not ready, see their logs in %s", s.Dir)
}
