package replay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"loomgap/tier/policy"
)

// tally counts requests by how they ended.
type tally struct {
	asked, onTime, late, refused, failed int
	// refusals holds the times from the arrival of an attempt to its refusal.
	refusals []time.Duration
	// refusalShares holds the same times as shares of the objective.
	refusalShares []float64
}

func (c *tally) served() int { return c.onTime + c.late }

// rate returns the share of requests that were served.
func (c *tally) rate() float64 { return share(c.served(), c.asked) }

// onTimeRate returns the share of requests that were answered on time.
func (c *tally) onTimeRate() float64 { return share(c.onTime, c.asked) }

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// Names of tallies other than those of routes and halls.
const (
	ofAll    = "All"
	ofSteady = "Steady"
	ofEager  = "Eager"
	// ofAfter counts the requests of the tail, from overloadSettled after the load.
	ofAfter = "After"
	// ofSettled counts the requests of the load from overloadSettled after its start.
	ofSettled = "Settled"
)

// overloadSettled is the time after a change of the load within which hosts adapt.
const overloadSettled = 2 * time.Second

// overloadReport counts the requests, calls and refusals of the load.
type overloadReport struct {
	name   string
	params *overloadParams
	// tallies holds the counts of all requests of the load and of groups of them.
	tallies map[string]*tally
	// bySecond counts the requests answered on time by the second in which they were asked.
	bySecond [(loadUntil + overloadTail) / time.Second]int
	// refusedBySecond counts the refusals by the second in which they came.
	refusedBySecond [(loadUntil + overloadTail) / time.Second]int
	// promised counts the requests whose caller came back as told, kept those of them that
	// were then served.
	promised, kept int
	// calls and sheds count the calls that ended during the load.
	calls, sheds   int
	shedBySecond   [(loadUntil + overloadTail) / time.Second]int
	newConnections int
	// handedOver and declined count attempts sent to another host and declined there.
	handedOver, declined int
	// decisions counts attempts by route, what their gate decided when they arrived and how
	// they ended.
	decisions map[string]int
	// waits and runs hold the times of admitted attempts from arrival to admission and from
	// there to the least coverage.
	waits, runs []time.Duration
	// running, queued and slots sum samples of the upstreams.
	running, queued, slots int
}

func newOverloadReport(name string, p *overloadParams) *overloadReport {
	return &overloadReport{name: name, params: p, tallies: map[string]*tally{}, decisions: map[string]int{}}
}

func (r *overloadReport) of(name string) *tally {
	if r.tallies[name] == nil {
		r.tallies[name] = &tally{}
	}
	return r.tallies[name]
}

// talliesOf returns the tallies that a request counts in.
func (r *overloadReport) talliesOf(q *overloadRequest) []*tally {
	switch {
	case q.askedAt >= loadUntil+overloadSettled:
		return []*tally{r.of(ofAfter)}
	case q.askedAt < loadFrom || q.askedAt >= loadUntil:
		return nil
	}
	kind := ofSteady
	if q.caller.eager {
		kind = ofEager
	}
	hall := hallName(q.caller.hall)
	out := []*tally{r.of(ofAll), r.of(r.params.routes[q.route].Name), r.of(hall), r.of(kind)}
	if q.askedAt >= loadFrom+overloadSettled {
		out = append(out, r.of(ofSettled+" "+hall))
	}
	return out
}

// countEnd counts a request whose last response arrived.
func (r *overloadReport) countEnd(q *overloadRequest, k responseKind, now time.Duration) {
	onTime := now-q.askedAt <= time.Duration(r.params.routes[q.route].Objective)
	for _, c := range r.talliesOf(q) {
		c.asked++
		switch {
		case k == responseRefused:
			c.refused++
		case k == responseFailed:
			c.failed++
		case onTime:
			c.onTime++
		default:
			c.late++
		}
	}
	if k == responseServed && onTime {
		r.bySecond[q.askedAt/time.Second]++
	}
	if q.promised {
		r.promised++
		if k == responseServed {
			r.kept++
		}
	}
}

// countRefusal counts the refusal of an attempt.
func (r *overloadReport) countRefusal(a *gatedAttempt, now time.Duration) {
	after := now - a.arrivedAt
	objective := time.Duration(r.params.routes[a.request.route].Objective)
	r.refusedBySecond[min(int(now/time.Second), len(r.refusedBySecond)-1)]++
	for _, c := range r.talliesOf(a.request) {
		c.refusals = append(c.refusals, after)
		c.refusalShares = append(c.refusalShares, float64(after)/float64(objective))
	}
}

// countDecision counts an attempt that passed a gate.
func (r *overloadReport) countDecision(a *gatedAttempt, k responseKind, now time.Duration) {
	if a.ticket == nil || len(r.talliesOf(a.request)) <= 1 {
		return
	}
	route := &r.params.routes[a.request.route]
	attempt, end := "first", string(k)
	if a.request.retries > 0 {
		attempt = "retry"
	}
	if k == responseServed && now-a.request.askedAt > time.Duration(route.Objective) {
		end += " late"
	}
	r.decisions[fmt.Sprintf("%s %s, %s: %s", route.Name, attempt, a.ticket.Outlook().Decision, end)]++
}

// countStart counts the wait of an attempt that is admitted.
func (r *overloadReport) countStart(a *gatedAttempt) {
	if len(r.talliesOf(a.request)) > 1 {
		r.waits = append(r.waits, a.admittedAt-a.arrivedAt)
	}
}

// countCovered counts the run of an attempt whose answer has the least coverage.
func (r *overloadReport) countCovered(a *gatedAttempt, now time.Duration) {
	if len(r.talliesOf(a.request)) > 1 {
		r.runs = append(r.runs, now-a.admittedAt)
	}
}

// countCall counts a call that ended.
func (r *overloadReport) countCall(now time.Duration, o policy.CallOutcome) {
	if now < loadFrom || now >= loadUntil {
		return
	}
	r.calls++
	if o == policy.CallShed {
		r.sheds++
		r.shedBySecond[now/time.Second]++
	}
}

// fitting returns the share of the requests that fits into the slots of the weakest shard,
// by the mean service times.
func (r *overloadReport) fitting() float64 {
	demand := 0.0
	for i := range r.params.routes {
		o := &r.params.routes[i]
		mean := 0.0
		for n := range overloadHalls {
			mean += r.params.traffic(i, n) / overloadHalls
		}
		demand += mean * o.rate * o.service.Seconds()
	}
	return min(r.params.capacity()/demand, 1)
}

// capacity returns the number of slots of the weakest shard. A slow upstream counts as a
// fraction of its slots.
func (p *overloadParams) capacity() float64 {
	if !p.slow {
		return overloadReplicas * overloadSlots
	}
	return overloadSlots * (overloadReplicas - 1 + 1.0/slowdown)
}

// normalDemand returns the number of slots of a shard in use at normal traffic.
func normalDemand(routes []overloadRoute) float64 {
	out := 0.0
	for i := range routes {
		out += routes[i].rate * routes[i].service.Seconds()
	}
	return out
}

// quantile returns a quantile of unordered values, q from 0 to 1; 0 without values.
func quantile[T time.Duration | float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// log returns the report with its title and the decisions of the gates.
func (r *overloadReport) log() string {
	var out strings.Builder
	fmt.Fprintf(&out, "\n%s, control %s\n%s", r.name, r.params.control, r)
	for _, name := range slices.Sorted(maps.Keys(r.decisions)) {
		fmt.Fprintf(&out, "%s %d; ", name, r.decisions[name])
	}
	return out.String()
}

// String returns the report as a Markdown table with a summary.
func (r *overloadReport) String() string {
	var out strings.Builder
	fmt.Fprint(&out, "| Of | Asked | Served | On time | Late | Refused | Failed | Refusals | p50 ms | p99 ms |\n")
	fmt.Fprint(&out, "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, name := range slices.Sorted(maps.Keys(r.tallies)) {
		c := r.tallies[name]
		fmt.Fprintf(&out, "| %s | %d | %d | %d | %d | %d | %d | %d | %.1f | %.1f |\n", name, c.asked, c.served(), c.onTime, c.late,
			c.refused, c.failed, len(c.refusals), millis(quantile(c.refusals, 0.5)), millis(quantile(c.refusals, 0.99)))
	}
	fit := r.fitting()
	fmt.Fprintf(&out, "fits by slots and service times: %.0f of %d (%.0f%%); on time by second %v, refusals %v\n",
		fit*float64(r.of(ofAll).asked), r.of(ofAll).asked, 100*fit, r.bySecond, r.refusedBySecond)
	fmt.Fprintf(&out, "calls %d, shed %d (%.2f%%) by second %v, new connections %d; came as told %d, then served %d\n",
		r.calls, r.sheds, 100*share(r.sheds, r.calls), r.shedBySecond, r.newConnections, r.promised, r.kept)
	fmt.Fprintf(&out, "handed over %d, declined %d; ", r.handedOver, r.declined)
	fmt.Fprintf(&out, "slots in use %.2f, calls queued per slot %.2f; wait p50 %.0f ms, p90 %.0f ms; run p50 %.0f ms, p90 %.0f ms\n",
		share(r.running, r.slots), share(r.queued, r.slots), millis(quantile(r.waits, 0.5)), millis(quantile(r.waits, 0.9)),
		millis(quantile(r.runs, 0.5)), millis(quantile(r.runs, 0.9)))
	return out.String()
}
