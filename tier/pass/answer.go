package pass

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"loomgap/tier/policy"
)

// Outcomes of routed requests, in logs and metrics.
const (
	outcomeServed   = "Served"
	outcomePartial  = "Partial"
	outcomeFailed   = "Failed"
	outcomeNotRun   = "NotRun"
	outcomeUnknown  = "Unknown"
	outcomeLate     = "Late"
	outcomeNoRoute  = "NoRoute"
	outcomeInvalid  = "Invalid"
	outcomeGivenUp  = "GivenUp"
	outcomeUncover  = "BelowCoverage"
	outcomeTooLarge = "TooLarge"
)

// answerSingle sends the caller the answer of one upstream.
func (q *request) answerSingle(w http.ResponseWriter, r *policy.Result) {
	a := q.single
	if a == nil {
		a = q.failure
	}
	switch {
	case a != nil && !promises(a.status):
		outcome := outcomeServed
		if a.status >= http.StatusInternalServerError {
			outcome = outcomeFailed
		}
		q.log(outcome, a.status).Int("Calls", r.Attempts).Msg("request answered")
		q.write(w, a.status, a.header, a.body)
	case r.Ran == 0 && !r.Unknown && q.failure == nil:
		q.refuse(w, "no upstream took it: "+string(r.Reasons[0]), q.retryUpstream())
	case q.engine.kernel.Now() >= q.deadline:
		q.fail(w, http.StatusGatewayTimeout, outcomeLate, r)
	default:
		q.fail(w, http.StatusBadGateway, outcomeUnknown, r)
	}
}

// answerGathered sends the caller the merged answer, if it covers enough.
func (q *request) answerGathered(ctx context.Context, w http.ResponseWriter, r *policy.Result) {
	q.complete(ctx)
	total := len(q.plan.groups)
	records, stamps := q.parts.merge(q.route.Gather.Top, q.engine.headers.Stamp)
	missing := total - len(stamps)
	switch {
	case len(stamps) > 0 && float64(len(stamps)) >= q.class.Coverage*float64(total):
		outcome := outcomeServed
		if missing > 0 {
			outcome = outcomePartial
		}
		h := http.Header{}
		h.Set("Content-Type", "application/octet-stream")
		h.Set(q.engine.headers.RequestID, q.id)
		h.Set(q.engine.headers.Parts, strings.Join(stamps, ", "))
		h.Set(q.engine.headers.Missing, strconv.Itoa(missing))
		q.log(outcome, http.StatusOK).Int("Calls", r.Attempts).Int("Missing", missing).
			Strs("Lacking", q.lacking(r)).Msg("request answered")
		q.write(w, http.StatusOK, h, records)
	case r.Ran == 0:
		q.refuse(w, "no upstream took it", q.retryUpstream())
	case q.engine.kernel.Now() >= q.deadline:
		q.fail(w, http.StatusGatewayTimeout, outcomeLate, r)
	default:
		q.fail(w, http.StatusBadGateway, outcomeUncover, r)
	}
}

// write gives headers and body to the caller, with no header made up.
func (q *request) write(w http.ResponseWriter, status int, from http.Header, body []byte) {
	strip(from)
	h := w.Header()
	for name, values := range from {
		if name != "Content-Length" {
			h[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // net/http would make one up
		}
	}
	if q.method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if n := from.Get("Content-Length"); n != "" {
		h.Set("Content-Length", n)
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		q.engine.kernel.Decisions.Info().Str("RequestID", q.id).Err(err).Msg("answer not taken by its caller")
	}
}

// retryUpstream returns in what time upstreams are expected to take the request:
// when enough of those that shed calls or failed may be asked again, where that
// is known.
func (q *request) retryUpstream() time.Duration {
	k := q.engine.kernel
	if left := k.Fleet.RetryIn(k.Now(), q.plan.replicas, q.class.Coverage); left > 0 {
		return max(left, retryLeast)
	}
	return retryNoUpstream
}

// refuse tells that the request did not run, and when to ask again: from the time
// given on, spread so that callers refused together do not come back together.
func (q *request) refuse(w http.ResponseWriter, reason string, after time.Duration) {
	after += rand.N(time.Duration(retrySpread * float64(after)))
	q.log(outcomeNotRun, http.StatusServiceUnavailable).Str("Reason", reason).
		Int64("RetryMillis", after.Milliseconds()).Msg("request refused")
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// fail tells that the request may have run and has no answer.
func (q *request) fail(w http.ResponseWriter, status int, outcome string, r *policy.Result) {
	q.log(outcome, status).Int("Calls", r.Attempts).Int("Ran", r.Ran).
		Int("Included", r.Included).Strs("Lacking", q.lacking(r)).Msg("request failed")
	http.Error(w, "no answer: "+outcome, status)
}

// lackingLogged bounds the shards that one log line names.
const lackingLogged = 8

// lacking describes the shards that an answer lacks, for the log: the group, why
// it is not in, how many calls were sent for it, and what kept a second upstream
// from being asked.
func (q *request) lacking(r *policy.Result) []string {
	missing := r.Missing[:min(len(r.Missing), lackingLogged)]
	out := make([]string, 0, len(missing))
	for _, m := range missing {
		text := q.plan.groups[m.Part] + " " + string(m.Reason) + " " + strconv.Itoa(m.Sends)
		if m.Unhedged != "" {
			text += " " + string(m.Unhedged)
		}
		out = append(out, text)
	}
	return out
}

// reject tells what is wrong with the request itself.
func (q *request) reject(w http.ResponseWriter, status int, outcome, problem string) {
	q.log(outcome, status).Str("Problem", problem).Msg("request rejected")
	http.Error(w, problem, status)
}

// log begins the line that tells what became of the request, and counts it.
func (q *request) log(outcome string, status int) *zerolog.Event {
	q.outcome = outcome
	took := q.engine.kernel.Now() - q.begun
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	labels := `{Route="` + route + `",Outcome="` + outcome + `"}`
	metrics.GetOrCreateCounter("loomgap_routed_total" + labels).Inc()
	metrics.GetOrCreateHistogram("loomgap_routed_seconds" + labels).Update(took.Seconds())
	line := q.engine.kernel.Decisions.Info().Str("RequestID", q.id).Str("Route", route).
		Str("Outcome", outcome).Int("Status", status).Int64("TookMillis", took.Milliseconds())
	if q.subject.Fingerprint != "" {
		line = line.Str("Fingerprint", string(q.subject.Fingerprint))
	}
	if q.subject.Caller.IsValid() {
		line = line.Str("Caller", q.subject.Caller.String())
	}
	if q.view.Index != nil {
		line = line.Uint64("Revision", q.view.Index.Revision).
			Int64("PlatformAgeMillis", (q.engine.kernel.Now() - q.view.PlatformReadAt).Milliseconds())
	}
	return line
}
