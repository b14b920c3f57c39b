package pass

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/policy"
	"loomgap/tier/query"
)

// admits reports whether a call may be sent to an upstream now. Every call is checked here
// just before it is sent, whichever host planned it and whenever.
func (e *engine) admits(now time.Duration, c *call, u *policy.Upstream) bool {
	reason := e.barReason(c.route, u.Name)
	// The request may have been quarantined since the call was planned.
	if verdict, _ := e.kernel.Fleet.Verdict(now, c.identity); verdict == policy.VerdictQuarantined {
		reason = query.ReasonQuarantined
	}
	if reason == "" && !e.kernel.Fleet.AdmitCold(now, u) {
		reason = query.ReasonCold
	}
	if reason == "" {
		return true
	}
	metrics.GetOrCreateCounter(`loomgap_calls_barred_total{Reason="` + string(reason) + `"}`).Inc()
	e.kernel.RequestLog.Info().Str("RequestID", c.id).Str("Upstream", u.Name).
		Str("Reason", string(reason)).Msg("call barred")
	return false
}

// barReason returns why calls of a route may not go to an upstream now, or "" if they may.
// It uses the newest view, since a hall may have been evacuated, or the homes changed,
// after the request was planned by this host or the sender of the call.
func (e *engine) barReason(route, upstream string) query.Reason {
	v := e.kernel.View()
	l, listed := v.Directory.Find(upstream)
	if !listed {
		return "" // it has no connection pool either
	}
	var homes []string
	if r := v.Index.RouteByName(route); r != nil {
		homes = r.Homes
	}
	return e.placement(v).DenyReason(&l, homes)
}
