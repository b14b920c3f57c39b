package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Overload of a soak.
const (
	// soakSurgeFactor is the number of callers during an overload, as a multiple of the
	// normal one. The additional callers do not pause between requests.
	soakSurgeFactor = 5
	// soakSurgeService is the service time of a request at an upstream during an overload. The
	// slots are then in use, although the additional callers wait for their answers.
	soakSurgeService = 40 * time.Millisecond
	// maxSurgeInterval is the longest time between the end of an overload and the next one.
	maxSurgeInterval = 2 * time.Second
	minSurgeDuration = time.Second
	// maxExtraSurgeDuration limits the random time that is added to minSurgeDuration.
	maxExtraSurgeDuration = 2 * time.Second
	// soakSlots is the number of requests that an upstream runs at a time, and soakQueue the
	// number of those that wait for a slot before it sheds requests.
	soakSlots, soakQueue = 4, 12
)

// surge is an overload by additional callers.
type surge struct {
	name string
	// first is the first host that gets requests, step the distance to the next one: hosts
	// are of the two halls in turn.
	first, step int
}

// surges are the kinds of overload that a soak draws from.
var surges = []surge{
	{"overload", 0, 1},
	{"overload of one hall", 0, len(halls)},
	{"overload of one hall", 1, len(halls)},
}

// injectOverload starts overloads at random times until ctx ends, and waits until the last one
// has ended. It has a random source of its own, so that the other faults of a seed do not
// depend on it.
func (s *soak) injectOverload(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	for ctx.Err() == nil {
		sleepContext(ctx, time.Duration(random.Int64N(int64(maxSurgeInterval))))
		kind := surges[random.IntN(len(surges))]
		duration := minSurgeDuration + time.Duration(random.Int64N(int64(maxExtraSurgeDuration)))
		if ctx.Err() == nil {
			s.runSurge(ctx, kind, duration)
		}
	}
}

// runSurge sends the requests of additional callers for some time.
func (s *soak) runSurge(ctx context.Context, kind surge, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	s.mu.Lock()
	s.injected[kind.name]++
	s.mu.Unlock()
	s.serviceTime.Store(int64(soakSurgeService))
	defer s.serviceTime.Store(0)
	var callers sync.WaitGroup
	for i := range (soakSurgeFactor - 1) * s.Callers {
		c := &caller{host: (kind.first + i*kind.step) % len(s.hosts), step: kind.step}
		callers.Go(func() { s.runCaller(ctx, c) })
	}
	callers.Wait()
}

// upstreamSlots are the slots of an upstream. A request that finds all of them in use waits
// for one.
type upstreamSlots struct {
	free chan struct{}

	mu sync.Mutex
	// running and waiting count requests.
	running, waiting int
}

func newUpstreamSlots() *upstreamSlots {
	l := &upstreamSlots{free: make(chan struct{}, soakSlots)}
	for range soakSlots {
		l.free <- struct{}{}
	}
	return l
}

// reserve reserves a place in the queue and reports whether there was one.
func (l *upstreamSlots) reserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running+l.waiting >= soakSlots+soakQueue {
		return false
	}
	l.waiting++
	return true
}

// run runs a request that has a place in the queue once there is a slot. It returns without
// running it if the context ends first.
func (l *upstreamSlots) run(ctx context.Context, serve func()) {
	select {
	case <-l.free:
	case <-ctx.Done():
		l.count(0, -1)
		return
	}
	l.count(1, -1)
	defer func() {
		l.count(-1, 0)
		l.free <- struct{}{}
	}()
	serve()
}

func (l *upstreamSlots) count(running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running += running
	l.waiting += waiting
}

// load returns the load in the platform's format: running, waiting and slots.
func (l *upstreamSlots) load() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", l.running, l.waiting, soakSlots)
}
