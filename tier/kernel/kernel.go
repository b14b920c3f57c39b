package kernel

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/guard"
	"loomgap/tier/policy"
)

// Kernel owns the control state of one entry host.
type Kernel struct {
	Config
	// RequestLog logs individual requests. Lines over the configured rate are dropped and
	// counted, so that load cannot flood the log.
	RequestLog zerolog.Logger
	// Peers is set by the plug-in that serves the peer protocol.
	Peers PeerCaller
	// Budgets limits the messages from outside that are held at the same time.
	Budgets MessageBudgets
	// Clients is the account of what the clients of this process make it hold.
	Clients *guard.Guard

	lifecycle
	suspensions suspendMeter
	// reloadable holds the settings that may change while the process runs.
	reloadable atomic.Pointer[ReloadableSettings]
	// jobs are run by the control thread, in order.
	jobs chan func(*State)
	// view is the last published state.
	view atomic.Pointer[View]
	// lastTick is the time of the control thread's last tick, in nanoseconds since
	// Started.
	lastTick atomic.Int64
	// handlers maps each method to its Handler.
	handlers sync.Map
	// gates returns the states of the gates; nil without a plug-in that has gates.
	gates atomic.Pointer[func() []GateState]
	// viewCallbacks are called with every new view. They are used on the control thread only.
	viewCallbacks []func(*View)
}

// Config configures a kernel. It does not change after construction.
type Config struct {
	Settings Settings
	Log      zerolog.Logger
	Tracer   trace.Tracer
	// Fleet is shared by all traffic.
	Fleet *policy.Fleet
	// Started is the origin of Now.
	Started time.Time
	// BootTime reads a clock that also advances while the machine is suspended; nil to
	// ignore suspensions.
	BootTime func() (time.Duration, error)
	// FlushLog writes buffered log lines; nil if the log is not buffered.
	FlushLog func()
}

// New creates a kernel and starts its control thread. The returned cleanup function stops
// it.
func New(c Config) (*Kernel, func()) {
	k := &Kernel{
		Config:     c,
		RequestLog: c.Log.Sample(newRateSampler(c.Settings.LogRate)),
		Budgets:    newMessageBudgets(&c.Settings),
		jobs:       make(chan func(*State), maxQueuedJobs),
		lifecycle:  lifecycle{stopping: make(chan struct{})},
	}
	k.Clients = newClients(&c.Settings, c.Log.Sample(newRateSampler(max(c.Settings.LogRate/clientLogDivisor, 1))))
	if err := k.suspensions.start(c.BootTime, k.monotonic); err != nil {
		k.Log.Warn().Err(err).Msg("failed to read boot clock, machine suspensions are not detected")
	}
	k.reloadable.Store(&ReloadableSettings{Seeds: c.Settings.Seeds, RetryBudget: c.Settings.RetryBudget})
	k.phase.Store(PhaseStarting)
	state := newState()
	k.view.Store(state.view())
	k.lastTick.Store(int64(k.Now()))
	return k, RunLoops(context.Background(), func(ctx context.Context) { k.control(ctx, state) })
}

// Now returns the time since the process started, by the monotonic clock plus the detected
// suspensions of the machine. State therefore ages while the machine is suspended, and a
// step of the wall clock has no effect.
func (k *Kernel) Now() time.Duration {
	return k.monotonic() + time.Duration(k.suspensions.total.Load())
}

func (k *Kernel) monotonic() time.Duration { return time.Since(k.Started) }

// Reloadable returns the settings that may change while the process runs.
func (k *Kernel) Reloadable() ReloadableSettings { return *k.reloadable.Load() }

// Reload applies changed settings and makes the control thread publish a view.
func (k *Kernel) Reload(l ReloadableSettings) {
	k.reloadable.Store(&l)
	k.Do(func(s *State) { s.changed = true })
}

// View returns the last published state, which is immutable.
func (k *Kernel) View() *View { return k.view.Load() }

// Do queues a job for the control thread. It blocks while the queue is full.
func (k *Kernel) Do(job func(*State)) { k.jobs <- job }

// DoAndWait runs a job on the control thread and waits until it has returned. Its changes
// may not be published yet.
func (k *Kernel) DoAndWait(job func(*State)) {
	done := make(chan struct{})
	k.Do(func(s *State) {
		defer close(done)
		job(s)
	})
	<-done
}

// DoEvery runs a job on the control thread at each interval until the context is done.
func (k *Kernel) DoEvery(ctx context.Context, interval time.Duration, job func(*State)) {
	tick := time.Tick(interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			k.Do(job)
		}
	}
}

// DoWithResult runs a job on the control thread and returns its result, or the context's
// error if the context is done first.
func DoWithResult[T any](ctx context.Context, k *Kernel, job func(*State) T) (T, error) {
	answers := make(chan T, 1)
	k.Do(func(s *State) { answers <- job(s) })
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// OnView registers a function that the control thread calls with the current view and every
// later one.
func (k *Kernel) OnView(f func(*View)) {
	k.Do(func(*State) {
		k.viewCallbacks = append(k.viewCallbacks, f)
		f(k.view.Load())
	})
}
