package policy

import (
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"loomgap/tier/config"
)

// TestMain fixes the seed of rapid to make runs reproducible; -rapid.seed sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

// runModel drives runs through random events and checks their invariants.
type runModel struct {
	t         *rapid.T
	fleet     *Fleet
	upstreams []*Upstream
	now       time.Duration
	runs      []*tracked
}

// tracked is a run with the state that the test tracks for it.
type tracked struct {
	run        *Run
	repeatable bool
	shards     int
	// sent holds the attempts that were sent and have no reply yet.
	sent        map[int]*Upstream
	merged      map[int]int
	finishCount int
	// mayHaveRun is true once an attempt failed without proof that it did not run.
	mayHaveRun bool
	// sentTotal counts the attempts sent.
	sentTotal int
	granted   []int
	// suspected is true for a run whose request had crash reports before; answered is true
	// once an upstream has answered it.
	suspected, answered bool
}

func newRunModel(t *rapid.T) *runModel {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &runModel{t: t, fleet: NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(seed, 0))})}
	names := []string{"A", "B", "C"}
	var shares []Share
	for _, n := range names {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		shares = append(shares, Share{Name: n, Slots: slots, MaxSlots: slots + 1, Leaving: n == "C" && rapid.Bool().Draw(t, "leaving")})
	}
	m.fleet.Apply(0, shares)
	m.upstreams = m.fleet.resolve([][]string{names})[0]
	if rapid.Bool().Draw(t, "warm") {
		for _, u := range m.upstreams {
			u.latency.samples = slowStartSamples
		}
	}
	return m
}

func (m *runModel) begin() {
	t := m.t
	c := config.DefaultClass()
	c.Name, c.Admission = "Any", "None"
	c.Coverage = rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "coverage")
	c.Patience = config.Duration(5 * time.Millisecond)
	c.HedgeBudget = 0.2
	x := &tracked{repeatable: rapid.Bool().Draw(t, "repeatable"), shards: 1, sent: map[int]*Upstream{}, merged: map[int]int{}}
	if x.repeatable {
		x.shards = rapid.IntRange(1, 4).Draw(t, "shards")
	}
	replicas := make([][]*Upstream, x.shards)
	for i := range replicas {
		first := rapid.IntRange(0, 2).Draw(t, "first")
		replicas[i] = []*Upstream{m.upstreams[first], m.upstreams[(first+1)%3]}
	}
	fingerprint := rapid.SampledFrom([]Fingerprint{"", "One", "Two", "Three"}).Draw(t, "fingerprint")
	verdict, _ := m.fleet.Verdict(m.now, RequestIdentity{Fingerprint: fingerprint})
	x.suspected = verdict == VerdictSuspected
	r, err := NewRun(RunConfig{
		Fleet: m.fleet, Pool: m.fleet.LatencyPool("Data"), Class: &c, Deadline: m.now + 50*time.Millisecond,
		Replicas: replicas, Repeatable: x.repeatable, Identity: RequestIdentity{Fingerprint: fingerprint},
		Granted: func(n int) { x.granted = append(x.granted, n) },
	})
	assert.NilError(t, err)
	x.run = r
	actions, err := r.Begin(m.now)
	var refusal *Refusal
	assert.Equal(t, errors.As(err, &refusal), verdict == VerdictQuarantined, "%v", err)
	if err != nil {
		return
	}
	m.runs = append(m.runs, x)
	m.perform(x, actions)
}

func (m *runModel) perform(x *tracked, actions []Action) {
	t := m.t
	for _, a := range actions {
		switch a.Kind {
		case ActionSend:
			assert.Assert(t, x.finishCount == 0, "sent after the run finished")
			assert.Assert(t, !a.Upstream.leaving, "new call to a leaving upstream")
			if x.suspected && !x.answered {
				assert.Assert(t, len(x.sent) == 0, "a suspected request runs on two upstreams")
			}
			if !x.repeatable {
				assert.Assert(t, len(x.sent) == 0 && !x.mayHaveRun, "second attempt without proof that the first did not run")
			}
			x.sent[a.Attempt] = a.Upstream
			x.sentTotal++
		case ActionMerge:
			x.merged[a.Part]++
			assert.Equal(t, x.merged[a.Part], 1, "a part merged twice")
		case ActionReleaseSlot:
			NotifyGranted(m.fleet.ReleaseSlot(m.now, a.Upstream))
		case ActionFinish:
			x.finishCount++
			m.checkResult(x)
		default:
		}
	}
}

// checkResult checks the result of a finished run.
func (m *runModel) checkResult(x *tracked) {
	t := m.t
	assert.Equal(t, x.finishCount, 1)
	r := x.run.Result()
	included := 0
	for i, reason := range r.Reasons {
		assert.Equal(t, reason == "", x.merged[i] == 1, "a part is included exactly if it was merged")
		if reason == "" {
			included++
		}
	}
	assert.Equal(t, included, r.Included)
	assert.Equal(t, len(r.Reasons), x.shards)
	assert.Equal(t, r.Attempts, x.sentTotal)
	if !x.repeatable && included == 0 && !r.OutcomeUnknown {
		assert.Assert(t, !x.mayHaveRun && len(x.sent) == 0, "reported as not run, but may have run")
	}
}

// deliverGrants notifies runs of the slots granted to them.
func (m *runModel) deliverGrants() {
	for again := true; again; {
		again = false
		for _, x := range m.runs {
			for len(x.granted) > 0 {
				n := x.granted[0]
				x.granted = x.granted[1:]
				m.perform(x, x.run.Granted(m.now, n))
				again = true
			}
		}
	}
}

// drawnOutcomes repeats success so that runs make progress.
var drawnOutcomes = []CallOutcome{
	CallOK, CallOK, CallOK, CallOK, CallOK, CallOK, CallUnreachable, CallShed, CallLeaving, CallNotSent, CallSnapshotGone, CallMoved, CallMalformed, CallBroken, CallBroken, CallCrashed, CallCrashed, CallLate,
}

// reply ends a sent attempt of any run, including finished ones.
func (m *runModel) reply(x *tracked, n int, o CallOutcome) {
	u := x.sent[n]
	delete(x.sent, n)
	x.answered = x.answered || o == CallOK
	if !o.NotRun() && o != CallOK {
		x.mayHaveRun = true
	}
	granted := m.fleet.Finish(m.now, Call{Upstream: u, Pool: m.fleet.LatencyPool("Data"), Outcome: o, Took: time.Millisecond})
	m.perform(x, x.run.Reply(m.now, n, o))
	NotifyGranted(granted)
}

func (m *runModel) step() {
	t := m.t
	m.now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "gap")) * time.Microsecond
	var open []*tracked
	for _, x := range m.runs {
		if len(x.sent) > 0 {
			open = append(open, x)
		}
	}
	switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
	case what < 2:
		m.begin()
	case what < 4 && len(m.runs) > 0:
		x := rapid.SampledFrom(m.runs).Draw(t, "run")
		m.perform(x, x.run.Wake(m.now))
	case what == 4 && len(m.runs) > 0:
		x := rapid.SampledFrom(m.runs).Draw(t, "run")
		m.perform(x, x.run.Abort(m.now))
	case len(open) > 0:
		x := rapid.SampledFrom(open).Draw(t, "run")
		for n := range 64 {
			if x.sent[n] != nil {
				m.reply(x, n, rapid.SampledFrom(drawnOutcomes).Draw(t, "outcome"))
				break
			}
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
		m.deliverGrants()
	}
}

// drainAll ends all runs and checks that no slot leaked.
func (m *runModel) drainAll() {
	m.now += time.Second
	for again := true; again; {
		again = false
		for _, x := range m.runs {
			m.perform(x, x.run.Wake(m.now))
			for n := range 64 {
				if x.sent[n] != nil {
					m.reply(x, n, CallLate)
					again = true
				}
			}
		}
		m.deliverGrants()
	}
	for _, x := range m.runs {
		assert.Equal(m.t, x.finishCount, 1, "every run ends once")
	}
	for _, u := range m.upstreams {
		assert.Equal(m.t, u.slots.inUse, 0, "a slot leaked")
		assert.Equal(m.t, u.slots.queue.Len(), 0, "a waiter was left")
	}
}

func TestRunInvariants(t *testing.T) {
	// Rare interleavings, such as of a hedge and the call that lost to it, need more than
	// the default number of checks.
	assert.NilError(t, flag.Set("rapid.checks", "2000"))
	rapid.Check(t, func(t *rapid.T) {
		m := newRunModel(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step()
			for _, u := range m.upstreams {
				assert.Assert(t, u.slots.inUse <= u.slots.maxSlots, "more calls than slots")
			}
		}
		m.drainAll()
	})
}

func TestSnapshotCoversTheMostShards(t *testing.T) {
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 0))})
	f.Apply(0, []Share{{Name: "A", Slots: 1}, {Name: "B", Slots: 1}, {Name: "C", Slots: 1}})
	ranges := map[string]SnapshotRange{"A": {3, 5, true}, "B": {4, 4, true}, "C": {4, 6, true}}
	for n, r := range ranges {
		f.RecordStatus(0, f.Find(n), r, false)
	}
	_, s := f.Plan([][]string{{"A"}, {"B"}, {"C"}})
	assert.Equal(t, s, uint64(4))
	_, s = f.Plan([][]string{{"A", "C"}, {"C"}})
	assert.Equal(t, s, uint64(6))
	_, s = f.Plan([][]string{{"None"}})
	assert.Equal(t, s, uint64(0))
}

func TestConfiguredPluginsAreRegistered(t *testing.T) {
	for _, n := range config.Choices {
		_, err := pluginByName("chooser", choosers, n)
		assert.NilError(t, err)
	}
	for _, n := range config.Admissions {
		_, err := pluginByName("admission", admissions, n)
		assert.NilError(t, err)
	}
	_, err := pluginByName("chooser", choosers, "Best")
	assert.ErrorIs(t, err, errNotRegistered)
}

// TestLosingHedgeIsNotMerged checks that only the first answer is merged if both calls of a
// hedged shard succeed while another shard keeps the run open.
func TestLosingHedgeIsNotMerged(t *testing.T) {
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 0))})
	f.Apply(0, []Share{{Name: "A", Slots: 4}, {Name: "B", Slots: 4}})
	upstreams := f.resolve([][]string{{"A", "B"}})[0]
	for _, u := range upstreams {
		u.latency.samples = slowStartSamples
	}
	c := config.DefaultClass()
	c.Admission = "None"
	r, err := NewRun(RunConfig{
		Fleet: f, Pool: f.LatencyPool("Data"), Class: &c, Deadline: 300 * time.Millisecond,
		Replicas: [][]*Upstream{upstreams, upstreams}, Repeatable: true, Granted: func(int) {},
	})
	assert.NilError(t, err)
	sent, err := r.Begin(0)
	assert.NilError(t, err)
	assert.Equal(t, len(sent), 2)
	hedges := r.Wake(r.WakeAt())
	assert.Equal(t, len(hedges), 2)
	first := r.Reply(r.attempts[0].hedgeDelay, sent[0].Attempt, CallOK)
	assert.Equal(t, first[0].Kind, ActionMerge)
	assert.Equal(t, first[1].Kind, ActionCancel)
	assert.Equal(t, first[1].Attempt, hedges[0].Attempt)
	assert.Equal(t, len(r.Reply(r.attempts[0].hedgeDelay, hedges[0].Attempt, CallOK)), 0, "the loser is not merged")
}
