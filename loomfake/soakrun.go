package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"loomgap/platform"
	"loomgap/platform/mock"
)

// Times of a soak.
const (
	// soakReadyBound is how long hosts may take to be ready at the start.
	soakReadyTimeout = 20 * time.Second
	// soakReadyEvery is the time between two looks whether they are.
	soakReadyInterval = 50 * time.Millisecond
	// soakWarm is how long callers ask before the first fault.
	soakWarmup = 3 * time.Second
	// soakHeal is how long after the last fault the hosts have to recover.
	soakRecoveryTime = 6 * time.Second
	// soakLast is how long callers ask after that; what they get is judged for
	// recovery.
	soakFinalTime = 3 * time.Second
)

type soak struct {
	soakConfig
	random  *rand.Rand
	started time.Time
	store   *mock.Store
	// closers end what was started, the last one first.
	closers []func()
	hosts   []*soakHost
	// publishing is held while a configuration is written, so that the versions
	// come into the store in their order: faults that end together publish together.
	publishMu sync.Mutex

	// mu guards what follows.
	mu        sync.Mutex
	upstreams []*soakUpstream
	// sets are the sets of shards so far; the last one is published next.
	shardSets [][]string
	// routes counts the routes of the versions.
	routeCount int
	soakHistory
}

// soakRecord is what was done and seen in a soak. The checks judge it once the run
// is over.
type soakHistory struct {
	// injected counts the faults, checked the checks, both by name.
	injected, checked map[string]int
	requests          []soakRequest
	// versions are the published configurations, in order.
	versions []publishedVersion
	// document is the newest configuration.
	document platform.Document
	// storeTouched is when the store was last disturbed.
	storeDisturbedAt time.Duration
	// evacuatedAt is when the first hall was evacuated; 0 for never.
	evacuatedAt time.Duration
}

type publishedVersion struct {
	publishedAt time.Duration
	routeCount  int
}

func newSoak(c soakConfig) (*soak, func(), error) {
	s := &soak{
		soakConfig: c, random: rand.New(rand.NewPCG(c.Seed, 0)), started: time.Now(), store: mock.NewStore(),
		soakHistory: soakHistory{injected: map[string]int{}, checked: map[string]int{}},
	}
	if err := s.setUp(); err != nil {
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
	for _, h := range s.hosts {
		// The next soak of this process has the same addresses.
		h.awaitEnd()
	}
	for _, c := range slices.Backward(s.closers) {
		c()
	}
}

// run warms up, injects faults while callers ask, heals all, and asks on.
func (s *soak) run(ctx context.Context) error {
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for i := range s.Callers {
		wg.Go(func() { s.runCaller(callers, i) })
	}
	sleepContext(ctx, soakWarmup)
	faults, stopFaults := context.WithTimeout(ctx, s.FaultDuration)
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

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitReady waits until all hosts call themselves ready.
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
	return fmt.Errorf("hosts are not ready: look at their logs in %s", s.Dir)
}
