package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Crowds of a soak.
const (
	// soakCrowdClients limits the clients of a crowd: several daemons share the machine.
	soakCrowdClients = 150
	// maxCrowdInterval is the longest time between the end of a crowd and the next one.
	maxCrowdInterval = time.Second
	minCrowdDuration = time.Second
	// maxExtraCrowdDuration limits the random time that is added to minCrowdDuration.
	maxExtraCrowdDuration = 2 * time.Second
)

// soakCrowdDoors are the doors behind which no request reaches an upstream, so that the checks of what
// upstreams ran are about the callers' requests alone.
var soakCrowdDoors = []crowdDoor{doorNoRoute, doorReady, doorMetrics, doorPeer}

// injectCrowds lets crowds of clients that do not behave come to random hosts until ctx ends. Like
// injectOverload it has a random source of its own.
func (s *soak) injectCrowds(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 3))
	for ctx.Err() == nil {
		form := &crowdForms[random.IntN(len(crowdForms))]
		door := soakCrowdDoors[random.IntN(len(soakCrowdDoors))]
		host := s.hosts[random.IntN(len(s.hosts))]
		duration := minCrowdDuration + time.Duration(random.Int64N(int64(maxExtraCrowdDuration)))
		pause := time.Duration(random.Int64N(int64(maxCrowdInterval)))
		if !slices.Contains(form.doors, door) {
			continue
		}
		s.mu.Lock()
		s.injected["crowd: "+form.name]++
		s.mu.Unlock()
		s.runCrowd(ctx, form, door, host, duration)
		sleepContext(ctx, pause)
	}
}

// runCrowd plays a crowd at a door of a host for some time.
func (s *soak) runCrowd(ctx context.Context, f *crowdForm, door crowdDoor, h *soakHost, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var clients sync.WaitGroup
	for i := range min(f.clients, soakCrowdClients) {
		c := &crowdClient{ctx: ctx, door: door, number: i, random: rand.New(rand.NewPCG(s.Seed, uint64(i)))}
		clients.Go(func() { c.run(h.address(door), f) })
	}
	clients.Wait()
}
