package pass

import (
	"context"
	"sync"
	"time"

	"loomgap/tier/kernel"
)

const (
	// startBound is the age of the process up to which a request waits for the first
	// configuration: twice what that takes if the platform answers. Without it, requests
	// are refused because the configuration arrives a few milliseconds later.
	startupWait = 150 * time.Millisecond
	// confirmBound is the age of the process from which it serves on a document that nobody
	// has confirmed to be the newest.
	confirmTimeout = 5 * time.Second
)

// startGate holds back what may not start yet; it opens once, for good. It is safe for
// concurrent use.
type startGate struct {
	opened chan struct{}
	once   sync.Once
}

func newStartGate() startGate { return startGate{opened: make(chan struct{})} }

// open lets all pass that wait; it may be called again.
func (g *startGate) open() { g.once.Do(func() { close(g.opened) }) }

// await waits until the gate is open, at most for some time, and reports whether it is. An
// open gate lets pass whatever the time and the context.
func (g *startGate) await(ctx context.Context, timeout time.Duration) bool {
	select {
	case <-g.opened:
		return true
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-g.opened:
		return true
	case <-ctx.Done():
		return false
	}
}

// markReady makes the host ready once it knows documents and upstreams, and that they
// are no older than what the platform or another host has; it runs on the control
// thread.
func markReady(k *kernel.Kernel, v *kernel.View) {
	if v.Index == nil || v.Directory == nil || k.Phase() != kernel.PhaseStarting {
		return
	}
	if !v.Confirmed && k.Now() < confirmTimeout {
		return
	}
	k.SetPhase(kernel.PhaseReady)
	k.Log.Info().Uint64("Revision", v.Index.Revision).Bool("Confirmed", v.Confirmed).
		Int("Upstreams", v.Directory.Size()).Msg("host ready")
}
