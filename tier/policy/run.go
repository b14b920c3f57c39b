package policy

import (
	"slices"
	"time"

	"loomgap/tier/config"
)

// RunConfig describes a request.
type RunConfig struct {
	Fleet *Fleet
	// Pool holds the latencies of the service.
	Pool *LatencyPool
	// Class is the class of the request. It is read-only.
	Class *config.Class
	// Deadline is when the answer must be returned, after subtracting the margin.
	Deadline time.Duration
	// Replicas holds the upstreams of each shard, in key order.
	Replicas [][]*Upstream
	// Snapshot is the index snapshot that every part must use; 0 for a write.
	Snapshot uint64
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// Identity identifies the request in crash reports; the zero value if it must never be
	// suspected.
	Identity RequestIdentity
	// Routed holds the settings of a routed request; nil for a request of a class.
	Routed *RoutedConfig
	// Granted is called without locks held when a queued attempt is granted a slot.
	Granted func(attempt int)
}

// Run is the state machine of one request: it takes events with the current time and
// returns actions. It is not safe for concurrent use.
type Run struct {
	fleet *Fleet
	// request is the argument of NewRun. It is read-only.
	request RunConfig
	// rules holds the behaviour that differs between requests of a class and routed ones.
	rules     rules
	chooser   chooser
	admission admission
	parts     []part
	// attempts holds all attempts of the run. An attempt is identified by its index.
	attempts []attempt
	progress progress
	times    runTimes
	// finished is true once ActionFinish was issued or the request was refused.
	finished bool
	// callerGone is true once the caller has disconnected.
	callerGone bool
	// outcomeUnknown is true once a non-repeatable attempt may have run without an answer.
	outcomeUnknown bool
	// shortage is true if the gate of the request measured a shortage when the current
	// event began.
	shortage  bool
	suspicion suspicion
}

type runTimes struct {
	admittedAt time.Duration
	// patience is when the run stops waiting for missing parts if the answer has the
	// required coverage.
	patience time.Duration
	// wakeAt is when Wake must be called.
	wakeAt time.Duration
}

// spareAttempts is the initial capacity for hedges and retries, so that few runs allocate
// more.
const spareAttempts = 4

// NewRun returns a run for a request. Begin starts it.
func NewRun(c RunConfig) (*Run, error) {
	chooser, err := pluginByName("chooser", choosers, c.Class.Choice)
	if err != nil {
		return nil, err
	}
	admission, err := pluginByName("admission", admissions, c.Class.Admission)
	if err != nil {
		return nil, err
	}
	r := &Run{
		fleet: c.Fleet, request: c, rules: newRules(&c), chooser: chooser, admission: admission,
		parts:     make([]part, len(c.Replicas)),
		attempts:  make([]attempt, 0, len(c.Replicas)+spareAttempts),
		progress:  progress{parts: len(c.Replicas), open: len(c.Replicas)},
		suspicion: suspicion{identity: c.Identity},
	}
	for i := range r.parts {
		r.parts[i].replicas = c.Replicas[i]
	}
	return r, nil
}

// Begin admits and starts the request. If the request is refused, which means that it has
// not run and never will, the error is a *Refusal.
func (r *Run) Begin(now time.Duration) ([]Action, error) {
	r.updateShortage()
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	id := r.suspicion.identity
	verdict, remaining := r.fleet.quarantine.suspect(id.Fingerprint).verdict(now, id.Caller)
	if verdict == VerdictQuarantined {
		r.finished = true
		return nil, &Refusal{Reason: ReasonQuarantined, RetryAfter: remaining}
	}
	r.suspicion.reported = verdict == VerdictSuspected
	if err := r.fleet.admit(now, &r.request, r.admission); err != nil {
		r.finished = true
		return nil, err
	}
	r.times.admittedAt = now
	r.times.patience = now + time.Duration(r.request.Class.Patience)
	r.rules.earn(len(r.parts))
	var out []Action
	for i := range r.parts {
		out = r.startOrDefer(now, i, out)
		out = r.probe(now, i, out)
	}
	r.times.wakeAt = r.nextWake(now)
	return r.finishIfDone(now, out), nil
}

// updateShortage asks whether there is a shortage. The fleet must not be locked, because the
// answer takes the lock of the gate.
func (r *Run) updateShortage() {
	q := r.request.Routed
	r.shortage = q != nil && q.Shortage != nil && q.Shortage()
}

// Granted must be called when a queued attempt is granted a slot.
func (r *Run) Granted(now time.Duration, n int) []Action {
	a := &r.attempts[n]
	if r.finished || a.phase != phaseQueued || r.parts[a.part].closed || now >= r.request.Deadline {
		a.phase = phaseDone
		return r.releaseSlot(n)
	}
	r.updateShortage()
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if a.upstream.leaving {
		// The upstream started to leave while the attempt waited and must not get new
		// calls.
		a.phase = phaseDone
		p := &r.parts[a.part]
		p.active = removeFirst(p.active, n)
		return r.finishIfDone(now, append(r.releaseSlot(n), r.handleFailure(now, a.part, CallLeaving)...))
	}
	if r.deferGranted(n) {
		return r.finishIfDone(now, r.releaseSlot(n))
	}
	r.leaveQueues(a.part, n)
	return r.finishIfDone(now, r.send(now, n, nil))
}

func (r *Run) releaseSlot(n int) []Action {
	a := &r.attempts[n]
	return []Action{{Kind: ActionReleaseSlot, Attempt: n, Part: a.part, Upstream: a.upstream}}
}

// Reply must be called with the outcome of a sent attempt. The caller may merge the part
// only if Reply returns ActionMerge.
func (r *Run) Reply(now time.Duration, n int, o CallOutcome) []Action {
	a := &r.attempts[n]
	if a.phase != phaseSent {
		return nil
	}
	a.phase = phaseDone
	p := &r.parts[a.part]
	wanted := slices.Contains(p.active, n) && !p.closed && !r.finished
	p.active = removeFirst(p.active, n)
	p.recordOutcome(o)
	if !wanted {
		if o == CallCrashed {
			r.recordLateCrash(now, a)
		}
		return nil
	}
	r.updateShortage()
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if o == CallOK {
		r.recordAnswer()
		out := []Action{{Kind: ActionMerge, Attempt: n, Part: a.part, Upstream: a.upstream}}
		return r.finishIfDone(now, r.includePart(now, a.part, out))
	}
	if o == CallCrashed && r.recordCrash(now, a) {
		r.outcomeUnknown = !r.request.Repeatable
		r.markMissing(a.part, reasonOf(o))
		return r.finish(now, nil)
	}
	out := r.handleFailure(now, a.part, o)
	if o == CallCrashed && r.suspicion.crashes == suspectAfterCrashes {
		out = r.isolate(now, out)
	}
	return r.finishIfDone(now, out)
}

// Wake must be called at the time returned by WakeAt.
func (r *Run) Wake(now time.Duration) []Action {
	if r.finished {
		return nil
	}
	r.updateShortage()
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if now >= r.request.Deadline {
		return r.finish(now, nil)
	}
	var out []Action
	for i := range r.parts {
		if r.parts[i].closed {
			continue
		}
		out = r.wakePart(now, i, out)
	}
	r.times.wakeAt = r.nextWake(now)
	return r.finishIfDone(now, out)
}

// wakePart does what is due for a part: a postponed retry, a replacement of an isolated
// call, or a hedge.
func (r *Run) wakePart(now time.Duration, i int, out []Action) []Action {
	p := &r.parts[i]
	switch {
	case p.retryAt > 0 && now >= p.retryAt:
		p.retryAt = 0
		return r.startOrDefer(now, i, out)
	case !r.hedgeDue(now, p):
		return out
	case r.isolatedTimedOut(now, &r.attempts[p.active[0]]):
		return r.replaceIsolated(now, i, out)
	default:
		return r.hedge(now, i, out)
	}
}

// WakeAt returns when Wake must be called.
func (r *Run) WakeAt() time.Duration { return r.times.wakeAt }

// Abort must be called when the caller has disconnected.
func (r *Run) Abort(now time.Duration) []Action {
	if r.finished {
		return nil
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.callerGone = true
	return r.finish(now, nil)
}

// wakeBy ensures that the run is woken no later than t. Unnecessary wake-ups are harmless.
func (r *Run) wakeBy(t time.Duration) { r.times.wakeAt = min(r.times.wakeAt, t) }

// nextWake returns the earliest time at which anything of the run is due.
func (r *Run) nextWake(now time.Duration) time.Duration {
	next := r.request.Deadline
	if r.times.patience > now {
		next = min(next, r.times.patience)
	}
	for i := range r.parts {
		p := &r.parts[i]
		if p.closed {
			continue
		}
		if p.retryAt > 0 {
			next = min(next, p.retryAt)
		}
		if len(p.active) > 0 && !p.hedged {
			next = min(next, r.hedgeTime(now, &r.attempts[p.active[0]]))
		}
	}
	return next
}
