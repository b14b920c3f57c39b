// Package kernel runs the one control thread of an entry host. Plug-ins
// register themselves, change the control state through jobs on that thread,
// and read it through an immutable view that one atomic pointer holds.
package kernel

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// Bounds of the control thread.
const (
	jobBacklog = 1024
	pulseEvery = 100 * time.Millisecond
	// pauseBound is the longest gap between pulses of a process that is taken
	// to have run all the time.
	pauseBound = time.Second
	// settleLook is how often a stopping host looks whether it was asked.
	settleLook = 20 * time.Millisecond
	// inFlightLook is how often a stopping host looks whether requests are in flight.
	inFlightLook = 5 * time.Millisecond
)

// ErrNoPlugin is wrapped when a pipeline names a plug-in nobody registered.
var ErrNoPlugin = errors.New("no such plug-in")

// Plugin is one stage of the daemon.
type Plugin interface {
	// Name names the stage in logs and errors.
	Name() string
	// Default fills in settings that were left out.
	Default(s *Settings)
	// Skip reports whether the stage has nothing to do.
	Skip(s *Settings) bool
	// Run starts the stage and returns its clean-up, which may be nil.
	Run(ctx context.Context, k *Kernel) (func(), error)
}

var plugins = map[string]Plugin{}

// Register makes a plug-in known; it is called from init functions.
func Register(p Plugin) { plugins[p.Name()] = p }

// Pipeline finds plug-ins by name, in the order given.
func Pipeline(names []string) ([]Plugin, error) {
	var out []Plugin
	for _, n := range names {
		p, ok := plugins[n]
		if !ok {
			return nil, fmt.Errorf("plug-in %q: %w", n, ErrNoPlugin)
		}
		out = append(out, p)
	}
	return out, nil
}

// Handler serves one method that other entry hosts call.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// PeerCaller calls a method of another entry host.
type PeerCaller interface {
	Call(ctx context.Context, host, method string, params, result any) error
	// Notify tells another entry host something, and wants no answer.
	Notify(ctx context.Context, host, method string, params any) error
	// Connect makes the connection to another entry host, if there is none, so
	// that the first call need not wait for it.
	Connect(ctx context.Context, host string) error
}

// Kernel owns the control state of one entry host.
type Kernel struct {
	// Settings do not change after construction.
	Settings Settings
	Log      zerolog.Logger
	// Decisions takes lines about single requests. Beyond a rate they are
	// dropped and counted, so that load cannot flood the log.
	Decisions zerolog.Logger
	Tracer    trace.Tracer
	// Fleet is shared by all traffic.
	Fleet *policy.Fleet
	// live holds the settings that may change.
	live atomic.Pointer[Live]
	// Peers is set by the plug-in that serves the peer protocol.
	Peers PeerCaller
	// InFlight counts the requests in flight, those of other hosts included.
	InFlight atomic.Int64

	started  time.Time
	jobs     chan func(*State)
	view     atomic.Pointer[View]
	pulse    atomic.Int64
	phase    atomic.Value
	handlers sync.Map
	watchers []func(*View)
	// flushLog writes the lines that the log holds back; nil for none.
	flushLog func()
	stopping chan struct{}
	stopOnce sync.Once
	// refused counts how often a stopping host told that it is not ready.
	refused atomic.Int64
}

// Config configures a kernel.
type Config struct {
	Settings Settings
	Log      zerolog.Logger
	Tracer   trace.Tracer
	Fleet    *policy.Fleet
	// Started is the origin of Now.
	Started time.Time
	// FlushLog writes the lines that the log holds back; nil if it holds none.
	FlushLog func()
}

// New makes a kernel and starts its control thread. The clean-up function
// stops it.
func New(c Config) (*Kernel, func()) {
	k := &Kernel{
		Settings: c.Settings, Log: c.Log, Tracer: c.Tracer, Fleet: c.Fleet,
		Decisions: c.Log.Sample(newRateSampler(c.Settings.LogRate)),
		started:   c.Started,
		flushLog:  c.FlushLog,
		jobs:      make(chan func(*State), jobBacklog),
		stopping:  make(chan struct{}),
	}
	k.phase.Store(PhaseStarting)
	k.live.Store(&Live{Seeds: c.Settings.Seeds, RetryBudget: c.Settings.RetryBudget})
	state := newState()
	k.view.Store(state.view())
	k.pulse.Store(int64(k.Now()))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.control(ctx, state)
	}()
	return k, func() {
		cancel()
		<-done
	}
}

// Now is the time since the process started, on the monotonic clock.
func (k *Kernel) Now() time.Duration { return time.Since(k.started) }

// Live returns the settings that may change while the process runs.
func (k *Kernel) Live() Live { return *k.live.Load() }

// Reload puts changed settings in force; the control thread publishes a view.
func (k *Kernel) Reload(l Live) {
	k.live.Store(&l)
	k.Do(func(s *State) { s.changed = true })
}

// View is the newest published state. It does not change.
func (k *Kernel) View() *View { return k.view.Load() }

// Do hands a job to the control thread.
func (k *Kernel) Do(job func(*State)) { k.jobs <- job }

// OnView has a function called on the control thread for every new view.
func (k *Kernel) OnView(f func(*View)) {
	k.Do(func(*State) {
		k.watchers = append(k.watchers, f)
		f(k.view.Load())
	})
}

// Handle serves a method for other entry hosts.
func (k *Kernel) Handle(method string, h Handler) { k.handlers.Store(method, h) }

// Handler finds the handler of a method; nil if there is none.
func (k *Kernel) Handler(method string) Handler {
	h, ok := k.handlers.Load(method)
	if !ok {
		return nil
	}
	return h.(Handler)
}

// Awake reports whether the process has run without a long pause up to now. A
// process that was paused must not act on what it believed before.
func (k *Kernel) Awake() bool {
	return k.Now()-time.Duration(k.pulse.Load()) < pauseBound
}

// Wake waits until the control thread has noticed a pause of the process, so
// that what is believed is judged anew before it is acted on.
func (k *Kernel) Wake() {
	if k.Awake() {
		return
	}
	done := make(chan struct{})
	k.Do(func(*State) { close(done) })
	<-done
}

// Phase is where the host is in its life.
func (k *Kernel) Phase() Phase { return k.phase.Load().(Phase) }

// SetPhase moves the host on; a draining host never goes back.
func (k *Kernel) SetPhase(p Phase) {
	if k.Phase() != PhaseDraining {
		k.phase.Store(p)
	}
}

// Stop asks for a planned stop.
func (k *Kernel) Stop() { k.stopOnce.Do(func() { close(k.stopping) }) }

// Stopping is closed when a planned stop was asked for.
func (k *Kernel) Stopping() <-chan struct{} { return k.stopping }

// Ready reports whether the host is to get requests, for whoever asks.
func (k *Kernel) Ready() bool {
	if k.Phase() == PhaseDraining {
		k.refused.Add(1)
		return false
	}
	return k.Phase() == PhaseReady && k.Awake()
}

// Settle waits until whoever sends requests to a stopping host knows that it
// stops: for a time, and until it has told so a number of times.
func (k *Kernel) Settle() {
	began := k.Now()
	time.Sleep(k.Settings.Settle)
	for k.refused.Load() < int64(k.Settings.SettleAsks) && k.Now()-began < k.Settings.SettleMost {
		time.Sleep(settleLook)
	}
	k.Log.Info().Int64("Asked", k.refused.Load()).Dur("Took", k.Now()-began).Msg("no more requests taken")
}

// AwaitIdle waits until no request is in flight, those included that are carried
// out for other hosts; false if the context ended before. It prevents a planned
// stop from cutting requests whose callers are at another host.
func (k *Kernel) AwaitIdle(ctx context.Context) bool {
	tick := time.NewTicker(inFlightLook)
	defer tick.Stop()
	for k.InFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}

// control is the control thread.
func (k *Kernel) control(ctx context.Context, s *State) {
	defer k.reportPanic(s)
	tick := time.NewTicker(pulseEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-k.jobs:
			k.beat(s)
			job(s)
			k.publish(s)
		case <-tick.C:
			k.beat(s)
		}
	}
}

// reportPanic logs what the control thread knew when it failed, and lets the
// process end: without this line an operator has a stack trace and not the
// state that led to it.
func (k *Kernel) reportPanic(s *State) {
	cause := recover()
	if cause == nil {
		return
	}
	k.Log.Error().Interface("Cause", cause).Bool("Document", s.Index != nil).Bool("Directory", s.Directory != nil).
		Int("Members", len(s.Members)).Bool("Reading", s.Reading).Bool("Announcing", s.Announcing).
		Bool("FeedDown", s.FeedDown).Dur("SourceAt", s.SourceAt).Dur("Age", k.Now()).Msg("control thread failed")
	if k.flushLog != nil {
		k.flushLog()
	}
	panic(cause)
}

// beat notes that the process runs. After a pause the state is marked so that
// members heard before the pause are not trusted.
func (k *Kernel) beat(s *State) {
	now := k.Now()
	gap := now - time.Duration(k.pulse.Load())
	if gap > pauseBound {
		k.Log.Warn().Dur("Gap", gap).Msg("process was paused")
		s.Pauses++
		s.changed = true
		k.publish(s)
	}
	k.pulse.Store(int64(now))
}

func (k *Kernel) publish(s *State) {
	if !s.changed {
		return
	}
	s.changed = false
	v := s.view()
	k.view.Store(v)
	for _, f := range k.watchers {
		f(v)
	}
}

// Accept takes a published document in if it is newer than the one in force
// and valid. It runs on the control thread.
func (k *Kernel) Accept(s *State, text string, revision uint64) {
	if revision <= s.Newest {
		return
	}
	x, err := config.Accept([]byte(text), revision)
	s.Newest, s.Published = revision, max(revision, s.Published)
	s.changed = true
	if err != nil {
		s.Refused = fmt.Sprintf("revision %d: %s", revision, err)
		k.Log.Error().Err(err).Uint64("Revision", revision).Msg("document refused")
		return
	}
	s.Index = x
	k.Log.Info().Uint64("Revision", revision).Str("Digest", x.Digest).Int("Routes", len(x.Document.Routes)).Msg("document in force")
}

// AcceptDocument takes in a document that an adapter has translated. The
// platform orders its documents by revision alone, so the document is taken
// for composed from the revision before.
func (k *Kernel) AcceptDocument(s *State, d *config.Document, revision uint64) {
	if revision <= s.Newest {
		return
	}
	d.Based = revision - 1
	text, err := config.Encode(d)
	if err != nil {
		k.Log.Error().Err(err).Uint64("Revision", revision).Msg("document not encoded")
		return
	}
	k.Accept(s, string(text), revision)
}
