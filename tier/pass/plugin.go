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

// Limits of the HTTP server for callers. They are wider than the limits of any document.
const (
	// callerHeaderTimeout limits the time to read the headers of a request.
	callerHeaderTimeout  = 10 * time.Second
	callerIdleTimeout    = 2 * time.Minute
	maxCallerHeaderBytes = 64 << 10
	// minTakeTime is the least time in which a caller may take a response, and minTakeRate, in
	// bytes per second, adds time for a large one. Without them a caller that takes nothing holds
	// its response for good.
	minTakeTime = 10 * time.Second
	minTakeRate = 128 << 10
)

// takeLimit limits the time in which a caller takes a response.
type takeLimit struct {
	least time.Duration
	// rate is in bytes per second.
	rate int
}

// timeout returns the time in which a caller may take a number of bytes.
func (l takeLimit) timeout(size int) time.Duration {
	return l.least + time.Duration(size)*time.Second/time.Duration(l.rate)
}

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
		return nil, fmt.Errorf("listen on %s: %w (free the address or set -Listen)", k.Settings.Listen, err)
	}
	e, closeEngine := newEngine(k, a.Headers)
	k.OnView(func(v *kernel.View) { markReady(k, v) })
	s := &http.Server{Handler: e, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			k.Log.Error().Err(err).Msg("http server stopped unexpectedly")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), k.Settings.StopBound)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			k.Log.Warn().Err(err).Int64("InFlight", k.InFlight.Load()).Msg("stopping with requests in flight")
			_ = s.Close()
		}
		if !k.AwaitIdle(ctx) {
			k.Log.Warn().Int64("InFlight", k.InFlight.Load()).Msg("stopping with requests of other hosts in flight")
		}
		closeEngine()
	}, nil
}
