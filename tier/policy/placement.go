package policy

import (
	"slices"

	"loomgap/tier/config"
	"loomgap/tier/query"
)

// Placement decides where the requests of a route may go. Data halls belong to regions, a
// route may be restricted to home regions, and halls may be evacuated. It applies to every
// call to an upstream and whenever a request is forwarded to another host.
type Placement struct {
	// Regions maps halls to regions. A hall that it does not contain belongs to no home
	// region.
	Regions config.Regions
	// Directory holds the listed upstreams and the evacuated halls.
	Directory *config.Directory
}

// DenyReason returns why an upstream may not get requests of a route with the given homes;
// empty if it may.
func (p *Placement) DenyReason(l *config.Listing, homes []string) query.Reason {
	switch {
	case l.Leaving:
		return query.ReasonUnreachable
	case p.Directory.Evacuated(l.Hall):
		return query.ReasonEvacuated
	case !p.Regions.IsHome(l.Hall, homes):
		return query.ReasonOutsideHomes
	default:
		return ""
	}
}

// AllowedUpstreams returns the names of the upstreams of a group that may get requests of a
// route with the given homes, sorted by name. If there is none, reason says why.
func (p *Placement) AllowedUpstreams(group string, homes []string) (names []string, reason query.Reason) {
	listed := p.Directory.Group(group)
	names = make([]string, 0, len(listed))
	reason = query.ReasonUnreachable
	for i := range listed {
		denied := p.DenyReason(&listed[i], homes)
		if denied == "" {
			names = append(names, listed[i].Name)
			continue
		}
		if denied != query.ReasonUnreachable {
			reason = denied
		}
	}
	if len(names) > 0 {
		reason = ""
	}
	return names, reason
}

// AllowedHosts returns the candidates that may execute a request of a route with the given
// homes, judged by the halls of the candidates. It ignores the region of the caller, which
// may have reached a host in another region because its own hosts are down.
func (p *Placement) AllowedHosts(all []Candidate, homes []string) []Candidate {
	if len(homes) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return !p.Regions.IsHome(c.Hall, homes) })
}
