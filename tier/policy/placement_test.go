package policy

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"loomgap/tier/config"
	"loomgap/tier/query"
)

// TestPlacementStaysWithinHomes checks with random regions, upstreams, evacuations and
// homes that exactly the allowed upstreams and hosts are returned, with a reason if there
// is no upstream.
func TestPlacementStaysWithinHomes(t *testing.T) {
	halls := []string{"A", "B", "C", "D", ""}
	rapid.Check(t, func(t *rapid.T) {
		regions := config.Regions{}
		for _, h := range halls[:3] {
			regions[h] = rapid.SampledFrom([]string{"East", "West"}).Draw(t, "region")
		}
		homes := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"East", "West", "North"}), 0, 2, rapid.ID[string]).Draw(t, "homes")
		change := config.DirectoryChange{Revision: 1}
		for i := range rapid.IntRange(0, 6).Draw(t, "upstreams") {
			change.Listed = append(change.Listed, config.Listing{
				Name: fmt.Sprint("U", i), Group: "G", Hall: rapid.SampledFrom(halls).Draw(t, "hall"),
				Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0, Revision: 1,
			})
		}
		for _, h := range rapid.SliceOfNDistinct(rapid.SampledFrom(halls), 0, 3, rapid.ID[string]).Draw(t, "evacuated") {
			change.Evacuated = append(change.Evacuated, config.Evacuation{Hall: h, Revision: 1})
		}
		d, _ := (*config.Directory)(nil).With(&change)
		p := Placement{Regions: regions, Directory: d}
		atHome := func(hall string) bool {
			return len(homes) == 0 || regions[hall] != "" && slices.Contains(homes, regions[hall])
		}
		names, reason := p.AllowedUpstreams("G", homes)
		for _, l := range change.Listed {
			want := !l.Leaving && !d.Evacuated(l.Hall) && atHome(l.Hall)
			assert.Equal(t, slices.Contains(names, l.Name), want, "%+v", l)
		}
		assert.Equal(t, reason == "", len(names) > 0)
		var all []Candidate
		for _, h := range halls {
			all = append(all, Candidate{Host: "host of " + h, Hall: h, Capacity: 1})
		}
		allowed := p.AllowedHosts(all, homes)
		for _, c := range all {
			assert.Equal(t, slices.Contains(allowed, c), atHome(c.Hall), "%+v", c)
		}
	})
}

func TestDenyReason(t *testing.T) {
	d, _ := (*config.Directory)(nil).With(&config.DirectoryChange{Revision: 1, Evacuated: []config.Evacuation{{Hall: "B", Revision: 1}}})
	p := Placement{Regions: config.Regions{"A": "East", "B": "East", "C": "West"}, Directory: d}
	tests := []struct {
		listing config.Listing
		want    query.Reason
	}{
		{config.Listing{Hall: "A"}, ""},
		{config.Listing{Hall: "A", Leaving: true}, query.ReasonUnreachable},
		{config.Listing{Hall: "B"}, query.ReasonEvacuated},
		{config.Listing{Hall: "C"}, query.ReasonOutsideHomes},
		{config.Listing{Hall: "D"}, query.ReasonOutsideHomes},
	}
	for _, tt := range tests {
		assert.Equal(t, p.DenyReason(&tt.listing, []string{"East"}), tt.want, "%+v", tt.listing)
	}
}
