package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestColdCallLimit(t *testing.T) {
	tests := []struct {
		rate, factor, slack float64
		want                int
	}{
		{0, 1.5, 5, 0}, {1, 1.5, 5, 6}, {4, 1.5, 5, 11}, {40, 1.5, 5, 65}, {0.1, 1, 0, 1}, {-1, 1.5, 5, 0},
	}
	for _, tt := range tests {
		assert.Equal(t, ColdCallLimit(tt.rate, tt.factor, tt.slack), tt.want, "%+v", tt)
	}
}

// coldFleet returns a fleet with one cold upstream in this host's hall.
func coldFleet(calls int) (*Fleet, *Upstream) {
	f := NewFleet(FleetConfig{Random: rand.New(rand.NewPCG(1, 2))})
	share := Share{Name: "U", Slots: 100, Listed: true, Hall: "A", Near: true, Cold: Cold{Remaining: 10 * time.Second, Revision: 1, Calls: calls}}
	f.Apply(time.Minute, []Share{share})
	return f, f.Find("U")
}

func TestOnlyTheOwnerCallsAColdUpstream(t *testing.T) {
	f, u := coldFleet(11)
	now := time.Minute
	assert.Assert(t, !f.AdmitCold(now, u), "the upstream has no owner")
	f.SetColdOwners("Self", map[string]string{"U": "Other"})
	assert.Assert(t, !f.AdmitCold(now, u))
	assert.Equal(t, f.DestinationOf(now, u), Destination{Hall: "A", Owner: "Other"})
	f.SetColdOwners("Self", map[string]string{"U": "Self"})
	assert.Assert(t, f.AdmitCold(now, u))
	assert.Assert(t, f.AdmitCold(now+10*time.Second, u), "the upstream has warmed up")
	assert.Equal(t, f.DestinationOf(now+10*time.Second, u), Destination{Hall: "A"})
}

// TestColdOwnerStaysWithinLimit checks that an owner under load uses its limit fully without
// exceeding it.
func TestColdOwnerStaysWithinLimit(t *testing.T) {
	f, u := coldFleet(11)
	f.SetColdOwners("Self", map[string]string{"U": "Self"})
	var sent []time.Duration
	for now := time.Minute; now < time.Minute+9*time.Second; now += 7 * time.Millisecond {
		if f.AdmitCold(now, u) {
			sent = append(sent, now)
		}
	}
	assert.Equal(t, mostWithin(sent, time.Second), 11/maxColdOwners)
	assert.Assert(t, len(sent) >= 9*(11/maxColdOwners)-1, "%d sent", len(sent))
}

// mostWithin returns the largest number of times within any span. The times must be sorted.
func mostWithin(at []time.Duration, span time.Duration) int {
	most := 0
	for i := range at {
		n := 0
		for n < len(at)-i && at[i+n] < at[i]+span {
			n++
		}
		most = max(most, n)
	}
	return most
}

func TestColdUpdate(t *testing.T) {
	second := time.Second
	tests := []struct {
		name    string
		entries []Cold
		want    time.Duration
	}{
		{"warm", []Cold{{Revision: 1}}, 0},
		{"cold", []Cold{{Revision: 1, Remaining: 3 * second}}, 3 * second},
		{"the same entry twice", []Cold{{Revision: 1, Remaining: 3 * second}, {Revision: 1, Remaining: 3 * second}}, 3 * second},
		{"warm again", []Cold{{Revision: 1, Remaining: 3 * second}, {Revision: 2}}, second},
		{"turned cold", []Cold{{Revision: 1}, {Revision: 2, Remaining: 3 * second}}, 4 * second},
		{"back from an evacuation", []Cold{{Revision: 1, Evacuated: true}, {Revision: 1, Warmup: 3 * second}}, 4 * second},
		{"back, and said to be cold for longer", []Cold{{Revision: 1, Evacuated: true}, {Revision: 2, Remaining: 5 * second, Warmup: 3 * second}}, 6 * second},
		{"back, then said to be warm", []Cold{{Evacuated: true}, {Warmup: 3 * second}, {Revision: 3, Warmup: 3 * second}}, 2 * second},
		{"evacuated", []Cold{{Revision: 1}, {Revision: 1, Evacuated: true, Warmup: 3 * second}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c cold
			for i, entry := range tt.entries {
				c.update(time.Duration(i)*second, entry)
			}
			assert.Equal(t, c.until, tt.want)
		})
	}
}

func TestColdOwnersAreStrongHostsOfTheHall(t *testing.T) {
	hall := []Candidate{{Host: "Weak1", Capacity: 190}, {Host: "Strong1", Capacity: 800}, {Host: "Weak2", Capacity: 190}, {Host: "Strong2", Capacity: 800}}
	owned := map[string]int{}
	for i := range 100 {
		owner := ColdOwner(fmt.Sprint("U", i), hall)
		reversed := slices.Clone(hall)
		slices.Reverse(reversed)
		assert.Equal(t, ColdOwner(fmt.Sprint("U", i), reversed), owner)
		owned[owner]++
	}
	assert.Assert(t, owned["Strong1"] > 20 && owned["Strong2"] > 20 && owned["Strong1"]+owned["Strong2"] == 100, "%v", owned)
	assert.Equal(t, ColdOwner("U", nil), "")
}

// coldLimiter decides whether a host may send a call to a cold upstream now.
type coldLimiter interface {
	admit(host int, now time.Duration) bool
}

// evenLimiter gives each host an even share of the limit and saves up at most one call.
type evenLimiter struct {
	each   float64
	tokens []float64
	at     []time.Duration
}

func (e *evenLimiter) admit(host int, now time.Duration) bool {
	e.tokens[host] = min(e.tokens[host]+e.each*(now-e.at[host]).Seconds(), 1)
	e.at[host] = now
	if e.tokens[host] < 1 {
		return false
	}
	e.tokens[host] = 0
	return true
}

// randomLimiter admits each call with a fixed probability, which is set so that on average
// the load uses a third of the limit.
type randomLimiter struct {
	random      *rand.Rand
	probability float64
}

func (r *randomLimiter) admit(int, time.Duration) bool { return r.random.Float64() < r.probability }

// ownerLimiter uses AdmitCold: every host relays its calls through the owner.
type ownerLimiter struct {
	fleet    *Fleet
	upstream *Upstream
}

func (o *ownerLimiter) admit(_ int, now time.Duration) bool {
	return o.fleet.AdmitCold(now, o.upstream)
}

// TestColdCallLimitAcrossHosts compares ways to divide the call limit of a cold upstream
// among hosts at five times the load it allows, starting with a burst as after a power
// failure. The owner must stay within the limit for any number of hosts.
func TestColdCallLimitAcrossHosts(t *testing.T) {
	const (
		limit    = 11
		duration = 8 * time.Second
		load     = 5 * limit
	)
	for _, hosts := range []int{8, 60, 300, 1000} {
		limiters := map[string]func() coldLimiter{
			"even share": func() coldLimiter {
				e := &evenLimiter{each: float64(limit) / float64(hosts), tokens: make([]float64, hosts), at: make([]time.Duration, hosts)}
				for i := range e.tokens {
					e.tokens[i], e.at[i] = 1, time.Minute
				}
				return e
			},
			"chance": func() coldLimiter {
				return &randomLimiter{random: rand.New(rand.NewPCG(3, uint64(hosts))), probability: limit / 3.0 / load}
			},
			"owner": func() coldLimiter {
				f, u := coldFleet(limit)
				f.SetColdOwners("Self", map[string]string{"U": "Self"})
				return &ownerLimiter{fleet: f, upstream: u}
			},
		}
		for name, newLimiter := range limiters {
			r := rand.New(rand.NewPCG(uint64(hosts), 1))
			l := newLimiter()
			var sent []time.Duration
			for now := time.Minute; now < time.Minute+duration; now += time.Duration(r.ExpFloat64() * float64(time.Second) / load) {
				if l.admit(r.IntN(hosts), now) {
					sent = append(sent, now)
				}
			}
			most := mostWithin(sent, coldWindow)
			used := float64(len(sent)) / duration.Seconds() / limit
			t.Logf("%4d hosts, %-10s: at most %2d calls per second of %d allowed, %.2f of the limit used", hosts, name, most, limit, used)
			if name == "owner" {
				assert.Assert(t, most <= limit/maxColdOwners && used > 0.4)
			}
		}
	}
}
