package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestClassBudget(t *testing.T) {
	tests := []struct {
		name  string
		times int
		calls int
		ratio float64
		taken int
	}{
		{"it begins with a few", 0, 0, 0, classBudgetStart},
		{"it earns a part of each call", 1, 20, 0.1, classBudgetStart + 2},
		{"it holds its depth", 100, 20, 0.1, classBudgetDepth},
		{"it holds what two large requests earn", 9, 10_000, 0.1, 2000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newClassBudget()
			for range tt.times {
				b.earn(tt.calls, tt.ratio)
			}
			taken := 0
			for b.take() {
				taken++
			}
			assert.Equal(t, taken, tt.taken)
		})
	}
}

// TestWeakHostsHedgeRequestsToSingleUpstreams guards against too small retry budgets for
// groups that are not shards. If coordinators got most of their slack, as for shards, weak
// hosts could make few hedges.
func TestWeakHostsHedgeRequestsToSingleUpstreams(t *testing.T) {
	const (
		strong, weak = 12, 48
		ratio, slack = 0.2, 160
		window       = 10 * time.Second
		perSecond    = 10
		hedgeShare   = 0.05
	)
	var capacities []int
	for i := range strong + weak {
		capacities = append(capacities, map[bool]int{true: 800, false: 190}[i < strong])
	}
	simulate := func(single func(own int) float64) (granted float64, most int, bound float64) {
		r := rand.New(rand.NewPCG(5, 6))
		var hosts []*Fleet
		for _, c := range capacities {
			f := NewFleet(FleetConfig{Random: r})
			f.SetRetryBudgets(RetryBudgets{
				Shards: ShareRetryBudget(ratio, slack, RetryBudgetDivisor(c, capacities[1:])),
				Single: ShareRetryBudget(ratio, slack, single(c)), IsShard: map[string]bool{"Shard": true},
			})
			hosts = append(hosts, f)
		}
		var taken []time.Duration
		requested := 0
		for now := time.Duration(0); now < 10*time.Minute; now += time.Duration(r.ExpFloat64() * float64(time.Second) / perSecond) {
			f := hosts[r.IntN(len(hosts))]
			f.earnRetry("Single")
			if r.Float64() >= hedgeShare {
				continue
			}
			requested++
			if f.takeRetry(0, "Single") {
				taken = append(taken, now)
			}
		}
		return float64(len(taken)) / float64(requested), mostWithin(taken, window), ratio*perSecond*window.Seconds() + slack
	}
	asShards, _, _ := simulate(func(own int) float64 { return RetryBudgetDivisor(own, capacities[1:]) })
	equal, most, bound := simulate(func(int) float64 { return strong + weak })
	t.Logf("share of hedges allowed: %.2f with the slack divided as for shards, %.2f with equal shares; at most %d of %.0f within %s", asShards, equal, most, bound, window)
	assert.Assert(t, equal > 0.95 && asShards < 0.8)
	assert.Assert(t, float64(most) <= bound)
}

// TestRetryBudgetPerGroup checks that each group uses the budget of its kind.
func TestRetryBudgetPerGroup(t *testing.T) {
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 2))})
	f.SetRetryBudgets(RetryBudgets{Single: RetryBudget{Ratio: 1, Depth: 10}, IsShard: map[string]bool{"Shard": true}})
	for range 10 {
		f.earnRetry("Shard")
		f.earnRetry("Single")
	}
	assert.Assert(t, !f.takeRetry(0, "Shard"))
	assert.Assert(t, f.takeRetry(0, "Single"))
	f.SetRetryBudgets(RetryBudgets{IsShard: map[string]bool{"Shard": true}})
	assert.Assert(t, !f.takeRetry(0, "Single"), "saved retries beyond the new depth are lost")
}
