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
	soakReadyBound = 20 * time.Second
	// soakReadyEvery is the time between two looks whether they are.
	soakReadyEvery = 50 * time.Millisecond
	// soakWarm is how long callers ask before the first fault.
	soakWarm = 3 * time.Second
	// soakHeal is how long after the last fault the hosts have to recover.
	soakHeal = 6 * time.Second
	// soakLast is how long callers ask after that; what they get is judged for
	// recovery.
	soakLast = 3 * time.Second
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
	publishing sync.Mutex

	// mu guards what follows.
	mu        sync.Mutex
	upstreams []*soakUpstream
	// sets are the sets of shards so far; the last one is published next.
	sets [][]string
	// routes counts the routes of the versions.
	routes int
	soakRecord
}

// soakRecord is what was done and seen in a soak. The checks judge it once the run
// is over.
type soakRecord struct {
	// injected counts the faults, checked the checks, both by name.
	injected, checked map[string]int
	asked             []asked
	// versions are the published configurations, in order.
	versions []version
	// document is the newest configuration.
	document platform.Document
	// storeTouched is when the store was last disturbed.
	storeTouched time.Duration
	// evacuatedAt is when the first hall was evacuated; 0 for never.
	evacuatedAt time.Duration
}

type version struct {
	at     time.Duration
	routes int
}

func newSoak(c soakConfig) (*soak, func(), error) {
	s := &soak{
		soakConfig: c, random: rand.New(rand.NewPCG(c.Seed, 0)), started: time.Now(), store: mock.NewStore(),
		soakRecord: soakRecord{injected: map[string]int{}, checked: map[string]int{}},
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
	var all sync.WaitGroup
	for i := range s.Callers {
		all.Go(func() { s.call(callers, i) })
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
	for end := s.now() + soakReadyBound; s.now() < end && ctx.Err() == nil; sleep(ctx, soakReadyEvery) {
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
