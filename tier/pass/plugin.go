package pass

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"loomgap/tier/kernel"
)

// Bounds of the callers' server, wider than any document's limits.
const (
	headerBound = 10 * time.Second
	idleBound   = 2 * time.Minute
	headerBytes = 64 << 10
)

// plugin serves routed requests.
type plugin struct{}

var _ kernel.Plugin = plugin{}

func init() { kernel.Register(plugin{}) }

// Name implements kernel.Plugin.
func (plugin) Name() string { return "Routes" }

// Default implements kernel.Plugin.
func (plugin) Default(*kernel.Settings) {}

// Skip implements kernel.Plugin.
func (plugin) Skip(s *kernel.Settings) bool { return s.Adapter == "" }

// Run implements kernel.Plugin.
func (plugin) Run(_ context.Context, k *kernel.Kernel) (func(), error) {
	a, err := kernel.AdapterNamed(k.Settings.Adapter)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", k.Settings.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w: free the address or set -Listen", k.Settings.Listen, err)
	}
	e, closeEngine := NewEngine(k, a.Headers)
	k.OnView(func(v *kernel.View) { ready(k, v) })
	s := &http.Server{Handler: e, ReadHeaderTimeout: headerBound, IdleTimeout: idleBound, MaxHeaderBytes: headerBytes}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			k.Log.Error().Err(err).Msg("callers are no longer served")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), k.Settings.StopBound)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			k.Log.Warn().Err(err).Int64("InFlight", k.InFlight.Load()).Msg("stop with requests in flight")
			_ = s.Close()
		}
		if !k.AwaitIdle(ctx) {
			k.Log.Warn().Int64("InFlight", k.InFlight.Load()).Msg("stop with requests of other hosts in flight")
		}
		closeEngine()
	}, nil
}

// ready makes the host ready once it knows documents and upstreams, and that
// they are no older than what the platform or a peer has.
func ready(k *kernel.Kernel, v *kernel.View) {
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

// confirmBound is how long a host that starts waits for somebody to confirm
// its document; then it serves on what it has.
const confirmBound = 5 * time.Second
