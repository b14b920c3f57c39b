package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Evacuation records that the upstreams of a hall get no calls until it ends.
type Evacuation struct {
	Hall string
	// Era and Revision are the platform's position of the entry; Revision is above 0.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// Copied is true if the entry may come from the backup that its era began with: the
	// evacuation may since have ended, in the previous era.
	Copied bool `json:",omitempty"`
}

func (v *Evacuation) version() version {
	return version{Position: Position{Era: v.Era, Revision: v.Revision}, copied: v.Copied}
}

// evacuations are the evacuated halls at one position. Those of a directory are
// immutable; its editor modifies a clone.
type evacuations struct {
	// active holds the current evacuation of each evacuated hall, ended the last end of
	// an evacuation of each hall, so that an older entry does not restore it.
	active map[string]Evacuation
	ended  map[string]Removal
}

// applyEvacuations applies the evacuations of a change and their ends; implied are the
// ends implied by a complete listing. Entries that are older than the known ones have no
// effect.
func (e *editor) applyEvacuations(c *DirectoryChange, implied []Removal) {
	if len(c.Evacuated)+len(c.Resumed)+len(implied) == 0 {
		return
	}
	before := e.next.evacuations
	next := before.clone()
	for _, v := range c.Evacuated {
		v.Copied = v.Copied && v.Era > e.next.Settled
		if !e.isOutdated(v.version()) {
			next.begin(v)
		}
	}
	for _, r := range slices.Concat(c.Resumed, implied) {
		if !e.isOutdated(r.version()) {
			next.end(r)
		}
	}
	e.next.evacuations = next
	e.changed = e.changed || next.digest() != before.digest()
}

func (e evacuations) clone() evacuations {
	if e.active == nil {
		return evacuations{active: map[string]Evacuation{}, ended: map[string]Removal{}}
	}
	return evacuations{active: maps.Clone(e.active), ended: maps.Clone(e.ended)}
}

// settled returns the evacuations after an era is settled; see Directory.settle.
func (e evacuations) settled(era uint64) evacuations {
	out := e.clone()
	for hall, v := range out.active {
		v.Copied = v.Copied && v.Era > era
		v.Era = cmp.Or(v.Era, era-1)
		out.active[hall] = v
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
	if r, ended := e.ended[v.Hall]; ended && !v.version().replaces(r.version()) {
		return
	}
	if old, known := e.active[v.Hall]; !known || v.version().replaces(old.version()) {
		e.active[v.Hall] = v
	}
}

func (e evacuations) end(r Removal) {
	if old, known := e.ended[r.Name]; known && !r.version().replaces(old.version()) {
		return
	}
	active, evacuated := e.active[r.Name]
	if evacuated && !r.appliesTo(active.version()) {
		return
	}
	e.ended[r.Name] = r
	delete(e.active, r.Name)
}

// appliesTo reports whether a removal removes an entry of the given version. It also does
// so at the same position.
func (r *Removal) appliesTo(entry version) bool {
	v := r.version()
	return v.replaces(entry) || v.Compare(entry.Position) == 0
}

// digest returns a hash of the evacuated halls; 0 if there are none.
func (e evacuations) digest() uint64 {
	sum := uint64(0)
	for hall := range e.active {
		sum += xxhash.Sum64String("evacuated\x00" + hall)
	}
	return sum
}

// Evacuated reports whether a hall is evacuated, so that its upstreams get no calls.
func (d *Directory) Evacuated(hall string) bool {
	_, evacuated := d.orEmpty().evacuations.active[hall]
	return evacuated
}

// EvacuatedHalls returns the evacuated halls, sorted by name.
func (d *Directory) EvacuatedHalls() []string {
	return slices.Sorted(maps.Keys(d.orEmpty().evacuations.active))
}

// ImpliedResumptions returns the ends of evacuations that a complete listing implies:
// those of the evacuations that it lacks, with the same exceptions as ImpliedRemovals.
func (d *Directory) ImpliedResumptions(c *DirectoryChange) []Removal {
	d = d.orEmpty()
	var out []Removal
	for hall, v := range d.evacuations.active {
		listed := slices.ContainsFunc(c.Evacuated, func(v Evacuation) bool { return v.Hall == hall })
		if !listed && d.coveredBy(v.version(), c) {
			out = append(out, Removal{Name: hall, Era: c.Era, Revision: c.Revision})
		}
	}
	return out
}
