package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	entrygen "loomgap/tier/gen/entry"
	"loomgap/tier/policy"
	"loomgap/tier/query"
)

// Outcomes of a request, as defined in package design.
const (
	outcomeComplete = "Complete"
	outcomePartial  = "Partial"
	outcomeNotRun   = "NotRun"
	outcomeUnknown  = "Unknown"
)

// notReadyRetryAfter is the retry delay given to callers while the host has no
// configuration or knows no snapshots. A starting host has both within about a second.
const notReadyRetryAfter = time.Second

// newAnswer returns an answer without rows. Its lists are not nil, as callers expect.
func (e *engine) newAnswer(id, class, outcome string) *entrygen.Answer {
	return &entrygen.Answer{
		RequestID: id, Class: class, Outcome: outcome, EntryHost: e.kernel.Settings.Host,
		Rows: []*entrygen.Row{}, Included: []*entrygen.KeyRange{}, Missing: []*entrygen.Missing{},
	}
}

// resultAnswer returns the answer to a request that ran, without its rows.
func (e *engine) resultAnswer(q *request, shards []config.Shard, r *policy.Result) *entrygen.Answer {
	coverage := query.NewCoverage(shards, r.Reasons)
	a := e.newAnswer(q.id, q.class.Name, outcomeComplete)
	a.Asked, a.Attempts = uint32(coverage.Asked), uint32(r.Attempts)
	a.Revision, a.MapRevision = q.view.Index.Revision, q.service.MapRevision
	for _, i := range coverage.Included {
		a.Included = append(a.Included, &entrygen.KeyRange{From: i.From, To: i.To})
	}
	for _, m := range coverage.Missing {
		a.Missing = append(a.Missing, &entrygen.Missing{Shard: m.Shard, From: m.From, To: m.To, Reason: string(m.Reason)})
	}
	if len(a.Missing) > 0 {
		a.Outcome = outcomePartial
		a.Remedy = new("the ranges under Missing are not in the answer; ask again for them")
	}
	return a
}

// notRunAnswer returns the answer to a request that did not run.
func (e *engine) notRunAnswer(id, class, reason string, after time.Duration) *entrygen.Answer {
	a := e.newAnswer(id, class, outcomeNotRun)
	a.RetryAfterMillis = new(uint64(after.Milliseconds()))
	a.Remedy = new(reason + "; ask again in " + after.String())
	return a
}

// unknownAnswer returns the answer to an order that may have run.
func (e *engine) unknownAnswer(in *entrygen.OrderPayload, remedy string) *entrygen.Answer {
	a := e.newAnswer(in.Ticket, in.Class, outcomeUnknown)
	a.Remedy = &remedy
	return a
}

// rowsOf converts rows to those of the generated service.
func rowsOf(rows []query.Row) []*entrygen.Row {
	out := make([]*entrygen.Row, 0, len(rows))
	for i := range rows {
		r := &entrygen.Row{Key: rows[i].Key, Fields: []*entrygen.Field{}}
		for _, f := range rows[i].Fields {
			r.Fields = append(r.Fields, &entrygen.Field{Name: f.Name, Value: f.Value})
		}
		out = append(out, r)
	}
	return out
}

// countAnswer updates the request metrics.
func countAnswer(a *entrygen.Answer, took time.Duration) {
	labels := `{Class="` + a.Class + `",Outcome="` + a.Outcome + `"}`
	metrics.GetOrCreateCounter("loomgap_requests_total" + labels).Inc()
	metrics.GetOrCreateSummary("loomgap_request_seconds" + labels).Update(took.Seconds())
	metrics.GetOrCreateCounter("loomgap_parts_asked_total").Add(int(a.Asked))
	metrics.GetOrCreateCounter("loomgap_parts_missing_total").Add(len(a.Missing))
	metrics.GetOrCreateCounter("loomgap_attempts_total").Add(int(a.Attempts))
}
