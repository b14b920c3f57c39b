package pass

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/policy"
	"loomgap/tier/query"
)

// admits reports whether a call may be sent to an upstream now. Every call is checked
// here just before it is sent, whichever host planned it and whenever.
func (e *engine) admits(now time.Duration, c *call, u *policy.Upstream) bool {
	reason := e.barReason(c.route, u.Name)
	// The request may have been quarantined since the call was planned.
	if verdict, _ := e.kernel.Fleet.Verdict(now, c.subject); verdict == policy.VerdictQuarantined {
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

// barrier returns why an upstream may get no call of a route now; empty if it may. It
// uses the newest view: the request that the call belongs to, or the host that sent the
// call, may have been planned before a hall was evacuated or the homes changed.
func (e *engine) barReason(route, upstream string) query.Reason {
	v := e.kernel.View()
	l, listed := v.Directory.Find(upstream)
	if !listed {
		return "" // it has no link either
	}
	var homes []string
	if r := v.Index.RouteByName(route); r != nil {
		homes = r.Homes
	}
	return e.placement(v).DenyReason(&l, homes)
}
