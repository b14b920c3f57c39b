package pass

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// TestBasePlacesAreDividedAmongExecutors guards against hosts that together admit far more or
// fewer requests than the upstreams have room for, also beside an odd entry.
func TestBasePlacesAreDividedAmongExecutors(t *testing.T) {
	groups := []string{"S0", "S1", "S2"}
	gather, single := &config.Route{Gather: &config.Gather{Groups: groups}}, &config.Route{Group: "S0"}
	strong, weak, leaving, dead := kernel.Member{Live: true, Capacity: 1000}, kernel.Member{Live: true, Capacity: 200}, kernel.Member{Live: true, Leaving: true, Capacity: 1000}, kernel.Member{Capacity: 1000}
	tests := []struct {
		name  string
		route *config.Route
		cores float64
		// slots has the slots of the upstreams of each group; those below 0 are of one that is leaving.
		slots   [][]int
		members []kernel.Member
		// candidates are the capacities of the other hosts that may coordinate.
		candidates       []int
		executors, bases int
	}{
		{"alone", gather, 1, [][]int{{4}, {4}, {4}}, nil, nil, 1, 16},
		{"median group", gather, 1, [][]int{{1}, {2, 3}, {50}}, nil, nil, 1, 20},
		{"leaving upstreams", gather, 1, [][]int{{4, -4}, {4, -4}, {4, -4}}, nil, nil, 1, 16},
		{"similar coordinators", gather, 1, [][]int{{4}, {4}, {4}}, nil, []int{1000, 900, 1100}, 4, 4},
		{"weak hosts forward", gather, 1, [][]int{{4}, {4}, {4}}, []kernel.Member{weak}, []int{200, 1000, 500, 501}, 3, 5},
		{"weak host among strong ones", gather, 0.2, [][]int{{4}, {4}, {4}}, nil, []int{1000, 1000}, 3, 5},
		{"gathers are not counted by members", gather, 1, [][]int{{4}, {4}, {4}}, []kernel.Member{strong, strong}, nil, 1, 16},
		{"other routes run on all active hosts", single, 1, [][]int{{8}}, []kernel.Member{strong, weak, leaving, dead}, []int{1000}, 3, 10},
		{"at least one", gather, 1, [][]int{{1}, {1}, {1}}, nil, []int{1000, 1000, 1000, 1000, 1000}, 6, 1},
		{"one odd entry with the most slots that a number holds", single, 1, [][]int{{4, math.MaxInt}}, nil, nil, 1, 4 * (4 + maxListedSlots)},
		{"two of them", single, 1, [][]int{{math.MaxInt, math.MaxInt}}, nil, nil, 1, 8 * maxListedSlots},
		{"no published slots", gather, 1, [][]int{{}, {}, {}}, nil, nil, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost(t, hostConfig{name: "H1", hall: "A", cores: tt.cores})
			change := &config.DirectoryChange{Revision: 1}
			for i, slots := range tt.slots {
				for j, n := range slots {
					change.Listed = append(change.Listed, config.Listing{
						Name: fmt.Sprintf("U%d-%d", i, j), Group: groups[i], Hall: "A", Slots: max(n, -n), Leaving: n < 0, Revision: 1,
					})
				}
			}
			v := &kernel.View{Members: map[string]kernel.Member{}}
			v.Directory, _ = (*config.Directory)(nil).With(change)
			for i, m := range tt.members {
				v.Members[fmt.Sprint("M", i)] = m
			}
			candidates := []policy.Candidate{}
			for i, capacity := range tt.candidates {
				candidates = append(candidates, policy.Candidate{Host: fmt.Sprint("C", i), Hall: "A", Capacity: capacity})
			}
			h.engine.coordinators.candidates.Store(&candidates)
			assert.Equal(t, h.engine.executors(v, tt.route), tt.executors)
			assert.Equal(t, h.engine.basePlaces(v, groups[:len(tt.slots)], tt.route), tt.bases)
		})
	}
}
