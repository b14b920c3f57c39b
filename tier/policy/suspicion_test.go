package policy

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// suspectRun begins a gather over some shards for a request with a fingerprint.
func suspectRun(t *testing.T, f *Fleet, now time.Duration, groups int) (*Run, []Action) {
	t.Helper()
	r, _ := routedRun(t, f, now, groups, 2, 1, true)
	again, err := NewRun(RunConfig{
		Fleet: f, Pool: r.request.Pool, Class: r.request.Class, Deadline: now + 2*time.Second, Replicas: replicasOf(r),
		Repeatable: true, Routed: r.request.Routed, Identity: RequestIdentity{Fingerprint: "F"}, Granted: func(int) {},
	})
	assert.NilError(t, err)
	actions, err := again.Begin(now)
	assert.NilError(t, err)
	return again, actions
}

func replicasOf(r *Run) [][]*Upstream {
	var out [][]*Upstream
	for i := range r.parts {
		out = append(out, r.parts[i].replicas)
	}
	return out
}

// count returns the number of actions of a kind.
func count(actions []Action, k ActionKind) int {
	n := 0
	for _, a := range actions {
		if a.Kind == k {
			n++
		}
	}
	return n
}

func verdictOf(f *Fleet, now time.Duration) Verdict {
	v, _ := f.Verdict(now, RequestIdentity{Fingerprint: "F"})
	return v
}

// TestSuspectedRunHasOneCall checks that a gather cancels its calls and continues with one
// isolated call after two upstreams crashed before any has answered.
func TestSuspectedRunHasOneCall(t *testing.T) {
	now := 10 * time.Millisecond
	f := routedFleet(6, RetryBudget{Ratio: 1, Depth: 100})
	r, first := suspectRun(t, f, 0, 6)
	assert.Equal(t, len(sends(first)), 6)

	one := r.Reply(now, sends(first)[0].Attempt, CallCrashed)
	assert.Equal(t, len(sends(one)), 1, "the first is tried again at once")
	assert.Equal(t, verdictOf(f, now), VerdictClean)

	two := r.Reply(now, sends(first)[1].Attempt, CallCrashed)
	assert.Equal(t, count(two, ActionCancel), 4, "%v", two)
	assert.Equal(t, count(two, ActionLinger), 0, "%v", two)
	assert.Equal(t, len(sends(two)), 0, "the second call of the first shard is still in progress")
	assert.Equal(t, verdictOf(f, now), VerdictSuspected)

	three := r.Reply(now, sends(one)[0].Attempt, CallCrashed)
	assert.Equal(t, len(sends(three)), 0, "%v", three)
	assert.Assert(t, finished(three), "the first shard has no attempts left, and all shards are required")
}

// TestAnswerClearsSuspicion checks that an answer to the isolated call starts all
// deferred shards and clears the request.
func TestAnswerClearsSuspicion(t *testing.T) {
	now := 10 * time.Millisecond
	f := routedFleet(6, RetryBudget{Ratio: 1, Depth: 100})
	f.quarantine.report(0, RequestIdentity{Fingerprint: "F"}, CrashReport{ID: 1, Isolated: true, Upstream: "Gone"})
	r, first := suspectRun(t, f, 0, 6)
	assert.Equal(t, len(sends(first)), 1)
	for at := r.WakeAt(); at < isolatedTimeoutFactor*r.attempts[0].hedgeDelay; at = r.WakeAt() {
		assert.Equal(t, len(sends(r.Wake(at))), 0, "no hedge while it is suspected")
		now = at
	}
	rest := r.Reply(now, sends(first)[0].Attempt, CallOK)
	assert.Equal(t, len(sends(rest)), 5)
	assert.Equal(t, verdictOf(f, now), VerdictClean)
}

// TestIsolatedCrashIsReported distinguishes a crash from other failures of an isolated
// call.
func TestIsolatedCrashIsReported(t *testing.T) {
	tests := []struct {
		outcome CallOutcome
		want    Verdict
		ends    bool
	}{
		{CallCrashed, VerdictQuarantined, true},
		{CallBroken, VerdictSuspected, false},
		{CallUnreachable, VerdictSuspected, false},
		{CallShed, VerdictSuspected, false},
		{CallFailed, VerdictSuspected, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.outcome), func(t *testing.T) {
			f := routedFleet(6, RetryBudget{Ratio: 1, Depth: 100})
			f.quarantine.report(0, RequestIdentity{Fingerprint: "F"}, CrashReport{ID: 1, Isolated: true, Upstream: "Gone"})
			r, first := suspectRun(t, f, 0, 6)
			next := r.Reply(time.Millisecond, sends(first)[0].Attempt, tt.outcome)
			assert.Equal(t, verdictOf(f, time.Millisecond), tt.want)
			assert.Equal(t, finished(next), tt.ends, "%v", next)
			if !tt.ends {
				assert.Equal(t, len(sends(next)), 1)
			}
		})
	}
}

// TestQuarantinedRequestIsRefused checks that the refusal names the time until the end of
// the quarantine.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	f := routedFleet(6, RetryBudget{})
	for id, u := range []string{"A", "B"} {
		f.quarantine.report(0, RequestIdentity{Fingerprint: "F"}, CrashReport{ID: uint64(id), Attempt: uint64(id), Isolated: true, Upstream: u})
	}
	r, _ := routedRun(t, f, 0, 6, 2, 1, true)
	r.suspicion.identity, r.finished = RequestIdentity{Fingerprint: "F"}, false
	_, err := r.Begin(time.Second)
	var refusal *Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.RetryAfter, quarantineGrowth*initialQuarantine-time.Second)
}

// TestConnectionResetIsNotACrash checks that reset connections, which also occur on healthy
// upstreams, do not make a request suspected.
func TestConnectionResetIsNotACrash(t *testing.T) {
	f := routedFleet(6, RetryBudget{Ratio: 1, Depth: 100})
	r, first := suspectRun(t, f, 0, 6)
	for _, a := range sends(first) {
		next := r.Reply(time.Millisecond, a.Attempt, CallBroken)
		assert.Equal(t, len(sends(next)), 1, "tried again at once")
		assert.Equal(t, count(next, ActionCancel), 0)
	}
	assert.Equal(t, verdictOf(f, time.Millisecond), VerdictClean)
}

// TestIsolatedCallThatHangsIsReplaced checks that an isolated call to an unresponsive
// upstream is replaced once, and that the run then ends before its deadline.
func TestIsolatedCallThatHangsIsReplaced(t *testing.T) {
	f := routedFleet(6, RetryBudget{Ratio: 1, Depth: 100})
	f.quarantine.report(0, RequestIdentity{Fingerprint: "F"}, CrashReport{ID: 1, Upstream: "Gone"})
	r, first := suspectRun(t, f, 0, 6)
	assert.Equal(t, len(sends(first)), 1)
	sent := 1
	for now := r.WakeAt(); now < time.Second; now = r.WakeAt() {
		actions := r.Wake(now)
		sent += len(sends(actions))
		if finished(actions) {
			assert.Equal(t, sent, maxIsolatedTimeouts)
			return
		}
	}
	t.Fatal("the run did not finish")
}
