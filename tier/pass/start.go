package pass

import (
	"context"
	"sync"
	"time"

	"loomgap/tier/kernel"
)

const (
	// startBound is the age of the process up to which a request waits for the first
	// configuration: twice what that takes if the platform answers, 20 to 75 ms after
	// the listener opens. Without it, five to six requests of each restart of all hosts
	// are refused because the configuration arrives a few milliseconds later.
	startBound = 150 * time.Millisecond
	// confirmBound is the age of the process from which it serves on a document that
	// nobody has confirmed to be the newest. Not measured.
	confirmBound = 5 * time.Second
)

// startGate opens once there is a configuration to serve requests by.
type startGate struct {
	configured chan struct{}
	once       sync.Once
}

func newStartGate() startGate { return startGate{configured: make(chan struct{})} }

// open lets requests pass; it may be called again.
func (g *startGate) open() { g.once.Do(func() { close(g.configured) }) }

// await waits for the first configuration, at most until a request may no longer wait
// for it, and reports whether there is one.
func (g *startGate) await(ctx context.Context, now time.Duration) bool {
	select {
	case <-g.configured:
		return true
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, startBound-now)
	defer cancel()
	select {
	case <-g.configured:
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
	if !v.Confirmed && k.Now() < confirmBound {
		return
	}
	k.SetPhase(kernel.PhaseReady)
	k.Log.Info().Uint64("Revision", v.Index.Revision).Bool("Confirmed", v.Confirmed).
		Int("Upstreams", v.Directory.Size()).Msg("host ready")
}
