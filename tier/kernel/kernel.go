package kernel

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/policy"
)

// Kernel owns the control state of one entry host.
type Kernel struct {
	Config
	// RequestLog takes lines about single requests. Beyond a rate they are
	// dropped and counted, so that load cannot flood the log.
	RequestLog zerolog.Logger
	// Peers is set by the plug-in that serves the peer protocol.
	Peers PeerCaller

	lifecycle
	suspensions suspendMeter
	// live holds the settings that may change.
	live atomic.Pointer[ReloadableSettings]
	// jobs are run by the control thread, in order.
	jobs chan func(*State)
	// view is the state as last published.
	view atomic.Pointer[View]
	// lastTick is when the control thread last showed that the process runs, in
	// nanoseconds since started.
	lastTick atomic.Int64
	// handlers holds a Handler by method.
	handlers sync.Map
	// watchers are called for every new view; used on the control thread.
	watchers []func(*View)
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
	// BootTime reads a clock that runs on while the machine is suspended; nil if the host
	// is to take no notice of that.
	BootTime func() (time.Duration, error)
	// FlushLog writes the lines that the log holds back; nil if it holds none.
	FlushLog func()
}

// New makes a kernel and starts its control thread. The clean-up function
// stops it.
func New(c Config) (*Kernel, func()) {
	k := &Kernel{
		Config:     c,
		RequestLog: c.Log.Sample(newRateSampler(c.Settings.LogRate)),
		jobs:       make(chan func(*State), maxQueuedJobs),
		lifecycle:  lifecycle{stopping: make(chan struct{})},
	}
	if err := k.suspensions.start(c.BootTime, k.monotonic); err != nil {
		k.Log.Warn().Err(err).Msg("suspensions of the machine are not noticed")
	}
	k.live.Store(&ReloadableSettings{Seeds: c.Settings.Seeds, RetryBudget: c.Settings.RetryBudget})
	k.phase.Store(PhaseStarting)
	state := newState()
	k.view.Store(state.view())
	k.lastTick.Store(int64(k.Now()))
	return k, RunLoops(context.Background(), func(ctx context.Context) { k.control(ctx, state) })
}

// Now is the time since the process started: that of the monotonic clock, and the time
// asleep that was noticed. So the age of what is known counts a suspension of the machine,
// and a step of the time of day moves nothing.
func (k *Kernel) Now() time.Duration {
	return k.monotonic() + time.Duration(k.suspensions.total.Load())
}

func (k *Kernel) monotonic() time.Duration { return time.Since(k.Started) }

// Reloadable returns the settings that may change while the process runs.
func (k *Kernel) Reloadable() ReloadableSettings { return *k.live.Load() }

// Reload puts changed settings in force; the control thread publishes a view.
func (k *Kernel) Reload(l ReloadableSettings) {
	k.live.Store(&l)
	k.Do(func(s *State) { s.changed = true })
}

// View is the newest published state. It does not change.
func (k *Kernel) View() *View { return k.view.Load() }

// Do hands a job to the control thread.
func (k *Kernel) Do(job func(*State)) { k.jobs <- job }

// DoAndWait hands a job to the control thread and waits until it has run; what it
// changed may not be published yet.
func (k *Kernel) DoAndWait(job func(*State)) {
	done := make(chan struct{})
	k.Do(func(s *State) {
		defer close(done)
		job(s)
	})
	<-done
}

// DoEvery runs a job on the control thread at each interval until the context ends.
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

// DoWithResult runs a job on the control thread and returns its answer, unless the context ends
// before.
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

// OnView has a function called on the control thread for every new view.
func (k *Kernel) OnView(f func(*View)) {
	k.Do(func(*State) {
		k.watchers = append(k.watchers, f)
		f(k.view.Load())
	})
}
