package pass

import (
	"context"
	"sync"
	"time"

	"loomgap/tier/kernel"
)

const (
	// startupWait is the age of the process up to which requests wait for the first
	// configuration. Without it, requests are refused although the configuration arrives a
	// few milliseconds later.
	startupWait = 150 * time.Millisecond
	// confirmTimeout is the age of the process from which it serves requests with a
	// document that is not confirmed to be the newest.
	confirmTimeout = 5 * time.Second
)

// startGate blocks waiters until it is opened, once and permanently. It is safe for
// concurrent use.
type startGate struct {
	opened chan struct{}
	once   sync.Once
}

func newStartGate() startGate { return startGate{opened: make(chan struct{})} }

// open releases all waiters. It may be called again.
func (g *startGate) open() { g.once.Do(func() { close(g.opened) }) }

// await waits until the gate opens, the timeout passes or the context ends, and reports
// whether the gate is open. It always returns true if the gate is already open.
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

// markReady makes a starting host ready once it has a document and a directory that are
// confirmed to be the newest, or that were not confirmed in time. It runs on the control
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
