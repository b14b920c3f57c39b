package policy

import (
	"math"
	"time"
)

// suspectAfterCrashes is the number of upstreams that must crash while running a request that
// none has answered before the request is suspected of causing the crashes.
const suspectAfterCrashes = 2

// suspicion tracks whether the request of a run crashes upstreams. Such a request crashes an
// upstream of each shard, and another one with each retry. While it is suspected, it runs as
// isolated attempts, on one upstream at a time, until one has answered.
type suspicion struct {
	// identity identifies the request. It is never suspected if its fingerprint is empty.
	identity RequestIdentity
	// reported is true if the request had crash reports before the run.
	reported bool
	// crashes counts the upstreams that crashed during the run; lastCrashed is the name of
	// the last one.
	crashes     int
	lastCrashed string
	// isolatedTimeouts counts the isolated calls that timed out.
	isolatedTimeouts int
	// cleared is true once an upstream has answered.
	cleared bool
	// runID identifies the run in its crash reports; 0 before the first report.
	runID uint64
	// deferred counts the parts that wait for the answer of an isolated call.
	deferred int
}

// open reports whether the request can be suspected: it has a fingerprint, and no upstream has
// answered it.
func (s *suspicion) open() bool { return s.identity.Fingerprint != "" && !s.cleared }

func (s *suspicion) countCrash(u *Upstream) {
	s.crashes++
	s.lastCrashed = u.Name
}

// suspected reports whether the request may crash upstreams and must therefore run on one
// upstream at a time.
func (r *Run) suspected() bool {
	s := &r.suspicion
	return s.open() && (s.reported || s.crashes >= suspectAfterCrashes)
}

// recordAnswer records that an upstream has answered, which clears the request.
func (r *Run) recordAnswer() {
	if !r.suspicion.open() {
		return
	}
	r.suspicion.cleared = true
	r.fleet.quarantine.clear(r.suspicion.identity)
}

// recordCrash records that an upstream crashed while it may have run the request, and reports
// whether the run must end. A run must end after a crash in an isolated attempt, since no other
// call of the request was in progress.
func (r *Run) recordCrash(now time.Duration, a *attempt) bool {
	s := &r.suspicion
	s.countCrash(a.upstream)
	if !s.open() {
		return false
	}
	if a.isolated || s.crashes == suspectAfterCrashes {
		r.reportCrash(now, a.isolated)
	}
	return a.isolated
}

// recordLateCrash records that an upstream crashed during a call that was no longer needed.
// A run that can no longer reach the required coverage may end before any of its upstreams
// crashes, and the crashes would otherwise go unnoticed.
func (r *Run) recordLateCrash(now time.Duration, a *attempt) {
	s := &r.suspicion
	if !s.open() {
		return
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	s.countCrash(a.upstream)
	if s.runID == 0 {
		r.reportCrash(now, false)
	}
}

// reportAtEnd reports a crash when the run ends, if an upstream crashed, none has answered, no
// crash was reported and no call is in progress.
func (r *Run) reportAtEnd(now time.Duration) {
	s := &r.suspicion
	if s.open() && s.runID == 0 && s.crashes > 0 && !r.hasCalls() {
		r.reportCrash(now, false)
	}
}

func (r *Run) reportCrash(now time.Duration, isolated bool) {
	s := &r.suspicion
	if s.runID == 0 {
		s.runID = r.fleet.uniqueID()
	}
	r.fleet.quarantine.report(now, s.identity, CrashReport{
		ID: r.fleet.uniqueID(), Attempt: s.runID, Isolated: isolated, Upstream: s.lastCrashed,
	})
}

// uniqueID returns a random positive number that is unique among hosts.
func (f *Fleet) uniqueID() uint64 { return 1 + uint64(f.random.IntN(math.MaxInt)) }
