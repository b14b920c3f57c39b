package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCapacity(t *testing.T) {
	tests := []struct {
		cores, link float64
		want        int
	}{
		{1, 0, 1000},
		{0.5, 0, 500},
		{1, 220, 500},
		{0.8, 200, 426},
		{0.192, 22, 66},
		{0.0001, 0.1, 1},
	}
	for _, tt := range tests {
		assert.Equal(t, Capacity(tt.cores, tt.link), tt.want)
	}
}

func TestCoordinators(t *testing.T) {
	const ms = time.Millisecond
	weak := Candidate{Host: "W", Hall: "A", Capacity: 66}
	strong := func(host, hall string, roundTrip time.Duration, pending int) Candidate {
		return Candidate{Host: host, Hall: hall, Capacity: 426, RoundTrip: roundTrip, Pending: pending}
	}
	tests := []struct {
		name string
		self Candidate
		all  []Candidate
		want string
	}{
		{"nobody", weak, nil, ""},
		{"hosts alike", weak, []Candidate{{Host: "B", Hall: "A", Capacity: 66}, {Host: "C", Hall: "A", Capacity: 131}}, ""},
		{"the own hall goes first", weak, []Candidate{strong("B", "B", ms, 0), strong("A", "A", 9*ms, 3)}, "A"},
		{"then the nearest", weak, []Candidate{strong("B", "B", 16*ms, 0), strong("C", "C", 2*ms, 0)}, "C"},
		{"what is not known is farthest", weak, []Candidate{strong("B", "B", 0, 0), strong("C", "C", 16*ms, 0)}, "C"},
		{"one that gives no sign is passed over", weak, []Candidate{strong("B", "A", 0, 1), strong("C", "A", 0, 0)}, "C"},
		{"a strong host needs none", strong("S", "A", 0, 0), []Candidate{strong("B", "B", ms, 0), weak}, ""},
		{"weaker ones do not count beside it", weak, []Candidate{{Host: "D", Hall: "A", Capacity: 140}, strong("B", "B", ms, 0)}, "B"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if all := Coordinators(tt.self, tt.all); len(all) > 0 {
				got = all[0].Host
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestHostsSpreadOverCoordinators guards against an uneven choice among equal coordinators.
func TestHostsSpreadOverCoordinators(t *testing.T) {
	all := []Candidate{{Host: "A", Capacity: 426}, {Host: "B", Capacity: 426}, {Host: "C", Capacity: 426}}
	chosen := map[string]int{}
	for i := range 300 {
		chosen[Coordinators(Candidate{Host: fmt.Sprint("W", i), Capacity: 66}, all)[0].Host]++
	}
	for _, c := range all {
		assert.Assert(t, chosen[c.Host] > 70, "%v", chosen)
	}
}

// TestRetryBudgetDivisorsStayWithinSlack checks that the shares of all hosts add up to the
// slack, for equal and for mixed capacities.
func TestRetryBudgetDivisorsStayWithinSlack(t *testing.T) {
	fleets := map[string][]int{
		"one":     {1000},
		"alike":   {400, 400, 400, 400, 400, 400, 400},
		"mixed":   append(repeat(426, 18), repeat(66, 277)...),
		"grown":   append(repeat(426, 12), repeat(66, 50)...),
		"three":   append(append(repeat(1000, 3), repeat(600, 5)...), repeat(100, 40)...),
		"all but": append(repeat(100, 1), repeat(1000, 9)...),
	}
	for name, capacities := range fleets {
		t.Run(name, func(t *testing.T) {
			sum := 0.0
			for i, own := range capacities {
				others := append(append([]int{}, capacities[:i]...), capacities[i+1:]...)
				sum += 1 / RetryBudgetDivisor(own, others)
			}
			assert.Assert(t, sum > 0.999 && sum < 1.001, "%f", sum)
		})
	}
}

func repeat(n, times int) []int {
	out := make([]int, times)
	for i := range out {
		out[i] = n
	}
	return out
}
