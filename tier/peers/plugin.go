package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"loomgap/tier/kernel"
)

// defaultHeartbeat is the time between heartbeats if the settings give none. Not
// measured; CAPACITY.md gives the cost by the size of a hall.
const defaultHeartbeat = time.Second

// plugin joins the entry hosts.
type plugin struct{}

var _ kernel.Plugin = plugin{}

func init() { kernel.Register(plugin{}) }

func (plugin) Name() string { return "Peers" }

func (plugin) Default(s *kernel.Settings) {
	if s.Beat == 0 {
		s.Beat = defaultHeartbeat
	}
}

func (plugin) Skip(*kernel.Settings) bool { return false }

func (plugin) Run(ctx context.Context, k *kernel.Kernel) (func(), error) {
	n, closeNode, err := newNode(k)
	if err != nil {
		return nil, err
	}
	k.Peers = n
	g := newGossip(k, n, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)))
	g.fetches = serveFetches(k, n, g.sendAll)
	k.Handle(methodAnnounce, (&announcementServer{kernel: k, fetches: g.fetches}).onAnnouncement)
	k.Handle(methodHeartbeat, g.onHeartbeat)
	stopStrikes := ServeStrikes(k)
	stopHeartbeats := start(ctx, g.loop)
	return func() {
		stopStrikes()
		stopHeartbeats()
		closeNode()
	}, nil
}

// start runs loops, each in a goroutine of its own. The clean-up function ends their
// context and waits until they have returned.
func start(ctx context.Context, loops ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
