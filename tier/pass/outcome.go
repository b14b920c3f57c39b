package pass

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"loomgap/tier/config"
	"loomgap/tier/policy"
)

// outcome is the result of a routed request, as used in logs and metrics.
type outcome string

const (
	// outcomeServed means that the caller got an upstream's response, or all parts.
	outcomeServed outcome = "Served"
	// outcomePartial means that the response has enough parts, but not all.
	outcomePartial outcome = "Partial"
	// outcomeFailed means that the caller got an error response of an upstream.
	outcomeFailed outcome = "Failed"
	// outcomeNotRun means that no upstream ran the request.
	outcomeNotRun outcome = "NotRun"
	// outcomeUnknown means that the request may have run, but there is no response.
	outcomeUnknown outcome = "Unknown"
	// outcomeLate means that the deadline passed without a response.
	outcomeLate outcome = "Late"
	// outcomeBelowCoverage means that too few parts were answered.
	outcomeBelowCoverage outcome = "BelowCoverage"
	// outcomeCancelled means that the caller closed the connection.
	outcomeCancelled outcome = "GivenUp"
	// outcomeNoRoute means that no route matches the request.
	outcomeNoRoute outcome = "NoRoute"
	// outcomeInvalid means that the request is invalid.
	outcomeInvalid outcome = "Invalid"
	// outcomeTooLarge means that the body of the request is too large.
	outcomeTooLarge outcome = "TooLarge"
)

// maxMissingLogged limits the shards that are listed in one log line.
const maxMissingLogged = 8

// log counts the request under its outcome and starts its final log event.
func (q *request) log(o outcome, status int) *zerolog.Event {
	q.outcome = o
	k := q.engine.kernel
	took := k.Now() - q.times.startedAt
	route := ""
	if q.route != nil {
		route = config.Shorten(q.route.Name)
	}
	labels := `{Route="` + labelValue(route) + `",Outcome="` + string(o) + `"}`
	metrics.GetOrCreateCounter("loomgap_routed_total" + labels).Inc()
	metrics.GetOrCreateHistogram("loomgap_routed_seconds" + labels).Update(took.Seconds())
	line := k.RequestLog.Info().Str("RequestID", q.in.id).Str("Route", route).
		Str("Outcome", string(o)).Int("Status", status).Int64("TookMillis", took.Milliseconds())
	if q.in.identity.Fingerprint != "" {
		line = line.Str("Fingerprint", string(q.in.identity.Fingerprint))
	}
	if q.in.identity.Caller.IsValid() {
		line = line.Str("Caller", q.in.identity.Caller.String())
	}
	if q.gateDecision != nil {
		line = line.EmbedObject(q.gateDecision)
	}
	if q.view.Index != nil {
		line = line.Uint64("Revision", q.view.Index.Revision).
			Int64("PlatformAgeMillis", (k.Now() - q.view.PlatformReadAt).Milliseconds())
	}
	return line
}

// describeMissing describes the shards that are missing from a response, for the log: the
// group, the reason, the number of calls sent, and why no second upstream was called.
func (q *request) describeMissing(r *policy.Result) []string {
	missing := r.Missing[:min(len(r.Missing), maxMissingLogged)]
	out := make([]string, 0, len(missing))
	for _, m := range missing {
		text := config.Shorten(q.plan.groups[m.Part]) + " " + string(m.Reason) + " " + strconv.Itoa(m.Sends)
		if m.HedgeSkipped != "" {
			text += " " + string(m.HedgeSkipped)
		}
		out = append(out, text)
	}
	return out
}
