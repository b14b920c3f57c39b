package policy

import (
	"math"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/query"
)

// RunConfig describes one request.
type RunConfig struct {
	Fleet *Fleet
	// Pool holds the latencies of the service.
	Pool *Pool
	// Class is the request's class; it is not changed.
	Class *config.Class
	// Deadline is when the answer must be given, margin taken off.
	Deadline time.Duration
	// Replicas are the upstreams of each shard, in order of key.
	Replicas [][]*Upstream
	// Snapshot is the index snapshot that every part must have; 0 for a write.
	Snapshot uint64
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// Subject is what the request is remembered by if it crashes upstreams; the zero
	// value if it is never to be suspected.
	Subject Subject
	// Routed is what a routed request adds; nil for a request of a class.
	Routed *Routed
	// Granted is called, with no lock held, when a queued attempt has its slot.
	Granted func(attempt int)
}

// Run is the life of one request: events and the time go in, actions come out.
// It is not safe for concurrent use.
type Run struct {
	config     *config.Class
	class      string
	fleet      *Fleet
	pool       *Pool
	chooser    Chooser
	admission  Admission
	deadline   time.Duration
	snapshot   uint64
	repeatable bool
	rules      rules
	granted    func(int)
	parts      []part
	attempts   []attempt
	// open counts parts that are not closed.
	open     int
	included int
	begun    time.Duration
	patience time.Duration
	finished bool
	// callerGone is true once the caller is gone.
	callerGone bool
	// unknown is true once a not-repeatable attempt may have run unseen.
	unknown bool
	// calls counts the attempts that were sent.
	calls int
	next  time.Duration
	doubt doubt
}

// NewRun prepares a request.
func NewRun(c RunConfig) (*Run, error) {
	chooser, err := ChooserNamed(c.Class.Choice)
	if err != nil {
		return nil, err
	}
	admission, err := AdmissionNamed(c.Class.Admission)
	if err != nil {
		return nil, err
	}
	r := &Run{
		config: c.Class, class: c.Class.Name, fleet: c.Fleet, pool: c.Pool,
		chooser: chooser, admission: admission, deadline: c.Deadline,
		snapshot: c.Snapshot, repeatable: c.Repeatable, rules: newRules(&c), granted: c.Granted,
		parts:    make([]part, len(c.Replicas)),
		attempts: make([]attempt, 0, len(c.Replicas)+4),
		open:     len(c.Replicas),
		doubt:    doubt{subject: c.Subject},
	}
	for i := range r.parts {
		r.parts[i].replicas = c.Replicas[i]
	}
	return r, nil
}

// Begin admits the request and starts it. A refused request has not run, and
// never will: the error is a *Refusal.
func (r *Run) Begin(now time.Duration) ([]Action, error) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	verdict, left := r.fleet.quarantine.judge(now, r.doubt.subject)
	if verdict == VerdictQuarantined {
		r.finished = true
		return nil, &Refusal{Reason: ReasonQuarantined, RetryAfter: left}
	}
	r.doubt.suspected = verdict == VerdictSuspected
	if err := r.fleet.admit(r, now); err != nil {
		r.finished = true
		return nil, err
	}
	r.begun = now
	r.patience = now + time.Duration(r.config.Patience)
	r.rules.earn(len(r.parts))
	var out []Action
	for i := range r.parts {
		out = r.startOrHold(now, i, out)
		out = r.probe(now, i, out)
	}
	r.next = r.nextWake(now)
	return r.finishIfDone(now, out), nil
}

// Granted tells that a queued attempt has its slot.
func (r *Run) Granted(now time.Duration, n int) []Action {
	a := &r.attempts[n]
	if r.finished || a.phase != phaseQueued || r.parts[a.part].closed || now >= r.deadline {
		a.phase = phaseDone
		return r.freeSlot(n)
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if a.upstream.leaving {
		// It began to leave while the attempt waited: nothing new goes there.
		a.phase = phaseDone
		r.parts[a.part].remove(n)
		return r.finishIfDone(now, append(r.freeSlot(n), r.failed(now, a.part, CallLeaving)...))
	}
	if r.holdGranted(n) {
		return r.finishIfDone(now, r.freeSlot(n))
	}
	r.leaveQueues(a.part, n)
	return r.finishIfDone(now, r.send(now, n, nil))
}

// freeSlot gives back the slot of an attempt that is not sent.
func (r *Run) freeSlot(n int) []Action {
	a := &r.attempts[n]
	return []Action{{Kind: ActionFree, Attempt: n, Part: a.part, Upstream: a.upstream}}
}

// Reply tells what became of a sent attempt. The part may be merged only if
// ActionTake comes back.
func (r *Run) Reply(now time.Duration, n int, o CallOutcome) []Action {
	a := &r.attempts[n]
	if a.phase != phaseSent {
		return nil
	}
	a.phase = phaseDone
	p := &r.parts[a.part]
	p.remove(n)
	p.account(o)
	if r.finished || p.closed || a.abandoned {
		r.noteLateCrash(now, a, o)
		return nil
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if o == CallOK {
		r.survive()
		out := []Action{{Kind: ActionTake, Attempt: n, Part: a.part, Upstream: a.upstream}}
		return r.finishIfDone(now, r.include(a.part, out))
	}
	if o == CallCrashed && r.crashed(now, a) {
		r.unknown = !r.repeatable
		r.markMissing(a.part, reasonOf(o))
		return r.finish(now, nil)
	}
	out := r.failed(now, a.part, o)
	if o == CallCrashed && r.doubt.crashes == doubtAfter {
		out = r.backOff(out)
	}
	return r.finishIfDone(now, out)
}

// Wake is to be called at the time that Next gives.
func (r *Run) Wake(now time.Duration) []Action {
	if r.finished {
		return nil
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if now >= r.deadline {
		return r.finish(now, nil)
	}
	var out []Action
	for i := range r.parts {
		if r.parts[i].closed {
			continue
		}
		out = r.wakePart(now, i, out)
	}
	r.next = r.nextWake(now)
	return r.finishIfDone(now, out)
}

// Next is when Wake is to be called.
func (r *Run) Next() time.Duration { return r.next }

// GiveUp tells that the caller is gone.
func (r *Run) GiveUp(now time.Duration) []Action {
	if r.finished {
		return nil
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.callerGone = true
	return r.finish(now, nil)
}

// finishIfDone finishes the run if it is time, else it starts what waits.
func (r *Run) finishIfDone(now time.Duration, out []Action) []Action {
	if r.finished {
		return out
	}
	if !r.done(now) {
		// Parts that cannot be started are missing.
		out = r.resume(now, out)
	}
	if r.done(now) {
		return r.finish(now, out)
	}
	return out
}

// done reports whether it is time to finish.
func (r *Run) done(now time.Duration) bool {
	enough := now >= r.patience && r.included < len(r.parts) &&
		float64(r.included) >= r.config.Coverage*float64(len(r.parts)) && r.repeatable
	return r.open == 0 || now >= r.deadline || enough || r.coverageUnreachable()
}

// wakeBy makes sure that the run is woken by a time. A wake that turns out to
// be needless does no harm.
func (r *Run) wakeBy(t time.Duration) { r.next = min(r.next, t) }

func (r *Run) nextWake(now time.Duration) time.Duration {
	next := r.deadline
	if r.patience > now {
		next = min(next, r.patience)
	}
	for i := range r.parts {
		p := &r.parts[i]
		if p.closed {
			continue
		}
		if p.retryAt > 0 {
			next = min(next, p.retryAt)
		}
		if len(p.live) > 0 && !p.hedged {
			next = min(next, r.hedgeTime(now, &r.attempts[p.live[0]]))
		}
	}
	return next
}

// coverageUnreachable reports whether waiting for the rest is of no use, since the least
// coverage of the request is out of reach.
func (r *Run) coverageUnreachable() bool {
	possible := r.included + r.open
	return r.rules.endsUncovered() && possible < len(r.parts) &&
		float64(possible) < r.config.Coverage*float64(len(r.parts))
}

func (r *Run) finish(now time.Duration, out []Action) []Action {
	r.finished = true
	r.strikeAtEnd(now)
	for i := range r.parts {
		p := &r.parts[i]
		if p.closed {
			continue
		}
		if !r.repeatable && r.sent(p) {
			r.unknown = true
		}
		out = r.cancel(i, CallLate, out)
		reason := query.ReasonLate
		if p.held {
			reason = query.ReasonSuspected
		}
		r.markMissing(i, reason)
	}
	r.fleet.class(r.class).inFlight--
	r.next = math.MaxInt64
	return append(out, Action{Kind: ActionFinish})
}
