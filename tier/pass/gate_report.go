package pass

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// refusalInterval is the length of the intervals in which recent refusals are counted.
const refusalInterval = 10 * time.Second

// gateReport shows the state of one gate to operators.
type gateReport struct {
	// groups names the set of groups of the gate.
	groups string
	// gauges holds the gauges of this gate alone, so that they can be removed together.
	gauges  *metrics.Set
	refused recentRefusals
}

// groupsLabel returns the name of a set of groups for metrics and the status: its first
// group and the number of groups. Two sets may have the same label.
func groupsLabel(groups []string) string {
	if len(groups) == 0 {
		return "/0"
	}
	return groups[0] + "/" + strconv.Itoa(len(groups))
}

// newGateReport registers the gauges of a gate. They are shown until close is called.
func newGateReport(groups []string, state func() policy.GateState) *gateReport {
	r := &gateReport{groups: groupsLabel(groups), gauges: metrics.NewSet()}
	labels := `{Groups="` + labelValue(r.groups) + `"}`
	r.gauges.NewGauge("loomgap_gate_places"+labels, func() float64 { return float64(state().Places) })
	r.gauges.NewGauge("loomgap_gate_in_flight"+labels, func() float64 { return float64(state().InFlight) })
	r.gauges.NewGauge("loomgap_gate_waiting"+labels, func() float64 { return float64(state().Waiting) })
	r.gauges.NewGauge("loomgap_gate_shortage"+labels, func() float64 {
		if state().Limited {
			return 1
		}
		return 0
	})
	metrics.RegisterSet(r.gauges)
	return r
}

// close removes the gauges of the gate.
func (r *gateReport) close() { metrics.UnregisterSet(r.gauges, true) }

// recentRefusals counts the refusals of the current and of the previous interval. It is safe
// for concurrent use; the zero value is ready to use.
type recentRefusals struct {
	mu sync.Mutex
	// interval is the number of the current interval.
	interval          int64
	current, previous uint64
}

// advance begins the interval of the given time. It is called with the lock held.
func (c *recentRefusals) advance(now time.Duration) {
	interval := int64(now / refusalInterval)
	switch {
	case interval <= c.interval:
		return
	case interval == c.interval+1:
		c.previous = c.current
	default:
		c.previous = 0
	}
	c.interval, c.current = interval, 0
}

func (c *recentRefusals) add(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.current++
}

func (c *recentRefusals) count(now time.Duration) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	return c.previous + c.current
}

// gateStates returns the states of the gates, ordered by the names of their groups.
func (e *engine) gateStates() []kernel.GateState {
	now := e.kernel.Now()
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	out := make([]kernel.GateState, 0, len(e.gates.byKey))
	for _, g := range e.gates.byKey {
		out = append(out, kernel.GateState{
			GateState: g.State(now), Groups: g.report.groups, RefusedRecently: g.report.refused.count(now),
		})
	}
	slices.SortFunc(out, func(a, b kernel.GateState) int { return cmp.Compare(a.Groups, b.Groups) })
	return out
}

// closeGateReports removes the gauges of all gates.
func (e *engine) closeGateReports() {
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	for _, g := range e.gates.byKey {
		g.report.close()
	}
}

// gateDecision is what a gate decided about a request and what that was based on.
type gateDecision struct {
	policy.Outlook
	// entered is what the gate decided when the request arrived. A request that had to wait
	// and was then refused counts as refused.
	entered policy.Decision
	rank    int
	// held is the time that hosts held the request before it arrived at the gate.
	held time.Duration
	// waited is the time from the request's arrival at the gate to the decision.
	waited time.Duration
	// places and inFlight describe the gate when it decided.
	places, inFlight int
}

var _ zerolog.LogObjectMarshaler = (*gateDecision)(nil)

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (d *gateDecision) MarshalZerologObject(line *zerolog.Event) {
	line.Str("Decision", string(d.Decision)).Int("Rank", d.rank).Int("Ahead", d.Ahead).
		Int("Places", d.places).Int("InFlight", d.inFlight).
		Int64("ExpectedWaitMillis", d.Wait.Milliseconds()).Int64("WaitedMillis", d.waited.Milliseconds()).
		Str("Entered", string(d.entered)).Int64("HeldMillis", d.held.Milliseconds())
}

// recordDecision counts the decision about the request, which arrived at the gate at the
// given time. o is what the gate decided then, refused is true if it refused the request, then
// or later. Unless the request ran at once, all its later log lines show the decision.
func (q *request) recordDecision(o policy.Outlook, refused bool, arrivedAt time.Duration) {
	now := q.engine.kernel.Now()
	d := &gateDecision{
		Outlook: o, entered: o.Decision, rank: q.route.Priority, waited: now - arrivedAt,
		held: max(arrivedAt-q.times.startedAt, 0),
	}
	if refused {
		d.Decision = policy.DecisionRefuse
		q.gate.report.refused.add(now)
	}
	countDecision(q.route.Name, d)
	if d.Decision == policy.DecisionRun {
		return
	}
	s := q.gate.State(now)
	d.places, d.inFlight = s.Places, s.InFlight
	q.gateDecision = d
}

// countDecision updates the metrics of the decisions. A request that had to wait and was then
// refused counts as refused.
func countDecision(route string, d *gateDecision) {
	metrics.GetOrCreateCounter(`loomgap_gate_decisions_total{Route="` + labelValue(route) + `",Decision="` + string(d.Decision) + `"}`).Inc()
	if d.Decision != policy.DecisionRun {
		metrics.GetOrCreateHistogram(`loomgap_gate_wait_seconds{Rank="` + strconv.Itoa(d.rank) + `"}`).Update(d.waited.Seconds())
	}
}
