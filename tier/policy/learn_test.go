package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLearnFromOutcome lists what each outcome changes for each kind of upstream, starting
// from an unresponsive upstream in backoff with one failure.
func TestLearnFromOutcome(t *testing.T) {
	tests := []struct {
		outcome          CallOutcome
		declared, listed string
	}{
		{CallOK, "answered well timed pooled", "answered well timed pooled"},
		{CallCancelled, "unresponsive timed", "unresponsive timed pooled"},
		{CallLate, "unresponsive failed timed", "unresponsive failed timed"},
		{CallShed, "answered shed", "answered shed"},
		{CallLeaving, "answered leaving", "answered leaving"},
		{CallMoved, "answered", "answered leaving gone"},
		{CallSnapshotGone, "answered", "answered"},
		{CallFailed, "answered failed", "answered failed"},
		{CallMalformed, "unresponsive failed", "unresponsive failed"},
		{CallBroken, "unresponsive failed", "unresponsive failed limited"},
		{CallCrashed, "unresponsive failed", "unresponsive failed"},
		{CallUnreachable, "unresponsive failed", "unresponsive failed"},
		{CallStalled, "unresponsive", "unresponsive"},
		{CallNotSent, "unresponsive", "unresponsive"},
		{CallBarred, "unresponsive", "unresponsive"},
		{CallLost, "unresponsive", "unresponsive"},
	}
	for _, tt := range tests {
		for k, want := range map[*kind]string{&declaredKind: tt.declared, &listedKind: tt.listed} {
			t.Run(fmt.Sprint(tt.outcome, k == &listedKind), func(t *testing.T) {
				assert.Equal(t, learntChanges(tt.outcome, k), want)
			})
		}
	}
}

// learntChanges names the changes to an upstream after the end of its only call in progress.
func learntChanges(o CallOutcome, k *kind) string {
	const now = time.Minute
	u := Upstream{
		kind: k, slots: slots{share: 4, maxSlots: 4, inUse: 1}, ejection: ejection{failures: 1},
		backoff: backoff{sheds: 1, until: now}, stall: stall{unansweredSince: now - time.Second},
	}
	p := newPool(poolWindow)
	u.learn(now, Call{Upstream: &u, Pool: p, Outcome: o, Took: time.Second, NewConnReset: o == CallBroken})
	var out []string
	add := func(changed bool, word string) {
		if changed {
			out = append(out, word)
		}
	}
	add(u.stall.unansweredSince == 0 && u.stall.until == 0, "answered")
	add(u.stall.until > now, "unresponsive")
	add(u.ejection.failures == 0 && u.backoff.sheds == 0, "well")
	add(u.ejection.failures == 2, "failed")
	add(u.backoff.sheds == 2, "shed")
	add(u.leaving, "leaving")
	add(u.replaced, "gone")
	add(u.latency.samples > 0, "timed")
	add(p.Count() > 0, "pooled")
	add(u.slots.limit.active(), "limited")
	return strings.Join(out, " ")
}

// TestRelayedCallsDoNotMarkStalled checks that a call relayed by another host does not mark
// the upstream as stalled, since the other host may be the one that does not answer.
func TestRelayedCallsDoNotMarkStalled(t *testing.T) {
	u := Upstream{kind: &listedKind}
	u.learn(time.Minute, Call{Upstream: &u, Pool: newPool(poolWindow), Outcome: CallLost, Relayed: true})
	assert.Assert(t, !u.stalled(time.Minute))
}
