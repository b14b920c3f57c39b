package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"loomgap/tier/kernel"
)

// defaultHeartbeatInterval is the time between heartbeats if the settings give none.
const defaultHeartbeatInterval = time.Second

// plugin starts the exchanges between entry hosts.
type plugin struct{}

var _ kernel.Plugin = plugin{}

func init() { kernel.Register(plugin{}) }

func (plugin) Name() string { return "Peers" }

func (plugin) Default(s *kernel.Settings) {
	if s.Beat == 0 {
		s.Beat = defaultHeartbeatInterval
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
	g.fetcher = newFetcher(k, n, g.sendAll)
	server := &announcementServer{kernel: k, fetcher: g.fetcher}
	kernel.HandleMessage(k, methodAnnounce, "announcement", server.onAnnouncement)
	kernel.HandleMessage(k, methodHeartbeat, "heartbeat", g.onHeartbeat)
	stopCrashReports := ServeCrashReports(k)
	loops := []func(context.Context){g.loop}
	if k.Settings.Adapter != "" {
		g.announcements = server
		loops = append(loops, g.discoveryLoop)
	}
	stopHeartbeats := kernel.RunLoops(ctx, loops...)
	return func() {
		stopCrashReports()
		stopHeartbeats()
		closeNode()
	}, nil
}
