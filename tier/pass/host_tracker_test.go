package pass

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// TestUnresponsiveHostBackoffGrows leaves messages to a host unanswered, and then has it
// answer one, which resets the backoff.
func TestUnresponsiveHostBackoffGrows(t *testing.T) {
	r := newHostTracker()
	now := time.Minute
	for _, want := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff, maxBackoff, maxBackoff} {
		r.sent("Far", now)
		assert.Assert(t, r.responsive("Far", now+replyGrace-1))
		assert.Assert(t, !r.responsive("Far", now+replyGrace))
		r.unanswered("Far", "B", now, true)
		assert.Assert(t, !r.responsive("Far", now+want-1), "%s", want)
		now += want
		assert.Assert(t, r.responsive("Far", now))
	}
	r.sent("Far", now)
	r.answered("Far", "B", now, time.Millisecond)
	r.sent("Far", now)
	r.unanswered("Far", "B", now, true)
	assert.Assert(t, r.responsive("Far", now+initialBackoff))
}

// TestUnresponsiveHallIsCalledDirectly leaves batches to the hosts of another hall
// unanswered: after two, the upstreams there must be called directly for a while.
func TestUnresponsiveHallIsCalledDirectly(t *testing.T) {
	r := newHostTracker()
	v := &kernel.View{Members: map[string]kernel.Member{}}
	for i := range 10 {
		n := fmt.Sprint("B", i)
		v.Members[n] = kernel.Member{Host: n, Hall: "B", Live: true, Peer: netip.MustParseAddrPort("127.0.0.1:1")}
	}
	now := time.Minute
	sendLost := func() string {
		host := r.leastPending(v, "B", now, nil)
		if host != "" {
			r.sent(host, now)
			r.unanswered(host, "B", now, true)
		}
		return host
	}
	assert.Equal(t, sendLost(), "B0")
	assert.Equal(t, sendLost(), "B1")
	assert.Equal(t, sendLost(), "")
	now += initialBackoff
	assert.Equal(t, sendLost(), "B0", "one batch looks whether the way is back")
	assert.Equal(t, sendLost(), "")
	now += 2 * initialBackoff
	host := r.leastPending(v, "B", now, nil)
	r.sent(host, now)
	r.answered(host, "B", now, time.Millisecond)
	assert.Assert(t, r.leastPending(v, "B", now, nil) != "")
}

func TestRoundTripIsMinimum(t *testing.T) {
	r := newHostTracker()
	assert.Equal(t, r.roundTrip("Far"), time.Duration(0))
	r.observeConnect("B", 30*time.Millisecond)
	r.observeConnect("B", 40*time.Millisecond)
	far := []policy.Candidate{{Host: "Far", Hall: "B"}}
	assert.Equal(t, r.candidates(far, 0, nil)[0].RoundTrip, 30*time.Millisecond)
	for _, took := range []time.Duration{25, 20, 28} {
		r.sent("Far", time.Minute)
		r.answered("Far", "B", time.Minute, took*time.Millisecond)
	}
	assert.Equal(t, r.roundTrip("Far"), 20*time.Millisecond)
	assert.Equal(t, r.candidates(far, 0, nil)[0].RoundTrip, 20*time.Millisecond)
	assert.Equal(t, len(r.candidates(far, 0, map[string]bool{"Far": true})), 0)
}

// TestStoppingHostBacksOff checks that only a host that declined because it is stopping
// backs off.
func TestStoppingHostBacksOff(t *testing.T) {
	r := newHostTracker()
	r.declined("Route", time.Minute, declineRoute)
	r.declined("Stopping", time.Minute, declineStopping)
	assert.Assert(t, r.responsive("Route", time.Minute))
	assert.Assert(t, !r.responsive("Stopping", time.Minute))
	assert.Assert(t, r.responsive("Stopping", time.Minute+initialBackoff))
}

// TestRoomsOfCoordinators guards against mixing up the gates of a coordinator, against a report that
// outlives the shortage, and against rooms of hosts that are gone being kept.
func TestRoomsOfCoordinators(t *testing.T) {
	r := newHostTracker()
	now := time.Minute
	full := &roomReport{InFlight: 6, Places: 6, Waiting: 1}
	r.observeRoom(roomKey{host: "Far", gate: 1}, now, full)
	room := func(gate uint64) policy.KnownRoom {
		all := []policy.Candidate{{Host: "Other"}, {Host: "Far"}}
		r.addRooms(all, gate)
		assert.Equal(t, all[0].Room, policy.KnownRoom{})
		return all[1].Room
	}
	assert.Assert(t, room(1) != policy.KnownRoom{})
	assert.Equal(t, room(2), policy.KnownRoom{})
	r.declinedForRoom(roomKey{host: "Far", gate: 2}, now)
	assert.Assert(t, room(2) != policy.KnownRoom{})
	r.observeRoom(roomKey{host: "Far", gate: 1}, now, nil)
	assert.Equal(t, room(1), policy.KnownRoom{})

	for i := range 5 * maxTrackedRooms {
		now += 10 * time.Millisecond
		r.observeRoom(roomKey{host: fmt.Sprint("H", i)}, now, full)
		assert.Assert(t, len(r.rooms) <= maxTrackedRooms+1)
	}
}

// TestNearestRoundTrip covers the time for which a coordinator lets a request wait before it
// declines it.
func TestNearestRoundTrip(t *testing.T) {
	r := newHostTracker()
	all := []policy.Candidate{{Host: "Own", Hall: "A"}, {Host: "B1", Hall: "B"}, {Host: "C1", Hall: "C"}}
	assert.Equal(t, r.nearestRoundTrip(all, "A"), assumedRoundTrip)
	r.observeConnect("A", time.Millisecond)
	r.observeConnect("B", 16*time.Millisecond)
	assert.Equal(t, r.nearestRoundTrip(all, "A"), 16*time.Millisecond)
	r.observeConnect("C", 2*time.Millisecond)
	assert.Equal(t, r.nearestRoundTrip(all, "A"), 2*time.Millisecond)
}
