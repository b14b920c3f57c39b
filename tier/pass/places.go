package pass

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/query"
)

// places says where requests may go as of a view.
func (e *Engine) places(v *kernel.View) *policy.Placement {
	return &policy.Placement{Regions: e.kernel.Settings.Regions, Directory: v.Directory}
}

// barrier returns why an upstream may get no call of a route now; empty if it may.
// It goes by the newest view: the request that the call belongs to, or the host that
// sent the call, may have been planned before a hall was evacuated or homes changed.
func (e *Engine) barrier(route, upstream string) query.Reason {
	v := e.kernel.View()
	l, listed := v.Directory.Find(upstream)
	if !listed {
		return "" // it has no link either
	}
	var homes []string
	if r := v.Index.RouteNamed(route); r != nil {
		homes = r.Homes
	}
	return e.places(v).Barrier(&l, homes)
}

// admission names what a call belongs to.
type admission struct {
	route, request string
	// subject is the zero value where the host that planned the call does not tell it.
	subject policy.Subject
}

// admits reports whether a call may be sent to an upstream now. Every call is asked
// for here, just before it is sent, whoever planned it.
func (e *Engine) admits(now time.Duration, a *admission, u *policy.Upstream) bool {
	reason := e.barrier(a.route, u.Name)
	// The request may have come to be quarantined since the call was planned.
	if verdict, _ := e.kernel.Fleet.Judge(now, a.subject); verdict == policy.VerdictQuarantined {
		reason = query.ReasonQuarantined
	}
	if reason == "" && !e.kernel.Fleet.AdmitCold(now, u) {
		reason = query.ReasonCold
	}
	if reason == "" {
		return true
	}
	metrics.GetOrCreateCounter(`loomgap_calls_barred_total{Reason="` + string(reason) + `"}`).Inc()
	e.kernel.Decisions.Info().Str("RequestID", a.request).Str("Upstream", u.Name).
		Str("Reason", string(reason)).Msg("call barred")
	return false
}

// coldOf describes an upstream that may not have warmed up.
func (e *Engine) coldOf(l *config.Listing, b *basis) policy.Cold {
	out := policy.Cold{Left: time.Duration(l.Warmup), Revision: l.Revision, Evacuated: b.directory.Evacuated(l.Hall)}
	if g := b.index.Group(l.Group); g != nil {
		s := &e.kernel.Settings
		out.Warmup, out.Calls = time.Duration(g.Warmup), policy.ColdCalls(g.ColdRate, s.ColdFactor, s.ColdSlack)
	}
	return out
}

// assignCold assigns each cold upstream that bears a bounded number of calls to a
// host of its hall; it runs on the control thread.
func (e *Engine) assignCold(v *kernel.View) {
	cold := e.kernel.Fleet.BoundedCold(e.kernel.Now())
	if len(cold) == 0 {
		return
	}
	owners, hosts := make(map[string]string, len(cold)), map[string][]policy.Candidate{}
	for name, hall := range cold {
		if _, known := hosts[hall]; !known {
			hosts[hall] = e.hostsOf(v, hall)
		}
		owners[name] = policy.ColdOwner(name, hosts[hall])
	}
	e.kernel.Fleet.SetColdOwners(e.kernel.Settings.Host, owners)
}

// hostsOf describes the live hosts of a hall that stay, this one included.
func (e *Engine) hostsOf(v *kernel.View, hall string) []policy.Candidate {
	out := liveHosts(v, func(other string) bool { return other == hall })
	if hall == e.kernel.Settings.Hall {
		out = append(out, e.self())
	}
	return out
}
