package policy

import (
	"math"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/query"
)

// Bounds of tries for one shard.
const (
	maxTries   = 4
	hedgeLeast = 500 * time.Microsecond
)

// ActionKind says what a run wants done.
type ActionKind string

// The kinds of action.
const (
	// ActionSend asks for the attempt to be sent to its upstream. Its slot is
	// held; Fleet.Finish gives it back.
	ActionSend ActionKind = "Send"
	// ActionCancel asks for a sent attempt to be given up.
	ActionCancel ActionKind = "Cancel"
	// ActionLinger asks for a sent attempt to be given up in a while: its answer
	// is not wanted, but shows when the upstream answers again.
	ActionLinger ActionKind = "Linger"
	// ActionTake asks for the attempt's part to be merged into the answer.
	ActionTake ActionKind = "Take"
	// ActionFree asks for Fleet.Free: a slot was granted and is not wanted.
	ActionFree ActionKind = "Free"
	// ActionFinish tells that the answer is to be given now. It comes once.
	ActionFinish ActionKind = "Finish"
)

// Action is one thing to be done for a run.
type Action struct {
	Kind ActionKind
	// Attempt is the number of the attempt within the run.
	Attempt int
	// Part is the index of the shard within the run.
	Part     int
	Upstream *Upstream
	// Pool is where the latency of a sent attempt belongs.
	Pool *Pool
	// HedgeIn is after what time a sent attempt is hedged; 0 if it will not be.
	HedgeIn time.Duration
	// Outcome is what a cancelled attempt is to be reported as.
	Outcome CallOutcome
	// For is how long an attempt lingers.
	For time.Duration
}

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

type part struct {
	replicas []*Upstream
	// reason is empty while open or included.
	reason   query.Reason
	included bool
	closed   bool
	// held is true while the part waits for a call of another part: see doubt. It
	// owes a retry if a call of it was given up for that.
	held, owes bool
	tries      int
	// sends counts the attempts sent, arrivals those of them that may have
	// reached an upstream, and ran those that may have run there.
	sends, arrivals, ran int
	// hedged is true once a second replica was asked; there is no third.
	hedged bool
	// unhedged is why no second replica was asked when it was last considered.
	unhedged HedgeObstacle
	live     []int
	tried    []*Upstream
	// retryAt is when a refused shard is tried again; 0 for never.
	retryAt time.Duration
}

type phase string

const (
	phaseQueued phase = "Queued"
	phaseSent   phase = "Sent"
	phaseDone   phase = "Done"
)

type attempt struct {
	part     int
	upstream *Upstream
	phase    phase
	sentAt   time.Duration
	// hedgeAge is how long after sentAt it is hedged.
	hedgeAge time.Duration
	waiter   *Waiter
	// alone is true if the run was doubted and had no other call under way when it
	// was sent; abandoned once it was given up though its part is open.
	alone, abandoned bool
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
	routed     *Routed
	granted    func(int)
	parts      []part
	attempts   []attempt
	// open counts parts that are not closed.
	open     int
	included int
	begun    time.Duration
	patience time.Duration
	admitted bool
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
		snapshot: c.Snapshot, repeatable: c.Repeatable, routed: c.Routed, granted: c.Granted,
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
	r.admitted = true
	r.begun = now
	r.patience = now + time.Duration(r.config.Patience)
	c := r.fleet.class(r.class)
	c.hedges.earn(len(r.parts), r.config.HedgeBudget)
	c.retries.earn(len(r.parts), retryRatio)
	if r.routed != nil {
		r.earnRetries()
	}
	var out []Action
	for i := range r.parts {
		out = r.startOrHold(now, i, out)
		out = r.probe(now, i, out)
	}
	r.next = r.nextWake(now)
	return r.finishIfDone(now, out), nil
}

// hedgeDelay is after what time a call to an upstream is hedged.
func (r *Run) hedgeDelay(u *Upstream) time.Duration {
	if r.routed != nil {
		return r.routedHedgeDelay(u)
	}
	if !r.pool.Known() {
		return (r.deadline - r.begun) / 3
	}
	return max(r.pool.Quantile(r.config.HedgeQuantile), hedgeLeast)
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

// account takes an outcome out of what may have run and arrived.
func (p *part) account(o CallOutcome) {
	if o.NotRun() {
		p.ran--
	}
	if !o.arrived() {
		p.arrivals--
	}
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

func (r *Run) sent(p *part) bool {
	for _, n := range p.live {
		if r.attempts[n].phase == phaseSent {
			return true
		}
	}
	return false
}

// Missing says why a part is not in the answer.
type Missing struct {
	// Part is the index of the shard within the run.
	Part int
	// Reason is never empty.
	Reason query.Reason
	// Sends counts the calls sent for the part.
	Sends int
	// Unhedged is why no second upstream was asked; empty if one was, or if the
	// call was not yet due to be hedged.
	Unhedged HedgeObstacle
}

// missing lists the parts that a finished run has no answer for.
func (r *Run) missing() []Missing {
	var out []Missing
	for i := range r.parts {
		p := &r.parts[i]
		if p.included {
			continue
		}
		out = append(out, Missing{Part: i, Reason: p.reason, Sends: p.sends, Unhedged: p.unhedged})
	}
	return out
}

// Result describes a finished run.
type Result struct {
	// Reasons holds for each part why it is missing, empty if it is included.
	Reasons []query.Reason
	// Missing explains the parts that are not included.
	Missing []Missing
	// Included counts the included parts.
	Included int
	// Attempts counts the upstream calls that were sent, cancelled ones included.
	Attempts int
	// Ran counts the upstream calls that may have run.
	Ran int
	// Unknown is true if a not-repeatable request may have run unseen.
	Unknown bool
}

// Result returns the account of the run after ActionFinish.
func (r *Run) Result() Result {
	out := Result{Included: r.included, Attempts: r.calls, Unknown: r.unknown, Missing: r.missing()}
	for i := range r.parts {
		out.Reasons = append(out.Reasons, r.parts[i].reason)
		out.Ran += r.parts[i].ran
	}
	return out
}
