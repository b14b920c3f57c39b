package kernel

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Phase is where a host is in its life.
type Phase string

// The phases.
const (
	PhaseStarting Phase = "Starting"
	PhaseReady    Phase = "Ready"
	PhaseDraining Phase = "Draining"
)

const (
	// settlePollInterval is how often a stopping host checks whether it was asked for its
	// readiness.
	settlePollInterval = 20 * time.Millisecond
	// inFlightPollInterval is how often a stopping host checks whether requests are in flight.
	inFlightPollInterval = 5 * time.Millisecond
)

// lifecycle is where a host is in its life, and what a planned stop waits for. It is
// safe for concurrent use.
type lifecycle struct {
	// InFlight counts the requests in flight, those of other hosts included.
	InFlight atomic.Int64
	// phase holds a Phase; it never goes back from PhaseDraining.
	phase atomic.Value
	// stopping is closed, once, when a planned stop is asked for.
	stopping chan struct{}
	stopOnce sync.Once
	// notReadyAnswers counts how often a stopping host answered that it is not ready.
	notReadyAnswers atomic.Int64
}

// Phase is where the host is in its life.
func (l *lifecycle) Phase() Phase { return l.phase.Load().(Phase) }

// SetPhase moves the host on; a draining host never goes back.
func (l *lifecycle) SetPhase(p Phase) {
	if l.Phase() != PhaseDraining {
		l.phase.Store(p)
	}
}

// Stop asks for a planned stop.
func (l *lifecycle) Stop() { l.stopOnce.Do(func() { close(l.stopping) }) }

// Stopping is closed when a planned stop was asked for.
func (l *lifecycle) Stopping() <-chan struct{} { return l.stopping }

// Ready reports whether the host is to get requests, for whoever asks.
func (k *Kernel) Ready() bool {
	if k.Phase() == PhaseDraining {
		k.notReadyAnswers.Add(1)
		return false
	}
	return k.Phase() == PhaseReady && k.Responsive()
}

// Settle waits until the balancer knows that this host stops: for the setting Settle,
// and then until it was asked SettleAsks times, but no longer than SettleMost.
func (k *Kernel) Settle() {
	started := k.Now()
	time.Sleep(k.Settings.Settle)
	for k.notReadyAnswers.Load() < int64(k.Settings.SettleAsks) && k.Now()-started < k.Settings.SettleMost {
		time.Sleep(settlePollInterval)
	}
	k.Log.Info().Int64("Asked", k.notReadyAnswers.Load()).Dur("Took", k.Now()-started).Msg("no more requests taken")
}

// AwaitIdle waits until no request is in flight, those included that are carried
// out for other hosts; false if the context ended before. Without it a planned stop
// would cut requests whose callers are at another host.
func (l *lifecycle) AwaitIdle(ctx context.Context) bool {
	for l.InFlight.Load() > 0 {
		if ctx.Err() != nil {
			return false
		}
		Sleep(ctx, inFlightPollInterval)
	}
	return true
}
