package kernel

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Phase is the lifecycle phase of a host.
type Phase string

// The lifecycle phases, in order.
const (
	PhaseStarting Phase = "Starting"
	PhaseReady    Phase = "Ready"
	PhaseDraining Phase = "Draining"
)

const (
	// settlePollInterval is the interval at which a stopping host polls notReadyAnswers.
	settlePollInterval = 20 * time.Millisecond
	// inFlightPollInterval is the interval at which a stopping host polls InFlight.
	inFlightPollInterval = 5 * time.Millisecond
)

// lifecycle tracks the phase of a host and what a graceful shutdown waits for. It is safe
// for concurrent use.
type lifecycle struct {
	// InFlight counts the requests in flight, including those run for other hosts.
	InFlight atomic.Int64
	// phase holds a Phase; once it is PhaseDraining, it does not change.
	phase atomic.Value
	// stopping is closed once, when a graceful shutdown is requested.
	stopping chan struct{}
	stopOnce sync.Once
	// notReadyAnswers counts the readiness checks answered while draining.
	notReadyAnswers atomic.Int64
	// stopsAt is when a planned stop ends requests in flight, as time since the process started in
	// nanoseconds; 0 before the stop.
	stopsAt atomic.Int64
}

// Phase returns the current phase.
func (l *lifecycle) Phase() Phase { return l.phase.Load().(Phase) }

// SetPhase moves the host to a phase. A draining host stays draining.
func (l *lifecycle) SetPhase(p Phase) {
	if l.Phase() != PhaseDraining {
		l.phase.Store(p)
	}
}

// Stop requests a graceful shutdown.
func (l *lifecycle) Stop() { l.stopOnce.Do(func() { close(l.stopping) }) }

// Stopping returns a channel that is closed when a graceful shutdown is requested.
func (l *lifecycle) Stopping() <-chan struct{} { return l.stopping }

// Ready answers a readiness check: it reports whether the host should receive requests.
func (k *Kernel) Ready() bool {
	if k.Phase() == PhaseDraining {
		k.notReadyAnswers.Add(1)
		return false
	}
	return k.Phase() == PhaseReady && k.Responsive()
}

// Settle waits until the load balancer has had time to see that this host is not ready: at
// least for the setting Settle, and until SettleAsks readiness checks have been answered, but
// at most for SettleMost.
func (k *Kernel) Settle() {
	started := k.Now()
	k.stopsAt.Store(int64(started + max(k.Settings.Settle, k.Settings.SettleMost) + k.Settings.StopBound))
	time.Sleep(k.Settings.Settle)
	for k.notReadyAnswers.Load() < int64(k.Settings.SettleAsks) && k.Now()-started < k.Settings.SettleMost {
		time.Sleep(settlePollInterval)
	}
	k.Log.Info().Int64("Asked", k.notReadyAnswers.Load()).Dur("Took", k.Now()-started).Msg("settle period ended, no longer accepting requests")
}

// StopLeft returns the time until a planned stop ends requests in flight, and whether there is one.
func (k *Kernel) StopLeft() (left time.Duration, stopping bool) {
	at := time.Duration(k.stopsAt.Load())
	if at == 0 {
		return 0, false
	}
	return at - k.Now(), true
}

// AwaitIdle waits until no request is in flight and returns true, or returns false if the
// context is done first. Requests run for other hosts count, so that a graceful shutdown
// does not interrupt them.
func (l *lifecycle) AwaitIdle(ctx context.Context) bool {
	for l.InFlight.Load() > 0 {
		if ctx.Err() != nil {
			return false
		}
		Sleep(ctx, inFlightPollInterval)
	}
	return true
}
