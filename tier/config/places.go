package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Regions says in which region each data hall lies.
type Regions map[string]string

// errRegion is wrapped by what is wrong with a list of regions.
var errRegion = errors.New("write Hall=Region, divided by commas")

// ParseRegions reads Hall=Region,Hall=Region; an empty text names no hall.
func ParseRegions(text string) (Regions, error) {
	out := Regions{}
	if text == "" {
		return out, nil
	}
	for _, pair := range strings.Split(text, ",") {
		hall, region, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || hall == "" || region == "" {
			return nil, fmt.Errorf("%q: %w", pair, errRegion)
		}
		if other, known := out[hall]; known && other != region {
			return nil, fmt.Errorf("hall %s lies in %s and in %s: %w", hall, other, region, errRegion)
		}
		out[hall] = region
	}
	return out, nil
}

// String writes the regions as ParseRegions reads them, in order of hall.
func (r Regions) String() string {
	var out []string
	for _, h := range slices.Sorted(maps.Keys(r)) {
		out = append(out, h+"="+r[h])
	}
	return strings.Join(out, ",")
}

// IsHome reports whether a hall lies in one of a route's homes. A route without
// homes is at home everywhere; a hall of which no region is known is no home.
func (r Regions) IsHome(hall string, homes []string) bool {
	if len(homes) == 0 {
		return true
	}
	region, known := r[hall]
	return known && slices.Contains(homes, region)
}

// Evacuation asks that the upstreams of a hall get nothing until it is taken back.
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

// sinceOlder adds to a change what an older state does not have, in order of hall.
func (e evacuations) sinceOlder(old evacuations, out *DirectoryChange) {
	for _, hall := range slices.Sorted(maps.Keys(e.since)) {
		if r := e.since[hall]; old.since[hall] != r {
			out.Evacuated = append(out.Evacuated, Evacuation{Hall: hall, Revision: r})
		}
	}
	for _, hall := range slices.Sorted(maps.Keys(e.ended)) {
		if r := e.ended[hall]; old.ended[hall] != r {
			out.Resumed = append(out.Resumed, Removal{Name: hall, Revision: r})
		}
	}
}

// DropUnboundWarmups forgets how long upstreams are cold whose groups bear any number
// of requests meanwhile. It prevents the heartbeats of a whole hall that warms up from
// going to all hosts as changes: with 300 hosts the busiest sent 1,194 kB a second in
// place of 587, and the tier served a hall's callers 4.5 s after it was back.
func (x *Index) DropUnboundWarmups(listed []Listing) {
	if x == nil {
		return
	}
	for i := range listed {
		if g := x.Group(listed[i].Group); g != nil && g.ColdRate <= 0 {
			listed[i].Warmup = 0
		}
	}
}

// Evacuated reports whether the upstreams of a hall are to get nothing.
func (d *Directory) Evacuated(hall string) bool {
	if d == nil {
		return false
	}
	_, evacuated := d.evacuations.since[hall]
	return evacuated
}

// EvacuatedHalls lists the halls that are evacuated, in order of name.
func (d *Directory) EvacuatedHalls() []string {
	if d == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(d.evacuations.since))
}

// LackingEvacuations returns the ends of the evacuations that a whole directory
// does not have.
func (d *Directory) LackingEvacuations(c *DirectoryChange) []Removal {
	if d == nil {
		return nil
	}
	return d.evacuations.lacking(c)
}
