package query

import (
	"cmp"
	"fmt"
	"slices"

	"loomgap/tier/config"
)

// Reason says why a part is missing from an answer.
type Reason string

// The reasons for a missing part.
const (
	// ReasonLate means that no upstream answered in time.
	ReasonLate Reason = "Late"
	// ReasonUnreachable means that the upstreams could not be reached, failed, or are
	// not listed.
	ReasonUnreachable Reason = "Unreachable"
	// ReasonRefused means that the upstreams did not accept the call.
	ReasonRefused Reason = "Refused"
	// ReasonSnapshotGone means that the upstreams lack the snapshot.
	ReasonSnapshotGone Reason = "SnapshotGone"
	// ReasonMoved means that the upstreams use another shard map.
	ReasonMoved Reason = "Moved"
	// ReasonMalformed means that a reply was malformed or did not belong to the call.
	ReasonMalformed Reason = "Garbage"
	// ReasonNoRoom means that the host had no memory for a reply beside other messages.
	ReasonNoRoom Reason = "NoRoom"
	// ReasonEvacuated means that no upstream may be called, and some because their data
	// halls are evacuated.
	ReasonEvacuated Reason = "Evacuated"
	// ReasonOutsideHomes means that no upstream may be called, and some because they are
	// outside the home regions of the route.
	ReasonOutsideHomes Reason = "Away"
	// ReasonCold means that some upstreams are still warming up and have no capacity for
	// another call.
	ReasonCold Reason = "Cold"
	// ReasonSuspected means that the request is suspected of crashing upstreams, and the
	// only upstream that was asked did not answer.
	ReasonSuspected Reason = "Suspected"
	// ReasonQuarantined means that the request is refused because it crashed upstreams.
	ReasonQuarantined Reason = "Quarantined"
)

// Range is a half-open key range.
type Range struct {
	From, To uint32
}

// Missing is a key range that is missing from an answer.
type Missing struct {
	Shard string
	Range
	Reason Reason
}

// Coverage says which of the requested key ranges an answer includes. Included and
// Missing together are exactly the requested ranges.
type Coverage struct {
	// Asked is the number of shards that the request concerns.
	Asked int
	// Included is sorted by key; adjacent ranges are joined.
	Included []Range
	// Missing is sorted by key.
	Missing []Missing
}

// NewCoverage computes the coverage of an answer. The reason of a shard is empty if the
// answer includes it.
func NewCoverage(shards []config.Shard, reasons []Reason) Coverage {
	c := Coverage{Asked: len(shards)}
	for i, s := range shards {
		r := Range{From: s.From, To: s.To}
		if reasons[i] != "" {
			c.Missing = append(c.Missing, Missing{Shard: s.Name, Range: r, Reason: reasons[i]})
			continue
		}
		last := len(c.Included) - 1
		if last >= 0 && c.Included[last].To == r.From {
			c.Included[last].To = r.To
			continue
		}
		c.Included = append(c.Included, r)
	}
	return c
}

// SelectShards returns the shards with the given names, sorted by key, or all shards if
// no names are given.
func SelectShards(s *config.Service, names []string) ([]config.Shard, error) {
	if len(names) == 0 {
		return s.Shards, nil
	}
	var out []config.Shard
	for _, n := range names {
		shard := config.Find(s.Shards, n)
		if shard == nil {
			return nil, errorAt(startOfText, fmt.Sprintf("service %s has no shard %q", s.Name, n), "`loomctl plan -Command 'show shards of "+s.Name+"'` lists them")
		}
		out = append(out, *shard)
	}
	slices.SortFunc(out, func(a, b config.Shard) int { return cmp.Compare(a.From, b.From) })
	return slices.CompactFunc(out, func(a, b config.Shard) bool { return a.Name == b.Name }), nil
}
