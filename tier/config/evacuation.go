package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Evacuation says that the upstreams of a hall get no calls until it ends.
type Evacuation struct {
	Hall string
	// Era and Revision are the platform's position of this entry; Revision is above 0.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// Copied is true if the entry may come from the copy that its era began with: the
	// evacuation may have ended since, in the era before.
	Copied bool `json:",omitempty"`
}

func (v *Evacuation) mark() mark {
	return mark{Position: Position{Era: v.Era, Revision: v.Revision}, copied: v.Copied}
}

// evacuations are the halls evacuated at one position. Those of a directory do not
// change; its editor makes the ones that follow, from a clone.
type evacuations struct {
	// since holds each evacuation in force, ended the last end of one, so that an older
	// entry of the same hall does not bring it back.
	since map[string]Evacuation
	ended map[string]Removal
}

// evacuate makes the evacuations after a change; lacking are the ends of those that it
// lacks as a whole listing. What is older than what is known has no effect.
func (e *editor) evacuate(c *DirectoryChange, lacking []Removal) {
	if len(c.Evacuated)+len(c.Resumed)+len(lacking) == 0 {
		return
	}
	before := e.next.evacuations
	next := before.clone()
	for _, v := range c.Evacuated {
		v.Copied = v.Copied && v.Era > e.next.Settled
		if !e.isOutdated(v.mark()) {
			next.begin(v)
		}
	}
	for _, r := range slices.Concat(c.Resumed, lacking) {
		if !e.isOutdated(r.mark()) {
			next.end(r)
		}
	}
	e.next.evacuations = next
	e.changed = e.changed || next.digest() != before.digest()
}

func (e evacuations) clone() evacuations {
	if e.since == nil {
		return evacuations{since: map[string]Evacuation{}, ended: map[string]Removal{}}
	}
	return evacuations{since: maps.Clone(e.since), ended: maps.Clone(e.ended)}
}

// settled returns the evacuations once an era is settled, as Directory.settle does.
func (e evacuations) settled(era uint64) evacuations {
	out := e.clone()
	for hall, v := range out.since {
		v.Copied = v.Copied && v.Era > era
		v.Era = cmp.Or(v.Era, era-1)
		out.since[hall] = v
	}
	for hall, r := range out.ended {
		out.ended[hall] = r.settled(era)
	}
	return out
}

func (e evacuations) begin(v Evacuation) {
	if v.Hall == "" {
		return
	}
	if r, ended := e.ended[v.Hall]; ended && !v.mark().replaces(r.mark()) {
		return
	}
	if old, known := e.since[v.Hall]; !known || v.mark().replaces(old.mark()) {
		e.since[v.Hall] = v
	}
}

func (e evacuations) end(r Removal) {
	if old, known := e.ended[r.Name]; known && !r.mark().replaces(old.mark()) {
		return
	}
	since, evacuated := e.since[r.Name]
	if evacuated && !r.endsAt(since.mark()) {
		return
	}
	e.ended[r.Name] = r
	delete(e.since, r.Name)
}

// endsAt reports whether an end counts against a beginning; at the same position it does.
func (r *Removal) endsAt(since mark) bool {
	m := r.mark()
	return m.replaces(since) || m.Compare(since.Position) == 0
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

// ImpliedResumptions returns the ends of the evacuations that a whole directory
// does not have, but of those that are newer than it.
func (d *Directory) ImpliedResumptions(c *DirectoryChange) []Removal {
	d = d.orEmpty()
	var out []Removal
	for hall, v := range d.evacuations.since {
		listed := slices.ContainsFunc(c.Evacuated, func(v Evacuation) bool { return v.Hall == hall })
		if !listed && d.coveredBy(v.mark(), c) {
			out = append(out, Removal{Name: hall, Era: c.Era, Revision: c.Revision})
		}
	}
	return out
}
