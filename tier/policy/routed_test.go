package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
)

// routedFleet returns a fleet of listed upstreams, a near and a far one for each group.
func routedFleet(groups int, budget RetryBudget) *Fleet {
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 2))})
	setRetryBudget(f, budget)
	var shares []Share
	for g := range groups {
		shares = append(shares,
			Share{Name: fmt.Sprint("N", g), Slots: 4, Listed: true, Near: true, Hall: "A"},
			Share{Name: fmt.Sprint("F", g), Slots: 4, Listed: true, Hall: "B"})
	}
	f.Apply(0, shares)
	return f
}

func routedRun(t testing.TB, f *Fleet, now time.Duration, groups, attempts int, coverage float64, repeatable bool) (*Run, []Action) {
	r := &config.Route{
		Name: "Find", TimeLimit: config.Duration(2 * time.Second), Objective: config.Duration(200 * time.Millisecond),
		Gather: &config.Gather{Coverage: coverage, Top: 1},
	}
	c := r.Class()
	near, far := f.RoutedLatencyPools("Find")
	routed := &RoutedConfig{MaxAttempts: attempts, FarPool: far, Objective: 200 * time.Millisecond}
	var names [][]string
	for g := range groups {
		routed.Groups = append(routed.Groups, fmt.Sprint("G", g))
		names = append(names, []string{fmt.Sprint("N", g), fmt.Sprint("F", g)})
	}
	run, err := NewRun(RunConfig{
		Fleet: f, Pool: near, Class: &c, Deadline: now + 2*time.Second, Replicas: f.Resolve(names),
		Repeatable: repeatable, Routed: routed, Granted: func(int) {},
	})
	assert.NilError(t, err)
	actions, err := run.Begin(now)
	assert.NilError(t, err)
	return run, actions
}

func sends(actions []Action) []Action {
	var out []Action
	for _, a := range actions {
		if a.Kind == ActionSend {
			out = append(out, a)
		}
	}
	return out
}

func finished(actions []Action) bool {
	for _, a := range actions {
		if a.Kind == ActionFinish {
			return true
		}
	}
	return false
}

// setRetryBudget sets the same budget for all groups.
func setRetryBudget(f *Fleet, r RetryBudget) { f.SetRetryBudgets(RetryBudgets{Shards: r, Single: r}) }

// TestRetriesOfAllHostsStayWithinLimit simulates fleets of different sizes whose hosts
// hedge and retry as much as they may, with bursts, restarts and hosts unknown to the
// others. No window may have more hedges and retries than allowed.
func TestRetriesOfAllHostsStayWithinLimit(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 54.0
		window = 100 // ticks
	)
	tests := []struct {
		hosts int
		// minUsed is the minimum share of the earned retries that must be used. Much is lost
		// where a host may save up less than one retry.
		minUsed float64
	}{{8, 0.7}, {100, 0.3}, {400, 0.05}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.hosts), func(t *testing.T) { simulateRetries(t, tt.hosts, ratio, slack, window, tt.minUsed) })
	}
}

func simulateRetries(t *testing.T, hosts int, ratio, slack float64, window int, minUsed float64) {
	random := rand.New(rand.NewPCG(20261202, 0))
	fleets := make([]*Fleet, hosts)
	const tickTime = 100 * time.Millisecond
	started := make([]int, hosts)
	start := func(i, tick int) {
		f := NewFleet(FleetConfig{Random: random})
		setRetryBudget(f, ShareRetryBudget(ratio, slack*0.9, float64(hosts)).WithWindow(time.Duration(window)*tickTime))
		fleets[i], started[i] = f, tick
	}
	for i := range fleets {
		start(i, 0)
	}
	var requests, retries []int
	used := 0
	for tick := range 3000 {
		requests, retries = append(requests, 0), append(retries, 0)
		for i := range fleets {
			if random.IntN(3000) == 0 {
				start(i, tick)
			}
			f, now := fleets[i], time.Duration(tick-started[i])*tickTime
			n := random.IntN(3)
			if tick/300%2 == 1 {
				n *= 5
			}
			for range n {
				f.earnRetry("G")
				requests[tick]++
			}
			// Idle periods let a host save up the maximum.
			for want := random.IntN(20); tick%250 < 200 && want > 0; want-- {
				take := f.takeRetry
				if want%2 == 0 {
					take = f.takeHedge
				}
				if take(now, "G") {
					retries[tick]++
					used++
				}
			}
		}
		if tick < 2*window {
			continue
		}
		extra, most := sum(retries[tick-window:tick]), 0
		for _, from := range []int{tick - window, tick - 2*window, tick - 3*window/2} {
			most = max(most, sum(requests[from:from+window]))
		}
		assert.Assert(t, float64(extra) <= ratio*float64(most)+slack, "tick %d: %d hedges and retries for %d requests", tick, extra, most)
	}
	assert.Assert(t, float64(used) > minUsed*ratio*float64(sum(requests)), "only %d hedges and retries used", used)
}

func sum(v []int) int {
	out := 0
	for _, x := range v {
		out += x
	}
	return out
}

func TestRoutedPartStaysWithinMaxAttempts(t *testing.T) {
	tests := []struct {
		name       string
		attempts   int
		repeatable bool
		outcomes   []CallOutcome
		sends      int
		unknown    bool
	}{
		{"broken is tried once more", 2, true, []CallOutcome{CallBroken, CallBroken}, 2, false},
		{"one attempt is no retry", 1, true, []CallOutcome{CallBroken}, 1, false},
		{"a refusal is no attempt", 1, true, []CallOutcome{CallShed, CallBroken}, 2, false},
		{"never run twice", 2, false, []CallOutcome{CallBroken}, 1, true},
		{"not run goes elsewhere", 2, false, []CallOutcome{CallUnreachable, CallBroken}, 2, true},
		{"stalled goes elsewhere", 2, true, []CallOutcome{CallStalled, CallBroken}, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := routedFleet(1, RetryBudget{Ratio: 1, Depth: 10})
			r, actions := routedRun(t, f, 0, 1, tt.attempts, 1, tt.repeatable)
			n := 0
			for _, o := range tt.outcomes {
				s := sends(actions)
				assert.Equal(t, len(s), 1)
				n++
				f.Finish(time.Millisecond, Call{Upstream: s[0].Upstream, Pool: s[0].Pool, Outcome: o, Took: time.Millisecond})
				actions = r.Reply(time.Millisecond, s[0].Attempt, o)
			}
			assert.Assert(t, finished(actions), "%v", actions)
			assert.Equal(t, n, tt.sends)
			assert.Equal(t, r.Result().OutcomeUnknown, tt.unknown)
		})
	}
}

func TestRoutedRunEndsWhenCoverageIsOutOfReach(t *testing.T) {
	f := routedFleet(4, RetryBudget{})
	r, actions := routedRun(t, f, 0, 4, 1, 0.75, true)
	s := sends(actions)
	assert.Equal(t, len(s), 4)
	assert.Assert(t, !finished(r.Reply(time.Millisecond, s[0].Attempt, CallFailed)))
	assert.Assert(t, finished(r.Reply(time.Millisecond, s[1].Attempt, CallFailed)), "two of four parts cannot reach a coverage of 0.75")
}

func TestRoutedRunWithoutBudgetDoesNotRetry(t *testing.T) {
	f := routedFleet(1, RetryBudget{})
	r, actions := routedRun(t, f, 0, 1, 2, 1, true)
	for now := time.Duration(0); now < time.Second; now = r.WakeAt() {
		assert.Equal(t, len(sends(r.Wake(now))), 0, "no hedge without a token")
	}
	s := sends(actions)[0]
	assert.Assert(t, finished(r.Reply(time.Second, s.Attempt, CallBroken)))
}

// TestStalledUpstreamIsAvoided checks that requests go to the far upstream while the near
// one is unresponsive, and return once it answers.
func TestStalledUpstreamIsAvoided(t *testing.T) {
	f := routedFleet(1, RetryBudget{Ratio: 1, Depth: 10})
	answer := func(now time.Duration, r *Run, a Action, took time.Duration) {
		f.Finish(now, Call{Upstream: a.Upstream, Pool: a.Pool, Outcome: CallOK, Took: took})
		r.Reply(now, a.Attempt, CallOK)
	}
	now := time.Duration(0)
	for range 20 {
		now += 50 * time.Millisecond
		r, actions := routedRun(t, f, now, 1, 2, 1, true)
		a := sends(actions)[0]
		f.RecordSent(now, a.Upstream)
		now += 10 * time.Millisecond
		answer(now, r, a, 10*time.Millisecond)
	}
	r, actions := routedRun(t, f, now, 1, 2, 1, true)
	stalled := sends(actions)[0]
	assert.Equal(t, stalled.Upstream.Name, "N0")
	f.RecordSent(now, stalled.Upstream)
	now += 60 * time.Millisecond
	assert.Assert(t, f.Stalled(now, stalled.Upstream))
	_, actions = routedRun(t, f, now, 1, 2, 1, true)
	assert.Equal(t, sends(actions)[0].Upstream.Name, "F0")
	far := f.Find("F0")
	far.latency, far.condition.slowness = latency{smoothed: 40 * time.Millisecond, samples: 10}, 4
	answer(now, r, stalled, 60*time.Millisecond)
	assert.Assert(t, !f.Stalled(now, stalled.Upstream))
	_, actions = routedRun(t, f, now+time.Second, 1, 2, 1, true)
	assert.Equal(t, sends(actions)[0].Upstream.Name, "N0")
}

// TestOneCallLingers checks that at most one of two calls that lost to their hedges
// continues.
func TestOneCallLingers(t *testing.T) {
	f := routedFleet(1, RetryBudget{Ratio: 1, Depth: 10})
	lingers := 0
	for range 2 {
		r, actions := routedRun(t, f, 0, 1, 2, 1, true)
		first := sends(actions)[0]
		f.RecordSent(0, first.Upstream)
		second := sends(r.Wake(first.HedgeIn))
		assert.Equal(t, len(second), 1)
		for _, a := range r.Reply(first.HedgeIn, second[0].Attempt, CallOK) {
			if a.Kind == ActionLinger {
				assert.Equal(t, a.Upstream.Name, first.Upstream.Name)
				lingers++
			}
		}
		first.Upstream.near = true
	}
	assert.Assert(t, lingers <= 1)
}

// TestPartlySheddingUpstreamIsAvoided checks that an upstream that sheds two of five calls,
// with successful calls in between, gets few requests.
func TestPartlySheddingUpstreamIsAvoided(t *testing.T) {
	f := routedFleet(1, RetryBudget{Ratio: 1, Depth: 100})
	now, near := time.Duration(0), 0
	for i := range 200 {
		now += 20 * time.Millisecond
		r, actions := routedRun(t, f, now, 1, 2, 1, true)
		for a := sends(actions); len(a) > 0; a = sends(actions) {
			outcome, took := CallOK, 10*time.Millisecond
			if a[0].Upstream.Name == "N0" && i%5 < 2 {
				outcome = CallShed
			}
			if a[0].Upstream.Name == "F0" {
				took = 40 * time.Millisecond
			}
			if i >= 100 && a[0].Upstream.Name == "N0" {
				near++
			}
			f.Finish(now, Call{Upstream: a[0].Upstream, Pool: a[0].Pool, Outcome: outcome, Took: took})
			actions = r.Reply(now, a[0].Attempt, outcome)
		}
	}
	assert.Assert(t, near < 15, "%d of 100 requests went to the upstream that sheds", near)
}

// TestCancelLinger checks that another call may linger after one ended before it could.
func TestCancelLinger(t *testing.T) {
	f := routedFleet(1, RetryBudget{Ratio: 1, Depth: 100})
	u := f.Find("N0")
	assert.Assert(t, f.TryLinger(u))
	assert.Assert(t, !f.TryLinger(u), "only one call lingers at a time")
	f.CancelLinger(u)
	assert.Assert(t, f.TryLinger(u))
	u.slots.inUse++
	f.Finish(0, Call{Upstream: u, Pool: newPool(poolWindow), Outcome: CallCancelled, Took: time.Millisecond, Lingering: true})
	assert.Assert(t, f.TryLinger(u))
}

// TestUnreportedBatchCallIsHedged checks that a call missing from the progress report of a
// batch is hedged immediately, and that no call is hedged before the report is due.
func TestUnreportedBatchCallIsHedged(t *testing.T) {
	f := routedFleet(2, RetryBudget{Ratio: 1, Depth: 100})
	r, actions := routedRun(t, f, 0, 2, 2, 1, true)
	first := sends(actions)
	assert.Equal(t, len(first), 2)
	for _, a := range first {
		r.DelayHedge(a.Attempt)
	}
	now := first[0].HedgeIn
	assert.Equal(t, len(sends(r.Wake(now))), 0, "its news may still come")
	r.Reply(now, first[0].Attempt, CallOK)
	hedges := sends(r.HedgeNow(now, []int{first[1].Attempt}))
	assert.Equal(t, len(hedges), 1)
	assert.Equal(t, hedges[0].Part, first[1].Part)
}

// TestLostCallsDoNotAffectUpstream checks that failures of a relaying host do not count
// against the upstream.
func TestLostCallsDoNotAffectUpstream(t *testing.T) {
	for _, o := range []CallOutcome{CallLost, CallNotSent} {
		f := routedFleet(1, RetryBudget{})
		near, _ := f.RoutedLatencyPools("Find")
		u := f.Find("F0")
		for range 2 * ejectAfterFailures {
			f.Finish(0, Call{Upstream: u, Pool: near, Outcome: o, Took: time.Millisecond, Relayed: true})
		}
		assert.Assert(t, u.eligible(0) && u.condition.faults == 0, "%s: %+v", o, u)
	}
}

// TestRetriesWithoutRequestsAreBounded checks that without requests a host can spend only
// its initial retries, and after requests never more than the depth.
func TestRetriesWithoutRequestsAreBounded(t *testing.T) {
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 2))})
	setRetryBudget(f, ShareRetryBudget(0.2, 80, 8))
	spend := func() int {
		spent := 0
		for f.takeRetry(0, "G") {
			spent++
		}
		return spent
	}
	depth := 80.0 * retryBudgetShare / 8
	assert.Equal(t, spend(), int(depth*initialRetryShare))
	assert.Equal(t, spend(), 0)
	for range 1000 {
		f.earnRetry("G")
	}
	assert.Equal(t, spend(), int(depth))
}

// TestCallLimitAfterConnectionResets checks that an upstream that resets new connections
// gets fewer concurrent calls, and more again as calls succeed.
func TestCallLimitAfterConnectionResets(t *testing.T) {
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 2))})
	f.Apply(0, []Share{{Name: "U", Slots: 6, Listed: true, Near: true}})
	u, p := f.Find("U"), newPool(poolWindow)
	acquireAll := func() int {
		n := 0
		for u.hasSlot() {
			u.slots.inUse++
			n++
		}
		return n
	}
	assert.Equal(t, acquireAll(), 6)
	f.Finish(0, Call{Upstream: u, Pool: p, Outcome: CallBroken, NewConnReset: true})
	assert.Equal(t, acquireAll(), 0, "five are under way")
	finish := func(calls int) {
		for range calls {
			f.Finish(0, Call{Upstream: u, Pool: p, Outcome: CallOK, Took: time.Millisecond})
		}
	}
	finish(5)
	assert.Equal(t, acquireAll(), 5)
	finish(5)
	for range 5 * limitGrowth {
		u.slots.inUse++
		finish(1)
	}
	assert.Equal(t, acquireAll(), 6, "the limit has grown")
	for range 20 {
		f.Finish(0, Call{Upstream: u, Pool: p, Outcome: CallBroken, NewConnReset: true})
		u.slots.inUse++
	}
	u.slots.inUse = 0
	assert.Equal(t, acquireAll(), 5)
}
