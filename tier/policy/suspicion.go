package policy

import (
	"math"
	"time"
)

// suspectAfter is the number of upstreams that must crash while running a request, with
// none having answered it, before the request is suspected of causing the crashes.
const suspectAfter = 2

// suspicion is what a run knows of whether its request crashes upstreams. Such a request
// takes an upstream of each shard, and another with each retry. While it is suspected it
// runs as isolated attempts, one upstream at a time, until one has answered.
type suspicion struct {
	// subject is what the request is remembered by; where its fingerprint is empty
	// it is never suspected.
	identity RequestIdentity
	// reported is true if the request had crash reports before the run.
	reported bool
	// crashes counts the upstreams that crashed under the run; lastCrashed is the last.
	crashes     int
	lastCrashed string
	// isolatedTimeouts counts the isolated calls that took too long.
	isolatedTimeouts int
	// cleared is true once an upstream has answered.
	cleared bool
	// attemptID is what all crash reports of the run have in common; 0 before the first.
	attemptID uint64
	// deferred counts the parts that wait for the answer of an isolated call.
	deferred int
}

// open reports whether the request may still turn out to crash upstreams: it can be
// remembered, and none has answered it.
func (s *suspicion) open() bool { return s.identity.Fingerprint != "" && !s.cleared }

func (s *suspicion) countCrash(u *Upstream) {
	s.crashes++
	s.lastCrashed = u.Name
}

// suspected reports whether the request may be one that crashes upstreams. It runs at
// one of them at a time then.
func (r *Run) suspected() bool {
	s := &r.suspicion
	return s.open() && (s.reported || s.crashes >= suspectAfter)
}

// noteAnswer notes that an upstream has answered: the request crashes none.
func (r *Run) recordAnswer() {
	if !r.suspicion.open() {
		return
	}
	r.suspicion.cleared = true
	r.fleet.quarantine.clear(r.suspicion.identity)
}

// noteCrash notes that an upstream crashed while it may have run the request, and reports
// whether the run is to end: the upstream ran nothing else of it.
func (r *Run) recordCrash(now time.Duration, a *attempt) bool {
	s := &r.suspicion
	s.countCrash(a.upstream)
	if !s.open() {
		return false
	}
	if a.isolated || s.crashes == suspectAfter {
		r.reportCrash(now, a.isolated)
	}
	return a.isolated
}

// noteLateCrash notes that an upstream crashed under a call that is not wanted any more.
// A run may end before any upstream does, where too few shards are left to be asked;
// without this nothing would be learnt of its request then.
func (r *Run) recordLateCrash(now time.Duration, a *attempt) {
	s := &r.suspicion
	if !s.open() {
		return
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	s.countCrash(a.upstream)
	if s.attemptID == 0 {
		r.reportCrash(now, false)
	}
}

// reportAtEnd reports a crash when the run ends, if all that is known of the request is
// that an upstream crashed, and no call is in progress that might have shown more.
func (r *Run) reportAtEnd(now time.Duration) {
	s := &r.suspicion
	if s.open() && s.attemptID == 0 && s.crashes > 0 && !r.hasCalls() {
		r.reportCrash(now, false)
	}
}

func (r *Run) reportCrash(now time.Duration, isolated bool) {
	s := &r.suspicion
	if s.attemptID == 0 {
		s.attemptID = r.fleet.uniqueID()
	}
	r.fleet.quarantine.report(now, s.identity, CrashReport{
		ID: r.fleet.uniqueID(), Attempt: s.attemptID, Isolated: isolated, Upstream: s.lastCrashed,
	})
}

// uniqueID draws a number above 0 that no other host draws.
func (f *Fleet) uniqueID() uint64 { return 1 + uint64(f.random.IntN(math.MaxInt)) }
