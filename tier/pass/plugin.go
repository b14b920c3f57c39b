package pass

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/guard"
	"loomgap/tier/kernel"
)

// Limits for callers that apply if the document sets none.
const (
	// defaultHeadTime limits the time to read the head of a request.
	defaultHeadTime     = 10 * time.Second
	defaultIdleTime     = 2 * time.Minute
	defaultMaxHeadBytes = 64 << 10
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

// newDoor returns the door for callers.
func newDoor(k *kernel.Kernel) *guard.Door {
	return k.NewDoor(kernel.DoorCallers, guard.DoorConfig{Limits: func() guard.Limits { return limitsInForce(k.View()) }})
}

// limitsInForce returns the limits for callers that a view's document sets.
func limitsInForce(v *kernel.View) guard.Limits {
	var l config.Limits
	if v.Index != nil {
		l = v.Index.Document.Limits
	}
	return guard.Limits{
		HeadBytes: positiveOr(l.Header, defaultMaxHeadBytes), HeadTime: positiveOr(time.Duration(l.HeaderTime), defaultHeadTime),
		IdleTime: positiveOr(time.Duration(l.Idle), defaultIdleTime),
	}
}

// positiveOr returns a limit, or the default if there is none.
func positiveOr[T int64 | time.Duration](limit, byDefault T) T {
	if limit > 0 {
		return limit
	}
	return byDefault
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
	door := newDoor(k)
	l, err := door.Listen(k.Settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w (free the address or set -Listen)", k.Settings.Listen, err)
	}
	e, closeEngine := newEngine(k, a.Headers)
	k.OnView(func(v *kernel.View) { markReady(k, v) })
	s := door.Server(e)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			k.Log.Error().Err(err).Msg("http server stopped unexpectedly")
		}
	}()
	return func() {
		shutDown(k, s)
		closeEngine()
	}, nil
}

// shutDown stops accepting requests and waits for those in flight, for StopBound or what the
// planned stop has left.
func shutDown(k *kernel.Kernel, s *http.Server) {
	left, _ := k.StopLeft()
	ctx, cancel := context.WithTimeout(context.Background(), max(left, k.Settings.StopBound))
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		k.Log.Warn().Err(err).Int64("InFlight", k.InFlight.Load()).Msg("stopping with requests in flight")
		_ = s.Close()
	}
	if !k.AwaitIdle(ctx) {
		k.Log.Warn().Int64("InFlight", k.InFlight.Load()).Msg("stopping with requests of other hosts in flight")
	}
}
