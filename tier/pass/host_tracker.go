package pass

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

const (
	// replyGrace is how late the first reply of a host may be. After that, the host counts
	// as unresponsive and is not used.
	replyGrace = 100 * time.Millisecond
	// hallUnresponsiveThreshold is how many different hosts of a hall must consecutively
	// leave a batch unanswered before the upstreams of the hall are called directly: this
	// host may be cut off from the hosts there but not from the upstreams.
	hallUnresponsiveThreshold = 2
)

// hostTracker tracks which other hosts respond to this host, as relays or as coordinators,
// and the round trip to them. It is safe for concurrent use.
type hostTracker struct {
	mu sync.Mutex
	// hosts and halls are by name.
	hosts map[string]*trackedHost
	halls map[string]*trackedHall
	// rooms is what is known of the room of coordinators. Expired entries are removed when
	// maxTrackedRooms is exceeded.
	rooms map[roomKey]*policy.KnownRoom
}

// roomKey identifies the gate of a set of groups at a host.
type roomKey struct {
	host string
	// gate is the result of gateKey.
	gate uint64
}

// assumedRoundTrip is the round trip to another hall while none was measured: a little more than
// that between two regions.
const assumedRoundTrip = 20 * time.Millisecond

// maxTrackedRooms is the number of entries of rooms above which expired ones are removed.
const maxTrackedRooms = 1000

// trackedHost is the state of one host.
type trackedHost struct {
	// pending counts the batches and requests that the host has not responded to yet.
	pending int
	// dueAt is when the first reply to the oldest pending message is due; 0 if none is
	// pending.
	dueAt time.Duration
	// backoff is active while the host is not used.
	backoff backoff
	// roundTrip is the shortest round trip seen; 0 if unknown.
	roundTrip time.Duration
}

// trackedHall is the state of the hosts of one hall together.
type trackedHall struct {
	// unresponsive counts the different hosts that consecutively did not respond in time;
	// last is the most recent of them.
	unresponsive int
	last         string
	// backoff is active while no host of the hall is used.
	backoff backoff
	// roundTrip is the shortest round trip seen; 0 if unknown.
	roundTrip time.Duration
}

func newHostTracker() hostTracker {
	return hostTracker{hosts: map[string]*trackedHost{}, halls: map[string]*trackedHall{}, rooms: map[roomKey]*policy.KnownRoom{}}
}

// leastPending returns the responsive host of a hall with the fewest pending messages in
// proportion to its capacity, or "" if there is none. Hosts that the request itself waits
// for, as counted in pending, are excluded. Ties are broken by name, so that all senders
// choose the same host: it then sees most calls to the upstreams of its hall and learns
// their state early.
func (t *hostTracker) leastPending(v *kernel.View, hall string, now time.Duration, pending map[string]int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hall(hall).backoff.active(now) {
		return ""
	}
	var names []string
	for n, m := range v.Members {
		if m.Callable() && m.Hall == hall && pending[n] == 0 && t.responsive(n, now) {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(pendingPerCapacity(t.host(a).pending, v.Members[a].Capacity), pendingPerCapacity(t.host(b).pending, v.Members[b].Capacity)),
			cmp.Compare(a, b),
		)
	})
}

// pendingPerCapacity returns the load of a host with one more pending message, in
// proportion to its capacity.
func pendingPerCapacity(pending, capacity int) float64 {
	return float64(pending+1) / float64(max(capacity, 1))
}

// ifResponsive returns the host if it is live and responsive, or else "".
func (t *hostTracker) ifResponsive(v *kernel.View, host string, now time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := v.Members[host]; !m.Callable() || !t.responsive(host, now) {
		return ""
	}
	return host
}

// candidates returns the responsive candidates that were not tried yet, with their pending
// messages and round trips.
func (t *hostTracker) candidates(all []policy.Candidate, now time.Duration, tried map[string]bool) []policy.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []policy.Candidate
	for _, c := range all {
		if tried[c.Host] || t.hall(c.Hall).backoff.active(now) || !t.responsive(c.Host, now) {
			continue
		}
		c.Pending, c.RoundTrip = t.host(c.Host).pending, t.hall(c.Hall).roundTrip
		out = append(out, c)
	}
	return out
}

// addRooms sets what is known of the room of the candidates at a gate.
func (t *hostTracker) addRooms(all []policy.Candidate, gate uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range all {
		if r := t.rooms[roomKey{host: all[i].Host, gate: gate}]; r != nil {
			all[i].Room = *r
		}
	}
}

// observeRoom records a report of the room of a coordinator; nil if it reported none.
func (t *hostTracker) observeRoom(k roomKey, now time.Duration, r *roomReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r == nil {
		delete(t.rooms, k)
		return
	}
	t.room(k, now).Observe(now, (*policy.RoomReport)(r))
}

// declinedForRoom records that a coordinator declined a request for lack of room.
func (t *hostTracker) declinedForRoom(k roomKey, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.room(k, now).Declined(now)
}

// room returns what is known of the room of a coordinator. mu must be held.
func (t *hostTracker) room(k roomKey, now time.Duration) *policy.KnownRoom {
	if len(t.rooms) > maxTrackedRooms {
		maps.DeleteFunc(t.rooms, func(_ roomKey, r *policy.KnownRoom) bool { return r.Expired(now) })
	}
	return getOrCreate(t.rooms, k)
}

// nearestRoundTrip returns the round trip to the nearest hall of the candidates, other than
// the given one; assumedRoundTrip if none is known.
func (t *hostTracker) nearestRoundTrip(all []policy.Candidate, hall string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	nearest := time.Duration(0)
	for _, c := range all {
		if c.Hall != hall {
			nearest = minKnown(nearest, t.hall(c.Hall).roundTrip)
		}
	}
	if nearest == 0 {
		return assumedRoundTrip
	}
	return nearest
}

// roundTrip returns the round trip to a host; 0 if unknown.
func (t *hostTracker) roundTrip(host string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.host(host).roundTrip
}

// observeConnect records how long connecting to a host of a hall took.
func (t *hostTracker) observeConnect(hall string, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hall(hall)
	h.roundTrip = minKnown(h.roundTrip, roundTrip)
}

// sent records a batch or request that was sent, and when the first reply to it is due.
func (t *hostTracker) sent(host string, due time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.host(host)
	s.pending++
	if s.dueAt == 0 {
		s.dueAt = due
	}
}

// answered records the first reply to a batch or request, and the round trip.
func (t *hostTracker) answered(host, hall string, now, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.host(host)
	s.removePending(now)
	s.backoff = backoff{}
	s.roundTrip = minKnown(s.roundTrip, roundTrip)
	h := t.hall(hall)
	*h = trackedHall{roundTrip: minKnown(h.roundTrip, roundTrip)}
}

// unanswered records a batch or request that ended without any reply. If the reply is
// overdue, the host and possibly its hall back off.
func (t *hostTracker) unanswered(host, hall string, now time.Duration, overdue bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.host(host)
	dueAt := s.dueAt
	s.removePending(now)
	if !overdue {
		if s.pending > 0 {
			s.dueAt = dueAt
		}
		return
	}
	s.backoff.begin(now)
	h := t.hall(hall)
	if h.last != host {
		h.unresponsive++
		h.last = host
	}
	if h.unresponsive >= hallUnresponsiveThreshold && !h.backoff.active(now) {
		h.backoff.begin(now)
	}
}

// declined records that a host declined a request. A host that is stopping backs off; one
// with another configuration does not, since it will soon have the same one, and one without
// room is recorded by declinedForRoom.
func (t *hostTracker) declined(host string, now time.Duration, why declineReason) {
	if why != declineStopping {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.host(host).backoff.begin(now)
}

// host returns the state of a host. mu must be held.
func (t *hostTracker) host(name string) *trackedHost { return getOrCreate(t.hosts, name) }

// hall returns the state of a hall. mu must be held.
func (t *hostTracker) hall(name string) *trackedHall { return getOrCreate(t.halls, name) }

// getOrCreate returns the item of a name and creates it if necessary.
func getOrCreate[K comparable, T any](items map[K]*T, name K) *T {
	if items[name] == nil {
		items[name] = new(T)
	}
	return items[name]
}

// responsive reports whether a host may be used. mu must be held.
func (t *hostTracker) responsive(host string, now time.Duration) bool {
	s := t.host(host)
	return !s.backoff.active(now) && (s.dueAt == 0 || now-s.dueAt < replyGrace)
}

// removePending removes a batch or request that is no longer pending.
func (h *trackedHost) removePending(now time.Duration) {
	h.pending--
	h.dueAt = 0
	if h.pending > 0 {
		h.dueAt = now
	}
}

// minKnown returns the shorter of two times, where 0 means unknown.
func minKnown(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
