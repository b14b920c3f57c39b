package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturnsInTheOrderOfRefusal guards against callers that are told to retry at the same
// time, or before the places of the waiting requests and of more urgent ranks are free.
func TestReturnsInTheOrderOfRefusal(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name        string
		rank, ahead int
		now, left   time.Duration
		want        time.Duration
	}{
		{"after the waiting requests", 1, 29, time.Second, time.Second, 300 * ms},
		{"the next one of the rank after it", 1, 29, time.Second, time.Second, 310 * ms},
		{"a more urgent rank does not wait for it", 0, 9, time.Second, time.Second, 100 * ms},
		{"a lower one does", 2, 0, time.Second, time.Second, 320 * ms},
		{"at least 20 ms", 0, 0, time.Second + 200*ms, time.Second, 20 * ms},
		{"at most a third of the time left", 1, 200, time.Second + 200*ms, time.Second, time.Second / 3},
		{"no place was assigned to that one", 1, 0, time.Second + 200*ms, time.Second, 120 * ms},
		{"no time left", 1, 0, time.Second + 200*ms, -time.Second, 20 * ms},
		{"times that have passed do not count", 2, 4, time.Minute, time.Second, 50 * ms},
	}
	s := newReturnSchedule(nil)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := s.book(tt.now, tt.rank, tt.ahead, 100, tt.left)
			assert.Equal(t, got.Round(time.Microsecond), tt.want.Round(time.Microsecond))
		})
	}
	assert.Equal(t, len(s.bookedUntil), 1)
}

// TestReturnsAtSevenTimesTheCapacity guards against a schedule that runs ahead of the time
// that callers wait, and against retries that all come at its end.
func TestReturnsAtSevenTimesTheCapacity(t *testing.T) {
	const (
		left       = 3 * time.Second
		throughput = 100.0
	)
	s := newReturnSchedule(rand.New(rand.NewPCG(1, 0)))
	perTenth := map[time.Duration]int{}
	for i := range 6000 {
		now := time.Duration(i) * time.Second / 600
		in := s.book(now, 0, 10, throughput, left)
		assert.Assert(t, in >= minReturnTime && in <= left/3)
		perTenth[(now+in)/(100*time.Millisecond)]++
	}
	for at, n := range perTenth {
		// 600 refusals in a second, spread by a tenth of a second of jitter.
		assert.Assert(t, n <= 2*60, "%d retries from %s", n, at*100*time.Millisecond)
	}
	assert.Assert(t, s.bookedUntil[0] <= 11*time.Second)
}

// TestJitterOfReturnsIsATenthAtMost guards against retries before the assigned place is free.
func TestJitterOfReturnsIsATenthAtMost(t *testing.T) {
	for seed := range uint64(200) {
		s := newReturnSchedule(rand.New(rand.NewPCG(seed, 0)))
		in := s.book(0, 0, 9, 100, time.Minute)
		assert.Assert(t, in >= 100*time.Millisecond && in <= 110*time.Millisecond, "%s", in)
		in = s.book(0, 0, 1000, 100, 3*time.Second)
		assert.Assert(t, in >= 900*time.Millisecond && in <= time.Second, "%s", in)
	}
}
