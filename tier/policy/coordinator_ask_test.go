package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusedRequestAsksOnlyWhereItHelps guards against a request that its host would refuse and
// that is handed over to a distant coordinator without room: its refusal comes two round trips
// later.
func TestRefusedRequestAsksOnlyWhereItHelps(t *testing.T) {
	const (
		ms  = time.Millisecond
		now = time.Minute
		far = 16 * ms
	)
	lately := func(waiting int) KnownRoom { return roomAt(now-40*ms, 6, 6, waiting) }
	before := func(age time.Duration) KnownRoom { return roomAt(now-age, 6, 6, 3) }
	tests := []struct {
		name      string
		room      KnownRoom
		roundTrip time.Duration
		pending   int
		ownWait   time.Duration
		want      string
	}{
		{"nothing is known", KnownRoom{}, far, 5, 0, "Far"},
		{"room", roomAt(now-40*ms, 5, 6, 0), far, 0, 0, "Far"},
		{"no room, but nobody waits", lately(0), far, 0, 0, "Far"},
		{"a queue", lately(3), far, 0, 0, "Self"},
		{"a queue in the same hall", lately(3), ms, 0, 0, "Far"},
		{"a queue a second ago", before(time.Second), far, 0, 0, "Self"},
		{"a queue a second ago, and the request can wait here", before(time.Second), far, 0, 30 * ms, "Self"},
		{"a queue long ago", before(roomProbeInterval), far, 0, 0, "Self"},
		{"a queue long ago, and the request can wait here", before(roomProbeInterval), far, 0, 30 * ms, "Far"},
		{"another request asks already", before(roomProbeInterval), far, 1, 30 * ms, "Self"},
		{"declined", declinedAt(now - ms), far, 0, 30 * ms, "Self"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other := strongIn("Far", "B", tt.roundTrip, tt.room)
			other.Pending = tt.pending
			c := CoordinatorChoice{
				Now: now, Self: strongIn("Self", "A", 0, roomAt(now, 6, 6, 9)), SelfExecutes: true, OwnWait: tt.ownWait,
				All: []Candidate{other}, Objective: 150 * ms, Random: rand.New(rand.NewPCG(1, 2)).IntN,
			}
			chosen, ok := c.Choose()
			assert.Assert(t, ok)
			assert.Equal(t, chosen.Host, tt.want)
		})
	}
}
