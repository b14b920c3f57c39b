package pass

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"loomgap/tier/policy"
)

// outcome is what became of a routed request, in logs and metrics.
type outcome string

const (
	// outcomeServed means that the caller has an upstream's answer, or all parts.
	outcomeServed outcome = "Served"
	// outcomePartial means that enough parts are in the answer, but not all.
	outcomePartial outcome = "Partial"
	// outcomeFailed means that the caller has an upstream's own failure.
	outcomeFailed outcome = "Failed"
	// outcomeNotRun means that no upstream ran the request.
	outcomeNotRun outcome = "NotRun"
	// outcomeUnknown means that upstreams may have run it, and there is no answer.
	outcomeUnknown outcome = "Unknown"
	// outcomeLate means that the deadline passed without an answer.
	outcomeLate outcome = "Late"
	// outcomeBelowCoverage means that too few parts were answered.
	outcomeBelowCoverage outcome = "BelowCoverage"
	// outcomeGivenUp means that the caller went away.
	outcomeGivenUp outcome = "GivenUp"
	// outcomeNoRoute means that no route matches the request.
	outcomeNoRoute outcome = "NoRoute"
	// outcomeInvalid means that the request is wrong.
	outcomeInvalid outcome = "Invalid"
	// outcomeTooLarge means that the request's body is too large.
	outcomeTooLarge outcome = "TooLarge"
)

// lackingLogged bounds the shards that one log line names.
const maxMissingLogged = 8

// log begins the line that says what became of the request, and counts it.
func (q *request) log(o outcome, status int) *zerolog.Event {
	q.outcome = o
	k := q.engine.kernel
	took := k.Now() - q.times.startedAt
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	labels := `{Route="` + route + `",Outcome="` + string(o) + `"}`
	metrics.GetOrCreateCounter("loomgap_routed_total" + labels).Inc()
	metrics.GetOrCreateHistogram("loomgap_routed_seconds" + labels).Update(took.Seconds())
	line := k.RequestLog.Info().Str("RequestID", q.in.id).Str("Route", route).
		Str("Outcome", string(o)).Int("Status", status).Int64("TookMillis", took.Milliseconds())
	if q.in.subject.Fingerprint != "" {
		line = line.Str("Fingerprint", string(q.in.subject.Fingerprint))
	}
	if q.in.subject.Caller.IsValid() {
		line = line.Str("Caller", q.in.subject.Caller.String())
	}
	if q.view.Index != nil {
		line = line.Uint64("Revision", q.view.Index.Revision).
			Int64("PlatformAgeMillis", (k.Now() - q.view.PlatformReadAt).Milliseconds())
	}
	return line
}

// lacking describes the shards that an answer lacks, for the log: the group, why it is
// not in, how many calls were sent for it, and what kept a second upstream from being
// called.
func (q *request) describeMissing(r *policy.Result) []string {
	missing := r.Missing[:min(len(r.Missing), maxMissingLogged)]
	out := make([]string, 0, len(missing))
	for _, m := range missing {
		text := q.plan.groups[m.Part] + " " + string(m.Reason) + " " + strconv.Itoa(m.Sends)
		if m.HedgeSkipped != "" {
			text += " " + string(m.HedgeSkipped)
		}
		out = append(out, text)
	}
	return out
}
