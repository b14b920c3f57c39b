package policy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
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

// strongIn returns a coordinator with what is known of its room.
func strongIn(host, hall string, roundTrip time.Duration, room KnownRoom) Candidate {
	return Candidate{Host: host, Hall: hall, Capacity: 426, RoundTrip: roundTrip, Room: room}
}

// roomAt returns what is known after a report.
func roomAt(at time.Duration, inFlight, places, waiting int) (k KnownRoom) {
	k.Observe(at, &RoomReport{InFlight: inFlight, Places: places, Waiting: waiting})
	return k
}

// declinedAt returns what is known after a request was declined.
func declinedAt(at time.Duration) (k KnownRoom) {
	k.Declined(at)
	return k
}

// TestChoiceWithoutReports guards against any change of the order while no shortage is known, as
// when all hosts start at once.
func TestChoiceWithoutReports(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		c := CoordinatorChoice{Now: time.Minute, Self: Candidate{Host: "W", Hall: "A", Capacity: 66}, Random: r.IntN}
		for i := range r.IntN(8) {
			c.All = append(c.All, Candidate{
				Host: fmt.Sprint("H", i), Hall: string(rune('A' + r.IntN(3))), Capacity: []int{66, 131, 426}[r.IntN(3)],
				RoundTrip: time.Duration(r.IntN(3)) * time.Millisecond, Pending: r.IntN(3),
			})
		}
		want := Coordinators(c.Self, c.All)
		got, ok := c.Choose()
		assert.Equal(t, ok, len(want) > 0)
		if ok {
			assert.Equal(t, got.Candidate, want[0])
			assert.Equal(t, got.MayDecline, len(want) > 1)
		}
	}
}

// TestChoiceByRoom covers the reports that change the order, and their age.
func TestChoiceByRoom(t *testing.T) {
	const (
		ms  = time.Millisecond
		now = time.Minute
	)
	full, free, unknown := roomAt(now-40*ms, 6, 6, 0), roomAt(now-40*ms, 5, 6, 0), KnownRoom{}
	freeAgain := func(age time.Duration) KnownRoom {
		k := roomAt(now-age, 6, 6, 3)
		k.Observe(now-ms, &RoomReport{InFlight: 5, Places: 6})
		return k
	}
	pending := strongIn("N", "A", 0, free)
	pending.Pending = 1
	tests := []struct {
		name     string
		all      []Candidate
		executes bool
		// declinedBy is the hall that declined the request.
		declinedBy string
		// want are the hosts that are chosen at some time.
		want       string
		mayDecline bool
	}{
		{"nearest has room", []Candidate{strongIn("N", "A", 0, free), strongIn("F", "B", ms, unknown)}, false, "", "N", true},
		{"nearest is full", []Candidate{strongIn("N", "A", 0, full), strongIn("F", "B", ms, unknown)}, false, "", "F", true},
		{"nearest has waiting requests", []Candidate{strongIn("N", "A", 0, roomAt(now, 1, 6, 1)), strongIn("F", "B", ms, unknown)}, false, "", "F", true},
		{"nearest is full with what was sent", []Candidate{pending, strongIn("F", "B", ms, unknown)}, false, "", "F", true},
		{"other of the nearest hall has room", []Candidate{strongIn("N", "A", 0, full), strongIn("N2", "A", 0, unknown), strongIn("F", "B", ms, unknown)}, false, "", "N2", true},
		{"after a decline the nearest hall has no preference", []Candidate{strongIn("N2", "A", 0, unknown), strongIn("F", "B", ms, unknown), strongIn("G", "C", 2*ms, unknown)}, false, "A", "F N2", true},
		{"report of 2 s is dropped", []Candidate{strongIn("N", "A", 0, roomAt(now-2*time.Second, 6, 6, 9)), strongIn("F", "B", ms, unknown)}, false, "", "N", true},
		{"report expires", []Candidate{strongIn("N", "A", 0, roomAt(now-roomReportTTL, 6, 6, 9)), strongIn("F", "B", ms, unknown)}, false, "", "N", true},
		{"report is valid", []Candidate{strongIn("N", "A", 0, roomAt(now-roomReportTTL+1, 6, 6, 9)), strongIn("F", "B", ms, unknown)}, false, "", "F", true},
		{"nearest declined", []Candidate{strongIn("N", "A", 0, declinedAt(now-ms)), strongIn("F", "B", ms, unknown)}, false, "", "F", true},
		{"nearest declined before", []Candidate{strongIn("N", "A", 0, declinedAt(now-roomHysteresis)), strongIn("F", "B", ms, unknown)}, false, "", "N", true},
		{"nearest has had room for a short time", []Candidate{strongIn("N", "A", 0, freeAgain(roomHysteresis-1)), strongIn("F", "B", ms, unknown)}, false, "", "F N", true},
		{"nearest has had room for a while", []Candidate{strongIn("N", "A", 0, freeAgain(roomHysteresis)), strongIn("F", "B", ms, unknown)}, false, "", "N", true},
		{"nearer one of two with room", []Candidate{strongIn("N", "A", 0, full), strongIn("F", "B", 2*ms, unknown), strongIn("G", "C", 16*ms, unknown)}, false, "", "F", true},
		{"unknown distance is farthest", []Candidate{strongIn("N", "A", 0, full), strongIn("F", "B", 0, unknown), strongIn("G", "C", 16*ms, unknown)}, false, "", "G", true},
		{"all full, shorter wait", []Candidate{strongIn("N", "A", 0, roomAt(now, 6, 6, 6)), strongIn("F", "B", 2*ms, roomAt(now, 6, 6, 1))}, false, "", "F", false},
		{"all full, nearest", []Candidate{strongIn("N", "A", 0, roomAt(now, 6, 6, 1)), strongIn("F", "B", 2*ms, roomAt(now, 6, 6, 1))}, false, "", "N", false},
		{"all full, one declined", []Candidate{strongIn("N", "A", 0, declinedAt(now-ms)), strongIn("F", "B", 2*ms, roomAt(now, 6, 6, 6))}, false, "", "F", false},
		{"all declined", []Candidate{strongIn("N", "A", 0, declinedAt(now-ms)), strongIn("F", "B", 2*ms, declinedAt(now-ms))}, false, "", "N", false},
		{"known other halls are full, so are unknown ones", []Candidate{strongIn("N", "A", 0, roomAt(now, 6, 6, 1)), strongIn("F", "B", 2*ms, unknown), strongIn("G", "C", 2*ms, roomAt(now, 6, 6, 1))}, false, "", "N", false},
		{"one known other hall has room", []Candidate{strongIn("N", "A", 0, full), strongIn("F", "B", 2*ms, unknown), strongIn("G", "C", 2*ms, free), strongIn("H", "D", 2*ms, full)}, false, "", "F G", true},
		{"nearest hall is another one", []Candidate{strongIn("F", "B", 2*ms, full), strongIn("G", "C", 16*ms, unknown)}, false, "", "G", true},
		{"nearest hall is another one and declined", []Candidate{strongIn("F", "B", 2*ms, full), strongIn("G", "C", 16*ms, unknown)}, false, "B", "G", true},
		{"only one", []Candidate{strongIn("N", "A", 0, full)}, false, "", "N", false},
		{"executes, other of the hall has room", []Candidate{strongIn("N", "A", 0, unknown), strongIn("F", "B", ms, unknown)}, true, "", "N", true},
		{"executes, other hall has room", []Candidate{strongIn("F", "B", ms, unknown)}, true, "", "F", true},
		{"executes, other hall has a longer wait", []Candidate{strongIn("F", "B", ms, roomAt(now, 6, 6, 3))}, true, "", "S", false},
		{"executes, other hall has a shorter wait", []Candidate{strongIn("F", "B", ms, roomAt(now, 6, 6, 1))}, true, "", "F", false},
		{"executes, only weaker ones", []Candidate{{Host: "W", Hall: "B", Capacity: 66}}, true, "", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := CoordinatorChoice{
				Now: now, Self: Candidate{Host: "S", Hall: "A", Capacity: 66}, SelfExecutes: tt.executes, All: tt.all,
				DeclinedBy: tt.declinedBy, Objective: 100 * ms, Random: rand.New(rand.NewPCG(1, 2)).IntN,
			}
			if tt.executes {
				c.Self.Capacity, c.Self.Room = 426, roomAt(now, 6, 6, 2)
			}
			hosts := map[string]bool{}
			for range 100 {
				chosen, ok := c.Choose()
				if ok {
					hosts[chosen.Host] = true
					assert.Equal(t, chosen.MayDecline, tt.mayDecline)
				}
			}
			assert.Equal(t, strings.Join(slices.Sorted(maps.Keys(hosts)), " "), tt.want)
		})
	}
}

// TestOwnWaitIsShorterThanRoundTrip guards against handing a request over to a hall that is farther
// away than the wait at the own gate.
func TestOwnWaitIsShorterThanRoundTrip(t *testing.T) {
	c := CoordinatorChoice{
		Now: time.Minute, Self: strongIn("S", "A", 0, roomAt(time.Minute, 6, 6, 1)), SelfExecutes: true,
		All: []Candidate{strongIn("F", "B", 16*time.Millisecond, KnownRoom{})}, Random: rand.New(rand.NewPCG(1, 2)).IntN,
	}
	for wait, want := range map[time.Duration]string{0: "F", 16 * time.Millisecond: "S", 17 * time.Millisecond: "F"} {
		c.OwnWait = wait
		chosen, ok := c.Choose()
		assert.Assert(t, ok)
		assert.Equal(t, chosen.Host, want, "%s", wait)
	}
}

// TestRoomAfterEndOfShortage guards against a report that outlives the shortage: a message without
// a report, also one of an older host, ends it.
func TestRoomAfterEndOfShortage(t *testing.T) {
	k := roomAt(time.Minute, 6, 6, 9)
	assert.Assert(t, !k.hasRoom(time.Minute, 0) && !k.Expired(time.Minute))
	k.Observe(time.Minute, nil)
	assert.Assert(t, k.settled(time.Minute, 0) && k.Expired(time.Minute))
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
