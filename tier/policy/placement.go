package policy

import (
	"slices"

	"loomgap/tier/config"
	"loomgap/tier/query"
)

// Placement says where the requests of a route may go: data halls lie in regions,
// routes may have homes among these, and halls may be evacuated. It applies to every
// call to an upstream and every hand-over of a request to another host.
type Placement struct {
	// Regions says where halls lie; a hall that it does not name is no home.
	Regions config.Regions
	// Directory says which upstreams are listed and which halls are evacuated.
	Directory *config.Directory
}

// DenyReason returns why an upstream may not get requests of a route with these
// homes; empty if it may.
func (p *Placement) DenyReason(l *config.Listing, homes []string) query.Reason {
	switch {
	case l.Leaving:
		return query.ReasonUnreachable
	case p.Directory.Evacuated(l.Hall):
		return query.ReasonEvacuated
	case !p.Regions.IsHome(l.Hall, homes):
		return query.ReasonAway
	default:
		return ""
	}
}

// AllowedUpstreams names the upstreams of a group that may get requests of a route with
// these homes, in order of name. If there is none, the reason says why.
func (p *Placement) AllowedUpstreams(group string, homes []string) (names []string, reason query.Reason) {
	listed := p.Directory.Group(group)
	names = make([]string, 0, len(listed))
	reason = query.ReasonUnreachable
	for i := range listed {
		barrier := p.DenyReason(&listed[i], homes)
		if barrier == "" {
			names = append(names, listed[i].Name)
			continue
		}
		if barrier != query.ReasonUnreachable {
			reason = barrier
		}
	}
	if len(names) > 0 {
		reason = ""
	}
	return names, reason
}

// AllowedHosts returns the candidates that may be handed a request of a route with
// these homes: by their own halls. The region of the caller may be another than that
// of the host that it reached, where the caller's own hosts are down, and is ignored.
func (p *Placement) AllowedHosts(all []Candidate, homes []string) []Candidate {
	if len(homes) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return !p.Regions.IsHome(c.Hall, homes) })
}
