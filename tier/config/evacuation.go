package config

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Evacuation says that the upstreams of a hall get no calls until it ends.
type Evacuation struct {
	Hall string
	// Revision is the platform's revision of this entry; above 0.
	Revision uint64
}

// evacuations are the halls evacuated at one revision. They do not change; next
// makes the ones that follow.
type evacuations struct {
	// since holds the revision of each evacuation in force, ended that of the last
	// end of one, so that an older entry of the same hall does not bring it back.
	since, ended map[string]uint64
}

// next returns the evacuations after a change, and whether another set of halls
// is evacuated then. What is older than what is known has no effect.
func (e evacuations) next(c *DirectoryChange, whole bool) (evacuations, bool) {
	if len(c.Evacuated)+len(c.Resumed) == 0 && (!whole || len(e.since) == 0) {
		return e, false
	}
	out := evacuations{since: maps.Clone(e.since), ended: maps.Clone(e.ended)}
	if out.since == nil {
		out.since, out.ended = map[string]uint64{}, map[string]uint64{}
	}
	for _, v := range c.Evacuated {
		if v.Hall != "" && v.Revision > out.ended[v.Hall] {
			out.since[v.Hall] = max(out.since[v.Hall], v.Revision)
		}
	}
	resumed := c.Resumed
	if whole {
		resumed = append(slices.Clone(resumed), out.lacking(c)...)
	}
	for _, r := range resumed {
		out.ended[r.Name] = max(out.ended[r.Name], r.Revision)
		if out.since[r.Name] <= r.Revision {
			delete(out.since, r.Name)
		}
	}
	return out, out.digest() != e.digest()
}

// lacking returns the ends of the evacuations that a whole directory does not
// have, but of those that are newer than it.
func (e evacuations) lacking(c *DirectoryChange) []Removal {
	var out []Removal
	for hall, since := range e.since {
		if since <= c.Revision && !slices.ContainsFunc(c.Evacuated, func(v Evacuation) bool { return v.Hall == hall }) {
			out = append(out, Removal{Name: hall, Revision: c.Revision})
		}
	}
	return out
}

// digest names the evacuated halls; 0 if there is none.
func (e evacuations) digest() uint64 {
	sum := uint64(0)
	for hall := range e.since {
		sum += xxhash.Sum64String("evacuated\x00" + hall)
	}
	return sum
}

// Evacuated reports whether the upstreams of a hall are to get nothing.
func (d *Directory) Evacuated(hall string) bool {
	_, evacuated := d.orEmpty().evacuations.since[hall]
	return evacuated
}

// EvacuatedHalls lists the halls that are evacuated, in order of name.
func (d *Directory) EvacuatedHalls() []string {
	return slices.Sorted(maps.Keys(d.orEmpty().evacuations.since))
}

// LackingEvacuations returns the ends of the evacuations that a whole directory
// does not have.
func (d *Directory) LackingEvacuations(c *DirectoryChange) []Removal {
	return d.orEmpty().evacuations.lacking(c)
}
