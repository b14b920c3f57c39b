package policy

import (
	"math"
	"time"

	"loomgap/tier/query"
)

// doubtAfter is how many upstreams may end under a run, before any has answered it,
// until the run is doubted. One is routine: the call is made again at the other replica
// at once. With 3 or 4 a request that crashes upstreams ends 44 or 60 of them in place
// of 31, and 0.95 or 0.76 of the others are served in place of 1.00; where upstreams end
// for other reasons the three are level (7 hosts, 20 shards of two upstreams, five
// seeds, replayed). Connections that upstreams reset do not count: where they did, and
// upstreams broke off 1 of 100 answers, 0.6 to 1.2 fewer of 100 requests were served.
const doubtAfter = 2

// Bounds of calls made alone.
const (
	// aloneFactor is how many times as long as until a hedge a call made alone may
	// take until another is made in its place. It prevents one upstream that stands
	// still from holding a request until its deadline.
	aloneFactor = 4
	// aloneMost is how many calls made alone a run may leave so: their upstreams may
	// end later, unseen.
	aloneMost = 2
)

// doubt is what a run knows of whether its request crashes upstreams. Such a request
// takes an upstream of each shard, and another with each retry. While a run is doubted
// it has one call at a time, and all others wait until an upstream has answered. It
// prevents one request from ending the upstreams of all shards: of the other requests
// 1.00 are served in place of 0.35, and 31 upstreams end in place of 545; 0.78 and 116
// where the calls under way go on (7 hosts, 20 shards of two upstreams, 20 attempts of
// the request, five seeds, replayed).
type doubt struct {
	// subject is what the request is remembered by; where its fingerprint is empty
	// nothing is doubted.
	subject Subject
	// suspected is true if the request had strikes before.
	suspected bool
	// crashes counts the upstreams that ended under the run, ended is the last.
	crashes int
	ended   string
	// left counts the calls made alone that took too long.
	left int
	// survived is true once an upstream has answered.
	survived bool
	// struck is true once the run has given a strike; attempt is what its strikes
	// are known by.
	struck  bool
	attempt uint64
	// held counts the parts that are held.
	held int
}

// open reports whether the request may still turn out to crash upstreams: it can be
// remembered, and none has answered it.
func (d *doubt) open() bool { return d.subject.Fingerprint != "" && !d.survived }

// doubted reports whether the request may be one that crashes upstreams. It runs at
// one of them at a time then.
func (r *Run) doubted() bool {
	d := &r.doubt
	return d.open() && (d.suspected || d.crashes >= doubtAfter)
}

// underWay reports whether a call of the run is under way, or waits for its slot.
func (r *Run) underWay() bool {
	for i := range r.parts {
		if len(r.parts[i].live) > 0 {
			return true
		}
	}
	return false
}

// unanswered reports whether no upstream has answered a gather yet. It has one hedge
// under way at a time then: calls that all take long are slow for a reason which
// they share, and other upstreams may share it too. It prevents a request that crashes
// upstreams a while after they began from ending all replicas of all shards at its
// first attempt, before the first connection is lost; and where a hall is silent the
// other hedges follow with the first answer.
func (r *Run) unanswered() bool {
	return r.doubt.open() && len(r.parts) > 1
}

// hedging reports whether a hedge is under way.
func (r *Run) hedging() bool {
	for i := range r.parts {
		if p := &r.parts[i]; p.hedged && len(p.live) > 0 {
			return true
		}
	}
	return false
}

// startOrHold starts an attempt of a part, or holds the part while the run is doubted
// and another call is under way.
func (r *Run) startOrHold(now time.Duration, i int, out []Action) []Action {
	if r.doubted() {
		r.hold(i)
		return out
	}
	return r.startAttempt(now, i, out)
}

// hold has a part wait until resume starts it.
func (r *Run) hold(i int) {
	p := &r.parts[i]
	p.held, p.hedged = true, false
	r.doubt.held++
}

// release ends the wait of a part.
func (r *Run) release(i int) {
	r.parts[i].held = false
	r.doubt.held--
}

// sending reports whether a call of the run has been sent and has no outcome.
func (r *Run) sending() bool {
	for i := range r.parts {
		if r.sent(&r.parts[i]) {
			return true
		}
	}
	return false
}

// holdGranted has a part whose attempt got its slot wait instead, if the run has come
// to be doubted while the attempt was queued and another call is under way.
func (r *Run) holdGranted(n int) bool {
	a := &r.attempts[n]
	if !r.doubted() || !r.sending() {
		return false
	}
	r.leaveQueues(a.part, n)
	p := &r.parts[a.part]
	p.remove(n)
	p.forget(a.upstream)
	p.tries--
	a.phase = phaseDone
	r.hold(a.part)
	return true
}

// resume starts the parts that are held: all once the run is not doubted, else one,
// if no call is under way.
func (r *Run) resume(now time.Duration, out []Action) []Action {
	for r.doubt.held > 0 && (!r.doubted() || !r.underWay()) {
		i := r.bestHeld(now)
		r.release(i)
		p := &r.parts[i]
		if p.owes && !r.rules.payRetry(i, p, CallBroken) {
			r.markMissing(i, query.ReasonSuspected)
			continue
		}
		p.owes = false
		out = r.startAttempt(now, i, out)
	}
	return out
}

// bestHeld is the held part whose upstream is expected to answer first; one is held.
func (r *Run) bestHeld(now time.Duration) int {
	best, low := -1, math.Inf(1)
	for i := range r.parts {
		if !r.parts[i].held {
			continue
		}
		score := math.MaxFloat64
		if u := r.pick(now, i, true); u != nil {
			score = r.score(now, u)
		}
		if best < 0 || score < low {
			best, low = i, score
		}
	}
	return best
}

// survive notes that an upstream has answered: the request crashes none.
func (r *Run) survive() {
	if !r.doubt.open() {
		return
	}
	r.doubt.survived = true
	r.fleet.quarantine.survived(r.doubt.subject)
}

// crashed notes that an upstream ended while it may have run the request, and reports
// whether the run is to end: the upstream ran nothing else of it.
func (r *Run) crashed(now time.Duration, a *attempt) bool {
	d := &r.doubt
	d.crashes++
	d.ended = a.upstream.Name
	if !d.open() {
		return false
	}
	if a.alone || d.crashes == doubtAfter {
		r.strike(now, a.alone)
	}
	return a.alone
}

// leaveAlone gives up the call of a part, made alone, that takes too long, so that
// another is made; after some of these the run ends.
func (r *Run) leaveAlone(now time.Duration, i int, out []Action) []Action {
	r.doubt.left++
	if r.doubt.left >= aloneMost {
		return r.finish(now, out)
	}
	if r.rules.attemptsLeft(&r.parts[i]) {
		return r.putOff(i, CallLate, out)
	}
	out = r.cancel(i, CallLate, out)
	r.markMissing(i, query.ReasonLate)
	return out
}

// noteLateCrash takes in what became of a call that is not wanted any more. A run may end
// before any upstream does, where too few shards are left to be asked; without this
// nothing would be learnt of its request then.
func (r *Run) noteLateCrash(now time.Duration, a *attempt, o CallOutcome) {
	d := &r.doubt
	if o != CallCrashed || !d.open() {
		return
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	d.crashes++
	d.ended = a.upstream.Name
	if !d.struck {
		r.strike(now, false)
	}
}

// backOff gives up the calls under way of a run that has come to be doubted: they would
// end their upstreams too. Their parts wait, if they may be asked for once more.
func (r *Run) backOff(out []Action) []Action {
	if !r.doubted() || r.doubt.suspected {
		return out
	}
	for i := range r.parts {
		p := &r.parts[i]
		if p.closed || !r.sent(p) || !r.rules.attemptsLeft(p) {
			continue
		}
		for _, n := range p.live {
			p.forget(r.attempts[n].upstream)
		}
		out = r.putOff(i, CallCancelled, out)
	}
	return out
}

// putOff gives up the calls of a part that is asked once more later.
func (r *Run) putOff(i int, o CallOutcome, out []Action) []Action {
	p := &r.parts[i]
	for _, n := range p.live {
		r.attempts[n].abandoned = r.attempts[n].phase == phaseSent
	}
	out = r.cancel(i, o, out)
	p.owes = true
	r.hold(i)
	return out
}

// strike gives the request a strike for the upstream that ended last.
func (r *Run) strike(now time.Duration, alone bool) {
	d := &r.doubt
	if !d.struck {
		d.struck, d.attempt = true, r.fleet.uniqueID()
	}
	r.fleet.quarantine.strike(now, d.subject, Strike{ID: r.fleet.uniqueID(), Attempt: d.attempt, Alone: alone, Upstream: d.ended})
}

// uniqueID draws a number that no other host draws.
func (f *Fleet) uniqueID() uint64 { return uint64(f.random.IntN(math.MaxInt)) }

// strikeAtEnd gives the request a strike when the run ends, if all that is known of
// it is that an upstream ended, and no call is under way that might have shown more.
func (r *Run) strikeAtEnd(now time.Duration) {
	d := &r.doubt
	if d.open() && !d.struck && d.crashes > 0 && !r.sending() {
		r.strike(now, false)
	}
}
