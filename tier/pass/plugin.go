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

// The server for callers is bounded more widely than any document's limits.
const (
	// callerHeaderBound is how long a caller may take to send the headers of a request.
	callerHeaderTimeout = 10 * time.Second
	// callerIdleBound is how long a caller's connection may be idle.
	callerIdleTimeout = 2 * time.Minute
	// callerHeaderBytes bounds the headers of a request, in bytes.
	maxCallerHeaderBytes = 64 << 10
)

type plugin struct{}

var _ kernel.Plugin = plugin{}

func init() { kernel.Register(plugin{}) }

func (plugin) Name() string { return "Routes" }

func (plugin) Default(*kernel.Settings) {}

func (plugin) Skip(s *kernel.Settings) bool { return s.Adapter == "" }

func (plugin) Run(_ context.Context, k *kernel.Kernel) (func(), error) {
	a, err := kernel.FindAdapter(k.Settings.Adapter)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", k.Settings.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w: free the address or set -Listen", k.Settings.Listen, err)
	}
	e, closeEngine := newEngine(k, a.Headers)
	k.OnView(func(v *kernel.View) { markReady(k, v) })
	s := &http.Server{Handler: e, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes}
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
