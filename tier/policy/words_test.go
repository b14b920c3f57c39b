package policy

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/query"
)

// TestPublicStringsAreStable pins the strings in answers, logs, metrics and messages
// between hosts, on which operators and other hosts depend.
func TestPublicStringsAreStable(t *testing.T) {
	tests := []struct {
		name string
		got  []string
		want string
	}{
		{"outcomes", words(
			CallOK, CallUnreachable, CallShed, CallLeaving, CallNotSent, CallBarred, CallStalled, CallSnapshotGone,
			CallMoved, CallFailed, CallMalformed, CallBroken, CallCrashed, CallLost, CallCancelled, CallLate,
		), "OK Unreachable Shed Leaving NotSent Barred Stalled SnapshotGone Moved Failed Garbage Broken Crashed Lost Cancelled Late"},
		{"reasons", words(
			query.ReasonLate, query.ReasonUnreachable, query.ReasonRefused, query.ReasonSnapshotGone, query.ReasonMoved,
			query.ReasonMalformed, query.ReasonEvacuated, query.ReasonOutsideHomes, query.ReasonCold, query.ReasonSuspected, query.ReasonQuarantined,
		), "Late Unreachable Refused SnapshotGone Moved Garbage Evacuated Away Cold Suspected Quarantined"},
		{"verdicts", words(VerdictClean, VerdictSuspected, VerdictQuarantined), "Sound Suspected Quarantined"},
		{"obstacles to a hedge", words(HedgeNoUpstream, HedgeNoSlot, HedgeCold, HedgeNoBudget, HedgeSuspected, HedgeShortage), "NoUpstream NoSlot Cold NoBudget Doubted Shortage"},
		{"actions", words(ActionSend, ActionCancel, ActionLinger, ActionMerge, ActionReleaseSlot, ActionFinish), "Send Cancel Linger Take Free Finish"},
		{"overload control", words(OverloadNone, OverloadShortage), "None Shortage"},
		{"decisions of a gate", words(DecisionRun, DecisionWait, DecisionLate, DecisionRefuse), "Run Wait Late Refuse"},
		{"signs of a shortage", words(ShortageQueues, ShortageShed, ShortageHost), "Queues Shed Host"},
		{"refusals by a gate", words(reasonNoCapacity, reasonWaitedTooLong), "no capacity is expected in time no capacity became free in time"},
		{"refusal", words(ReasonQuarantined), "the request has crashed the upstreams that ran it"},
		{"error", words((&Refusal{Reason: "full", RetryAfter: time.Second}).Error()), "not run: full; ask again in 1s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, strings.Join(tt.got, " "), tt.want) })
	}
}

func words[S ~string](all ...S) []string {
	var out []string
	for _, s := range all {
		out = append(out, string(s))
	}
	return out
}

// TestReasonOfEachOutcome pins the reason for a missing part after each outcome, and what
// each outcome proves.
func TestReasonOfEachOutcome(t *testing.T) {
	tests := []struct {
		outcome                           CallOutcome
		reason                            query.Reason
		notRun, arrived, broken, answered bool
	}{
		{CallOK, query.ReasonRefused, false, true, false, true},
		{CallUnreachable, query.ReasonUnreachable, true, false, true, false},
		{CallShed, query.ReasonRefused, true, true, false, true},
		{CallLeaving, query.ReasonRefused, true, true, false, true},
		{CallNotSent, query.ReasonLate, true, false, false, false},
		{CallBarred, query.ReasonRefused, true, false, false, false},
		{CallStalled, query.ReasonLate, true, false, false, false},
		{CallSnapshotGone, query.ReasonSnapshotGone, true, true, false, true},
		{CallMoved, query.ReasonMoved, true, true, false, true},
		{CallFailed, query.ReasonUnreachable, false, true, true, true},
		{CallMalformed, query.ReasonMalformed, false, true, true, false},
		{CallBroken, query.ReasonUnreachable, false, true, true, false},
		{CallCrashed, query.ReasonUnreachable, false, true, true, false},
		{CallLost, query.ReasonUnreachable, false, true, false, false},
		{CallCancelled, query.ReasonLate, false, true, false, false},
		{CallLate, query.ReasonLate, false, true, true, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.outcome), func(t *testing.T) {
			o := tt.outcome
			assert.Equal(t, reasonOf(o), tt.reason)
			got := fmt.Sprint(o.NotRun(), o.arrived(), o.isFailure(), o.answered())
			assert.Equal(t, got, fmt.Sprint(tt.notRun, tt.arrived, tt.broken, tt.answered))
		})
	}
}

// TestReportsOnTheWire pins the encoding of crash reports, which hosts of different
// versions exchange.
func TestReportsOnTheWire(t *testing.T) {
	full := CrashReport{ID: 1, Attempt: 2, Isolated: true, Upstream: "U", Caller: netip.MustParseAddr("192.0.2.1"), Cleared: true, CallerOnly: true, Remaining: time.Second}
	tests := []struct {
		name   string
		report SuspectReport
		want   string
	}{
		{"all fields", SuspectReport{Fingerprint: "F", Crashes: []CrashReport{full}}, `{"Fingerprint":"F","Strikes":[{"ID":1,"Attempt":2,"Alone":true,"Upstream":"U","Caller":"192.0.2.1","Void":true,"Narrow":true,"Left":1000000000}]}`},
		{"zero values", SuspectReport{Crashes: []CrashReport{{}}}, `{"Fingerprint":"","Strikes":[{"ID":0,"Attempt":0,"Upstream":"","Left":0}]}`},
		{"no strikes", SuspectReport{}, `{"Fingerprint":"","Strikes":null}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := json.Marshal(tt.report)
			assert.NilError(t, err)
			assert.Equal(t, string(got), tt.want)
			var back SuspectReport
			assert.NilError(t, json.Unmarshal(got, &back))
			again, err := json.Marshal(back)
			assert.NilError(t, err)
			assert.Equal(t, string(again), tt.want)
		})
	}
}
